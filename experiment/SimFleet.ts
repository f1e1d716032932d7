import { GRAY_DETECTION } from "../platform/GRAY_DETECTION.ts";
import { AttemptId } from "../src/common/ids/AttemptId.ts";
import { TargetId } from "../src/common/ids/TargetId.ts";
import { WorkspaceName } from "../src/common/ids/WorkspaceName.ts";
import { Service } from "../src/common/document/Service.ts";
import type { ProtoTypes } from "../src/common/rpc/ProtoTypes.ts";
import { AttemptOutcome } from "../src/sidecar/detection/AttemptOutcome.ts";
import type { ForwardResult } from "../src/sidecar/forwarding/ForwardResult.ts";
import type { TargetRequest } from "../src/sidecar/forwarding/TargetRequest.ts";
import type { GateLoad } from "../src/sidecar/hop/GateLoad.ts";
import type { HedgeReport } from "../src/sidecar/hedging/HedgeReport.ts";
import { RequestOrigin } from "../src/sidecar/routing/RequestOrigin.ts";
import type { RetryBudgetRule } from "../src/sidecar/routing/RetryBudget.ts";
import type { RouteMatch } from "../src/sidecar/routing/RouteMatch.ts";
import { addTargetFaults } from "./addTargetFaults.ts";
import { Arrivals } from "./Arrivals.ts";
import { exponential } from "./exponential.ts";
import type { Crash, RequestKind, RollingStop, Scenario } from "./Scenario.ts";
import type { SimClock } from "./SimClock.ts";
import { SimSidecar, type SimVm } from "./SimSidecar.ts";
import { SimTarget } from "./SimTarget.ts";
import { Tally } from "./Tally.ts";
import type { Variant } from "./Variant.ts";

/** Attempts of a request, the fleet's retry budget and the services' floor, as the users' operators set them. */
const ATTEMPTS = 2;
const RETRY_BUDGET = { ratio: 0.2, windowMs: 10_000, slack: 58 } as const;
const FLOOR = 0.49;

/** Delay until all sidecars know a change of a target's load or health, ms. */
const LOAD_UPDATE_MS = 2;

/** Delay until a membership update has reached all members by gossip, ms. */
const GOSSIP_MS = 200;

/** Time from the end of a sidecar's process to its next start, and from that until its target has announced itself, ms. */
const RESTART_MS = 1100;
const ANNOUNCE_MS = 350;

/** By this time after a gray interval, all runs that started in it have ended, ms. */
const AFTER_GRAY_MS = 2000;

/** An ejection of a target. */
interface Ejection {
  readonly at: number;
  readonly service: string;
  /** Whether the ejection was wrong: the target has not been in a gray interval for {@link AFTER_GRAY_MS}. */
  readonly wasHealthy: boolean;
}

/** A run in progress at a target. */
interface OpenRun {
  readonly attempt: string;
  readonly target: string;
  readonly sentAt: number;
  readonly deadlineAt: number;
}

/** A run during which the sidecar beside its target has exited, before its deadline. */
interface CutRun extends OpenRun {
  readonly cutAt: number;
}

/** The sender of a request: a caller, or a target that makes a nested call. */
interface Caller {
  /** Name of the VM whose sidecar gets the request. */
  readonly from: string;
  /** Whether the request is a nested call of a repeated run. */
  readonly isRepeatedRun: boolean;
  /** Whether the request is made by a target during a run. */
  readonly isNestedCall: boolean;
}

/** A simulated fleet in one process: the product's own policies with simulated targets, network and time. */
export class SimFleet {
  readonly #scenario: Scenario;
  readonly #variant: Variant;
  readonly #clock: SimClock;
  readonly #random: () => number;
  readonly #kinds: ReadonlyMap<string, RequestKind>;
  readonly #vms: readonly SimVm[];
  readonly #targets = new Map<string, SimTarget>();
  readonly #sidecars = new Map<string, SimSidecar>();
  readonly #arrivals = new Arrivals();
  readonly #ejected = new Set<string>();
  readonly #ejections: Ejection[] = [];
  readonly #crashTimes: number[] = [];
  /** Runs that must not be repeated, in progress now, and those of them that the exit of a sidecar has cut. */
  readonly #openRuns = new Set<OpenRun>();
  readonly #cutRuns: CutRun[] = [];
  /** Number of incarnations of each VM's sidecar so far. */
  readonly #incarnations = new Map<string, number>();
  #attemptCount = 0;
  #slotRequests = 0;
  #targetMs = 0;
  readonly tally = new Tally();

