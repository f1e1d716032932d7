import type bunyan from "bunyan";
import { Disposable } from "../../common/lifecycle/Disposable.ts";
import { every } from "../../common/lifecycle/every.ts";
import { ServiceName } from "../../common/ids/ServiceName.ts";
import type { TargetId } from "../../common/ids/TargetId.ts";
import { AttemptOutcome } from "../detection/AttemptOutcome.ts";
import type { RouteMatch } from "./RouteMatch.ts";
import type { PickedTarget, PickContext, RoutingPolicy, SuspectTarget } from "./RoutingPolicy.ts";
import type { TargetSurvey } from "./TargetSurvey.ts";
import type { TargetInfo } from "../../membership/TargetInfo.ts";
import { TargetState } from "../../membership/TargetState.ts";
import type { TargetTable } from "../../membership/TargetTable.ts";

/** Number of consecutive errors that ejects a target. */
const CONSECUTIVE_ERRORS = 5;

/** Interval between health checks of each target, ms. */
const HEALTH_CHECK_MS = 1000;

/** Dependencies of the policy; injected so that tests can fake each. */
interface NaivePolicyDeps {
  readonly table: TargetTable;
  readonly probe: (target: TargetInfo) => Promise<boolean>;
  readonly log: bunyan;
}

/**
 * The baseline that `AdaptivePolicy` is compared with in benchmarks and
 * differential tests: round robin, a health check every second, and ejection after five
 * consecutive errors until a health check passes. Has no floor and uses no reports of other sidecars.
 */
export class NaivePolicy extends Disposable implements RoutingPolicy {
  readonly #deps: NaivePolicyDeps;
  readonly #errors = new Map<TargetId, number>();
  readonly #ejected = new Set<TargetId>();
  #nextIndex = 0;

  constructor(deps: NaivePolicyDeps) {
    super();
    this.#deps = deps;
  }

  /** Starts health checks until disposed. */
  start(): void {
    this.register(every(HEALTH_CHECK_MS, () => void this.checkHealth()));
  }

  pick({ route }: PickContext, tried: ReadonlySet<TargetId>): PickedTarget | undefined {
    const candidates = this.#readyTargets(route).filter(
      (t) => !this.#ejected.has(t.id) && !tried.has(t.id),
    );
    const target = candidates[this.#nextIndex++ % Math.max(1, candidates.length)];
    return target && { target };
  }

  suspects(): SuspectTarget[] {
    return [];
  }

  recordReply(): void {
    // Uses no load reports.
  }

  recordQueued(): void {
    // Uses no load reports.
  }

  recordWait(): void {
    // Measures no waits.
  }

  recordResult(): void {
    // Reports no unserved share.
  }

  unservedShare(): number {
    return 0;
  }

  isCongested(): boolean {
    return false;
  }

  recordLoad(): void {
    // Uses no load reports.
  }

  recordTimeout(target: TargetInfo): void {
    this.#recordOutcome(target, AttemptOutcome.NoResponse);
  }

  typicalMs(route: RouteMatch): number {
    return route.timeoutMs;
  }

  recordStart(_route: RouteMatch, target: TargetInfo): (outcome: AttemptOutcome) => void {
    return (outcome) => {
      this.#recordOutcome(target, outcome);
    };
  }

  survey({ route }: PickContext, tried: ReadonlySet<TargetId>): TargetSurvey {
    const ready = this.#readyTargets(route);
    const untried = ready.filter((t) => !tried.has(t.id));
    const suspect = untried.filter((t) => this.#ejected.has(t.id)).length;
    return {
      ready: ready.length,
      tried: ready.length - untried.length,
      free: 0,
      full: 0,
      unknown: untried.length - suspect,
      suspect,
      unreachable: 0,
      leaving: 0,
      oldestReportMs: undefined,
    };
  }

  describe(): { id: TargetId; rotation: "in" | "ejected" }[] {
    return this.#deps.table
      .allTargets()
      .map((t) => ({ id: t.id, rotation: this.#ejected.has(t.id) ? "ejected" : "in" }));
  }

  /** Checks the health of every target once; ejects those that fail and readmits those that pass. */
  async checkHealth(): Promise<void> {
    const targets = this.#deps.table.allTargets().filter((t) => t.healthPath !== "");
    await Promise.all(
      targets.map(async (t) => {
        if (!(await this.#deps.probe(t))) {
          this.#eject(t.id);
        } else if (this.#ejected.delete(t.id)) {
          this.#errors.delete(t.id);
          this.#deps.log.info({ target: t.id }, "readmitted");
        }
      }),
    );
  }

  #readyTargets({ service }: RouteMatch): TargetInfo[] {
    return this.#deps.table
      .targetsOf(ServiceName(service.name))
      .filter((t) => t.state === TargetState.Ready);
  }

  #recordOutcome(target: TargetInfo, outcome: AttemptOutcome): void {
    const isError = outcome === AttemptOutcome.Failed || outcome === AttemptOutcome.NoResponse;
    const errors = isError ? (this.#errors.get(target.id) ?? 0) + 1 : 0;
    this.#errors.set(target.id, errors);
    if (errors >= CONSECUTIVE_ERRORS) {
      this.#eject(target.id);
    }
  }

  #eject(target: TargetId): void {
    if (!this.#ejected.has(target)) {
      this.#ejected.add(target);
      this.#deps.log.info({ target }, "ejected");
    }
  }
}
