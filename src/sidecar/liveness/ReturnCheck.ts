import type bunyan from "bunyan";
import type { TargetId } from "../../common/ids/TargetId.ts";
import type { Clock } from "../../common/lifecycle/Clock.ts";
import type { TargetInfo } from "../../membership/TargetInfo.ts";
import type { Dialect } from "../dialect/Dialect.ts";
import type { TargetSignals } from "../signals/TargetSignals.ts";
import type { HealthResponse } from "./fetchHealth.ts";

/**
 * Time without requests after which a target is checked, and between two checks, ms: longer than a target that leaves
 * takes to end.
 */
const CHECK_AFTER_MS = 30_000;

const OK = 200;

interface ReturnCheckDeps {
  /** The live local targets that announce themselves as ready. */
  readonly targets: () => readonly TargetInfo[];
  /** Time since the target last said that it is leaving or, if it did not, was last asked for a slot, ms. */
  readonly unusedMs: (target: TargetInfo) => number;
  /** Path of the target's health endpoint; undefined if it has none. */
  readonly healthPath: (target: TargetInfo) => string | undefined;
  readonly fetchHealth: (url: string) => Promise<HealthResponse | undefined>;
  readonly readSignals: Dialect["readSignals"];
  /** Called with what a health check that was sent at `sentAt` (ms) says about its target. */
  readonly onSignals: (target: TargetInfo, signals: TargetSignals, sentAt: number) => void;
  /** Called when a target says that it is healthy and not leaving. */
  readonly onReturn: (target: TargetInfo) => void;
  readonly clock: Clock;
  readonly log: bunyan;
}

/**
 * Checks whether ready targets that get no requests are really leaving. One that has said so by mistake would
 * otherwise stay idle until it ends: those that know of it send it nothing, so that no response can tell them otherwise.
 */
export class ReturnCheck {
  readonly #deps: ReturnCheckDeps;
  /** When each target was last checked, ms. */
  readonly #checkedAt = new Map<TargetId, number>();

  constructor(deps: ReturnCheckDeps) {
    this.#deps = deps;
  }

  /** Checks the targets that are due; resolves when all have responded, or did not in time. */
  async run(): Promise<void> {
    const { targets, clock } = this.#deps;
    const now = clock.now();
    const due = targets().filter((t) => this.#isDue(t, now));
    this.#forgetBefore(now - CHECK_AFTER_MS);
    due.forEach((t) => this.#checkedAt.set(t.id, now));
    await Promise.all(due.map((t) => this.#check(t)));
  }

  #isDue(target: TargetInfo, now: number): boolean {
    const checkedAt = this.#checkedAt.get(target.id) ?? -Infinity;
    const isRested = now - checkedAt >= CHECK_AFTER_MS;
    return isRested && this.#deps.unusedMs(target) >= CHECK_AFTER_MS;
  }

  #forgetBefore(time: number): void {
    for (const [id, at] of this.#checkedAt) {
      if (at <= time) {
        this.#checkedAt.delete(id);
      }
    }
  }

  async #check(target: TargetInfo): Promise<void> {
    const { healthPath, fetchHealth, readSignals, onSignals, onReturn, clock, log } = this.#deps;
    const path = healthPath(target);
    if (path === undefined) {
      return;
    }
    const sentAt = clock.now();
    const res = await fetchHealth(target.url + path);
    const signals = res && readSignals(res.status, res.headers);
    const { isLeaving } = signals ?? {};
    log.info({ target: target.id, status: res?.status, isLeaving }, "unused target checked");
    if (!signals) {
      return;
    }
    onSignals(target, signals, sentAt);
    if (res.status === OK && !signals.isLeaving) {
      onReturn(target);
    }
  }
}