  constructor(scenario: Scenario, variant: Variant, clock: SimClock, random: () => number) {
    this.#scenario = scenario;
    this.#variant = variant;
    this.#clock = clock;
    this.#random = random;
    this.#kinds = new Map(scenario.kinds.map((k) => [k.name, k]));
    this.#vms = scenario.services.flatMap((service) =>
      Array.from({ length: service.targets }, (_, n) => ({
        name: `${service.name}-${n}`,
        zone: n % scenario.zones,
        service: service.name,
        slots: service.slots,
      })),
    );
    for (const { name } of this.#vms) {
      const { baseErrorRate, workTimes } = scenario;
      this.#targets.set(name, new SimTarget(clock, random, baseErrorRate, workTimes));
    }
    this.#vms.forEach((vm) => {
      this.#sidecars.set(vm.name, this.#createSidecar(vm));
    });
    this.#broadcast([...this.#sidecars.values()].map((s) => s.describeMember(false)));
    addTargetFaults(scenario, this.#vms, this.#targets, random);
    scenario.stops?.forEach((stop) => {
      this.#scheduleStops(stop);
    });
    scenario.crashes?.forEach((crash) => {
      this.#scheduleCrashes(crash);
    });
    this.#scheduleFatalRequests();
  }

  /** Requests that have reached the targets. */
  get arrivals(): Arrivals {
    return this.#arrivals;
  }

  /** Ejections of targets so far. */
  get ejections(): readonly Ejection[] {
    return this.#ejections;
  }

  /** Times at which targets crashed, ms. */
  get crashTimes(): readonly number[] {
    return this.#crashTimes;
  }

  /** Runs of work that must not be repeated during which the sidecar beside the target has exited, before their deadlines. */
  get cutRuns(): readonly CutRun[] {
    return this.#cutRuns;
  }

  /** The fleet's retry budget. */
  get budget(): RetryBudgetRule {
    return { ...RETRY_BUDGET, slack: this.#scenario.retrySlack ?? RETRY_BUDGET.slack };
  }

  /** Number of slot requests sent so far. */
  get slotRequests(): number {
    return [...this.#sidecars.values()].reduce(
      (sum, s) => sum + s.hop.slotRequests,
      this.#slotRequests,
    );
  }

  /** Target time of all runs so far, ms. */
  get targetMs(): number {
    return this.#targetMs;
  }

  /** Hedges that have ended at the sidecars which are running now. */
  get hedges(): readonly HedgeReport[] {
    return [...this.#sidecars.values()].flatMap((s) => s.hedges);
  }

  /** The limit that a target names now, requests a second; undefined if it names none. */
  limitOf(name: string): number | undefined {
    return this.#targets.get(name)?.limitPerS;
  }

  /** Names of the targets of `service` that are in no gray interval from `fromMs` to `untilMs`. */
  healthyTargets(service: string, fromMs: number, untilMs: number): string[] {
    const names = this.#vms.filter((vm) => vm.service === service).map((vm) => vm.name);
    return names.filter((name) => this.#targets.get(name)?.isHealthy(fromMs, untilMs));
  }

  /** The state of a target as seen by its sidecar: `down` without one, otherwise its health, and whether it is stopping. */
  stateOf(name: string): string {
    const sidecar = this.#sidecars.get(name);
    if (!sidecar) {
      return "down";
    }
    const { ejected, suspect, busy, slots, endsInMs } = sidecar.gate.load;
    const health = ejected ? "ejected" : suspect ? "suspect" : "healthy";
    const stop = endsInMs === undefined ? "" : "stopping ";
    return `${stop}${health}${busy < slots ? "" : ", full"}`;
  }

  /** Whether a run at a target failed from `fromMs` to `untilMs`. */
  hasFailedRun(name: string, fromMs: number, untilMs: number): boolean {
    return this.#targets.get(name)?.hasFailedRun(fromMs, untilMs) ?? false;
  }

  /** Runs the load to its end, and until every request has ended. */
  async run(): Promise<void> {
    const { kinds, lengthMs } = this.#scenario;
    kinds
      .filter((k) => k.perSecond > 0)
      .forEach((k) => {
        this.#scheduleNextArrival(k);
      });
    const longestDeadlineMs = Math.max(...kinds.map((k) => k.deadlineMs));
    await this.#clock.run(lengthMs + longestDeadlineMs);
  }

  #createSidecar(vm: SimVm): SimSidecar {
    const incarnationNumber = (this.#incarnations.get(vm.name) ?? 0) + 1;
    this.#incarnations.set(vm.name, incarnationNumber);
    const sidecar: SimSidecar = new SimSidecar({
      vm,
      incarnationNumber,
      zoneLatencyMs: this.#scenario.zoneLatencyMs,
      budget: this.budget,
      sidecars: this.#sidecars,
      runAtTarget: (req) => this.#runAtTarget(vm, req),
      isTargetDown: () => this.#targets.get(vm.name)?.isDown ?? true,
      onTargetGone: () => {
        this.#spreadMember(sidecar.describeMember(false));
      },
      onHealthChange: (load) => {
        this.#recordEjection(vm, load);
        this.#broadcastLoad(vm, load);
      },
      onEvidence: (evidence) => {
        this.#clock.after(GOSSIP_MS, () => {
          this.#sidecars.forEach((s) => s.evidence.add(evidence));
        });
      },
      onLeaving: () => {
        this.#spreadMember(sidecar.describeMember(true));
      },
      variant: this.#variant,
      clock: this.#clock,
      random: this.#random,
    });
    return sidecar;
  }

  /** Delivers a membership update to all sidecars once gossip has reached them. */
  #spreadMember(member: ProtoTypes["Member"]): void {
    this.#clock.after(GOSSIP_MS, () => {
      this.#broadcast([member]);
    });
  }

  #broadcast(members: readonly ProtoTypes["Member"][]): void {
    for (const sidecar of this.#sidecars.values()) {
      sidecar.mergeMembers(members);
    }
  }

  #recordEjection({ name, service }: SimVm, { ejected }: GateLoad): void {
    const now = this.#clock.now();
    if (ejected && !this.#ejected.has(name)) {
      this.#ejected.add(name);
      this.#ejections.push({ at: now, service, wasHealthy: this.#wasRecentlyHealthy(name) });
    } else if (!ejected) {
      this.#ejected.delete(name);
    }
  }

  /** Whether the target's last gray interval is so long ago that no run from it can affect its health state now. */
  #wasRecentlyHealthy(name: string): boolean {
    const now = this.#clock.now();
    return this.#targets.get(name)?.isHealthy(now - AFTER_GRAY_MS, now) ?? false;
  }

  /** Sends a target's load and health to every sidecar; the product sends them only to recent requesters. */
  #broadcastLoad({ name }: SimVm, load: GateLoad): void {
    this.#clock.after(LOAD_UPDATE_MS, () => {
      for (const { policy } of this.#sidecars.values()) {
        policy.recordLoad(TargetId(name), load);
      }
    });
  }

  #scheduleCrashes({ service, count, atMs, downMs }: Crash): void {
    this.#clock.after(atMs, () => {
      const up = this.#vms.filter(
        (vm) => vm.service === service && this.#targets.get(vm.name)?.isDown === false,
      );
      const first = Math.floor(this.#random() * up.length);
      [...up.slice(first), ...up.slice(0, first)].slice(0, count).forEach((vm) => {
        this.#crash(vm, downMs);
      });
    });
  }

  #scheduleFatalRequests(): void {
    const fatal = this.#scenario.fatalRequest;
    const kind = fatal && this.#kinds.get(fatal.kind);
    if (!fatal || !kind) {
      return;
    }
    const { fromMs, durationMs, perSecond } = fatal;
    for (let at = fromMs; at < fromMs + durationMs; at += 1000 / perSecond) {
      this.#clock.after(at, () => {
        const caller = { from: this.#pickSidecar(), isRepeatedRun: false, isNestedCall: false };
        void this.#send(kind, caller, at + kind.deadlineMs, FATAL_PATH);
      });
    }
  }

  #crash(vm: SimVm, downMs: number): void {
    this.#crashTimes.push(this.#clock.now());
    this.#targets.get(vm.name)?.crash(downMs);
    this.#clock.after(downMs + ANNOUNCE_MS, () => {
      const sidecar = this.#sidecars.get(vm.name);
      if (sidecar) {
        sidecar.restartTarget();
        this.#spreadMember(sidecar.describeMember(false));
      }
    });
  }

  #scheduleStops({ fromMs, count, intervalMs }: RollingStop): void {
    const order = [...this.#vms].sort((a, b) => a.zone - b.zone).slice(0, count);
    order.forEach((vm, n) => {
      this.#clock.after(fromMs + n * intervalMs, () => void this.#restart(vm));
    });
  }

  async #restart(vm: SimVm): Promise<void> {
    const old = this.#sidecars.get(vm.name);
    await old?.stop();
    this.#recordCutRuns(vm);
    this.#slotRequests += old?.hop.slotRequests ?? 0;
    this.#sidecars.delete(vm.name);
    this.#clock.after(RESTART_MS + ANNOUNCE_MS, () => {
      const sidecar = this.#createSidecar(vm);
      this.#sidecars.set(vm.name, sidecar);
      sidecar.mergeMembers([...this.#sidecars.values()].map((s) => s.describeMember(!s.isReady)));
      this.#clock.after(GOSSIP_MS, () => {
        this.#broadcast([sidecar.describeMember(false)]);
      });
    });
  }

  #recordCutRuns({ name }: SimVm): void {
    const cutAt = this.#clock.now();
    const cut = [...this.#openRuns].filter((run) => run.target === name && run.deadlineAt > cutAt);
    this.#cutRuns.push(...cut.map((run) => ({ ...run, cutAt })));
  }

  #scheduleNextArrival(kind: RequestKind): void {
    const rateFactor = this.#rateFactorAt(this.#clock.now());
    const wait = exponential(1000 / (kind.perSecond * rateFactor), this.#random);
    this.#clock.after(wait, () => {
      if (this.#clock.now() < this.#scenario.lengthMs) {
        void this.#sendCallerRequest(kind);
        this.#scheduleNextArrival(kind);
      }
    });
  }

  #rateFactorAt(now: number): number {
    const burst = this.#scenario.bursts?.find(
      (b) => b.fromMs <= now && now < b.fromMs + b.durationMs,
    );
    return burst?.rateFactor ?? 1;
  }

  async #sendCallerRequest(kind: RequestKind): Promise<void> {
    const from = this.#pickSidecar();
    const startedAt = this.#clock.now();
    this.#arrivals.recordRequest(kind.service, startedAt);
    const caller = { from, isRepeatedRun: false, isNestedCall: false };
    const outcome = await this.#send(kind, caller, startedAt + kind.deadlineMs);
    this.tally.add({ kind, startedAt, endedAt: this.#clock.now(), outcome });
  }

  /** Name of the VM whose sidecar gets the next caller's request. */
  #pickSidecar(): string {
    const zone = this.#pickCallerZone();
    const ready = [...this.#sidecars.values()].filter(
      (s) => s.isReady && (zone === undefined || s.vm.zone === zone),
    );
    return ready[Math.floor(this.#random() * ready.length)]?.vm.name ?? "";
  }

  /** The zone of the next caller; undefined for any. */
  #pickCallerZone(): number | undefined {
    const { zoneShares: shares } = this.#scenario;
    let left = this.#random() * (shares ?? []).reduce((sum, share) => sum + share, 0);
    return shares?.findIndex((share) => (left -= share) < 0);
  }

  async #send(
    kind: RequestKind,
    { from, isRepeatedRun, isNestedCall }: Caller,
    deadlineAt: number,
    path?: string,
  ): Promise<"served" | "refused" | "failed"> {
    const id = `${kind.name}/${++this.#attemptCount}${isRepeatedRun ? REPEAT_MARK : ""}`;
    const workspace = isNestedCall ? undefined : this.#pickWorkspace(kind);
    const route = routeOf(kind, this.#variant);
    const result = await this.#sidecars.get(from)?.dispatch(route, {
      attempt: AttemptId(id),
      method: "GET",
      path: path ?? `/${this.#attemptCount}`,
      headers: [],
      body: undefined,
      workspace,
      origin: isNestedCall ? RequestOrigin.TargetVm : RequestOrigin.Elsewhere,
      startedAt: this.#clock.now(),
      deadlineAt,
      disconnected: new AbortController().signal,
    });
    if (result?.verdict.kind === "not-run") {
      return "refused";
    }
    return result?.verdict.kind === "done" && result.verdict.status < 500 ? "served" : "failed";
  }

  #pickWorkspace({ workspaces }: RequestKind): WorkspaceName | undefined {
    const name = workspaces?.[Math.floor(this.#random() * workspaces.length)];
    return name === undefined ? undefined : WorkspaceName(name);
  }

  /** Runs a request at the target of `vm`, with the nested calls of its kind. */
  async #runAtTarget(
    vm: SimVm,
    { metadata, path, deadlineAt, cancelled }: TargetRequest,
  ): Promise<ForwardResult> {
    const { attempt } = metadata;
    const kind = this.#kinds.get(attempt.split("/")[0] ?? "");
    const target = this.#targets.get(vm.name);
    if (!kind || !target) {
      throw new Error(`unknown kind of request in ${attempt}, or unknown target ${vm.name}`);
    }
    const risk = this.#sidecars.get(vm.name)?.gate.load.risk ?? 0;
    const { idempotent } = kind;
    const at = this.#clock.now();
    const arrival = { at, service: vm.service, target: vm.name, idempotent, risk };
    const isFromRepeatedRun = attempt.endsWith(REPEAT_MARK);
    const isRepeatedRun = this.#arrivals.recordArrival(attempt, arrival, isFromRepeatedRun);
    const caller = { from: vm.name, isRepeatedRun, isNestedCall: true };
    const { fatalRequest: fatal } = this.#scenario;
    if (fatal && path === FATAL_PATH) {
      this.#clock.after(fatal.fatalAfterMs, () => {
        if (!target.isDown) {
          this.#crash(vm, fatal.downMs);
        }
      });
    }
    const sentAt = this.#clock.now();
    const { limitPerS } = target;
    const makeNestedCalls = () => this.#makeNestedCalls(kind, caller, deadlineAt);
    const run = { attempt, target: vm.name, sentAt, deadlineAt };
    if (!idempotent) {
      this.#openRuns.add(run);
    }
    const outcome = await target.run(kind.workMs, makeNestedCalls, cancelled);
    this.#openRuns.delete(run);
    this.#targetMs += this.#clock.now() - sentAt;
    // A response names the limit of the time at which its run began.
    this.#sidecars.get(vm.name)?.recordLimit(limitPerS, sentAt);
    if (outcome === "shed") {
      const verdict = { kind: "not-run", reason: "refused", retryAfterMs: 1000 } as const;
      return { verdict, outcome: AttemptOutcome.Shed };
    }
    if (outcome === "unreachable") {
      const reason = "connect failed: ECONNREFUSED";
      const verdict = { kind: "not-run", reason, retryAfterMs: 1000 } as const;
      return { verdict, outcome: AttemptOutcome.NoResponse };
    }
    if (outcome === "lost") {
      const details = { reason: "Error: ECONNRESET", timedOut: false, retryAfterMs: 1000 };
      const verdict = { kind: "may-have-run", target: TargetId(vm.name), ...details } as const;
      return { verdict, outcome: AttemptOutcome.NoResponse };
    }
    if (outcome === "cancelled") {
      const details = { reason: "given up", timedOut: false, retryAfterMs: 1000 };
      const verdict = { kind: "may-have-run", target: TargetId(vm.name), ...details } as const;
      return { verdict, outcome: AttemptOutcome.Cancelled };
    }
    if (this.#clock.now() > deadlineAt) {
      return resultOf(vm, TIMED_OUT, limitPerS);
    }
    return resultOf(vm, outcome === "ok" ? OK : FAILED, limitPerS);
  }

  async #makeNestedCalls(
    { nestedCalls }: RequestKind,
    caller: Caller,
    deadlineAt: number,
  ): Promise<boolean> {
    const kind = nestedCalls && this.#kinds.get(nestedCalls.kind);
    if (!nestedCalls || !kind || this.#random() >= nestedCalls.share) {
      return true;
    }
    for (let n = 0; n < nestedCalls.count; n++) {
      const callDeadline = Math.min(deadlineAt, this.#clock.now() + kind.deadlineMs);
      if ((await this.#send(kind, caller, callDeadline)) !== "served") {
        return false;
      }
    }
    return true;
  }
}

/** Path of the requests that end their targets; every other request has a path of its own. */
const FATAL_PATH = "/fatal";

/** Suffix of the attempt id of a nested call that a repeated run makes; the product does not read it. */
const REPEAT_MARK = "+";

/** The end of a run that was not refused: the response's status, and the outcome that the health detector gets. */
type RunEnding = readonly [status: number, outcome: AttemptOutcome];

const OK: RunEnding = [200, AttemptOutcome.Ok];
const FAILED: RunEnding = [500, AttemptOutcome.Failed];
const TIMED_OUT: RunEnding = [504, AttemptOutcome.TimedOut];

function resultOf(
  { name }: SimVm,
  [status, outcome]: RunEnding,
  limitPerS: number | undefined,
): ForwardResult {
  return {
    verdict: { kind: "done", target: TargetId(name), status },
    outcome,
    headers: limitPerS === undefined ? {} : { "x-burdockpass-limit": String(limitPerS) },
    body: Buffer.alloc(0),
  };
}

function routeOf(kind: RequestKind, { hedging, sharesSlotTime = false }: Variant): RouteMatch {
  return {
    name: kind.name,
    service: {
      ...Service.parse({ name: kind.service, floor: FLOOR, detection: GRAY_DETECTION }),
      fairShares: sharesSlotTime,
      hedging,
    },
    idempotent: kind.idempotent,
    bulk: false,
    isPublic: false,
    timeoutMs: kind.deadlineMs,
    attempts: ATTEMPTS,
    priority: kind.priority,
    objectiveMs: kind.objectiveMs,
    budgetRatio: undefined,
  };
}
