import type { GrantId } from "../../common/ids/GrantId.ts";
import type { Clock } from "../../common/lifecycle/Clock.ts";
import { AttemptOutcome } from "../detection/AttemptOutcome.ts";
import type { HealthDetector } from "../detection/HealthDetector.ts";
import type { SlotRequest } from "../hop/SlotRequest.ts";
import type { SlotReply } from "../hop/SlotReply.ts";
import type { GateLoad } from "../hop/GateLoad.ts";
import { grantTtlMs } from "../hop/grantTtlMs.ts";
import { RefusalReason } from "../hop/RefusalReason.ts";
import type { LimitSignal } from "../signals/LimitSignal.ts";
import { AdmissionQueue } from "./AdmissionQueue.ts";
import { AdmissionRule } from "./AdmissionRule.ts";
import { DemandPublisher } from "./DemandPublisher.ts";
import { GateActivity, type IdlePeriod } from "./GateActivity.ts";
import type { ExpectedWait } from "./ExpectedWait.ts";
import type { GatedTarget } from "./GatedTarget.ts";
import type { GrantIds } from "./GrantIds.ts";
import { GrantPacer } from "./GrantPacer.ts";
import type { LimitChange } from "./LimitChange.ts";
import type { QueuedRequest } from "./QueuedRequest.ts";
import { QueueForecast } from "./QueueForecast.ts";
import type { RequestRateLimit } from "./RequestRateLimit.ts";
import { ServiceTime } from "./ServiceTime.ts";
import { SlotTable } from "./SlotTable.ts";
import { TargetHealth } from "./TargetHealth.ts";

interface GateDeps {
  /** The target as last announced; undefined if it is gone. */
  readonly target: () => GatedTarget | undefined;
  readonly detector: HealthDetector;
  readonly clock: Clock;
  readonly grants: Pick<GrantIds, "next">;
  /**
   * Whether a run that began at `since` (ms) may be waiting for a nested call; if absent, runs make no nested calls.
   */
  readonly mayAwaitNestedCall?: (since: number) => boolean;
  /** Called when the health state of the target changes: healthy, suspect or ejected. */
  readonly onHealthChange?: (load: GateLoad) => void;
  /** Called when the target begins to want work, repeatedly while it does, and when it no longer does. */
  readonly onDemandChange?: (load: GateLoad) => void;
  /** Called once for each time that the target is idle while its service fails a share of its requests, 0 to 1. */
  readonly onDemand?: (unservedShare: number) => void;
  /** Called when the limit that the target names has changed. */
  readonly onLimitChange?: (change: LimitChange) => void;
  /** Order in which queued requests are served; by default that of `goesBefore`. */
  readonly order?: ConstructorParameters<typeof AdmissionQueue>[0];
}

/** Least interval between two evaluations of the queue, ms. */
const MIN_REEVALUATION_GAP_MS = 50;

/** Interval at which the queue is evaluated while the sidecar is being stopped, ms. */
const SHUTDOWN_REEVALUATION_MS = 100;

/**
 * Multiple of its typical time after which a run is overdue, which counts against the target while the run is still
 * in progress: a run that hangs would otherwise be noticed only at its deadline.
 */
const OVERDUE_FACTOR = 3;

/** Outcomes of runs that a target has failed. */
const FAILURES = new Set([
  AttemptOutcome.Failed,
  AttemptOutcome.NoResponse,
  AttemptOutcome.InvalidResponse,
  AttemptOutcome.TimedOut,
]);

/** Outcomes of requests that a target has accepted. */
const ACCEPTED = new Set([
  AttemptOutcome.Ok,
  AttemptOutcome.Failed,
  AttemptOutcome.NestedCallFailed,
  AttemptOutcome.TimedOut,
]);

const NO_WAIT: ExpectedWait = { ms: 0, isForLimit: false };

/** A slot request in progress, which its sender can withdraw. */
interface SlotRequestHandle {
  /** Whether the request was queued rather than granted or refused at once. */
  readonly isQueued: boolean;
  /** Removes the request from the queue, or revokes its grant if that is unused. */
  withdraw(): void;
}

/**
 * Controls admission to one local target. All requests reach the target through this sidecar, so it knows exactly
 * which slots are free: requests wait here, where they can be ordered and withdrawn, rather than in the target's own
 * queue. A request that cannot be served in time is refused at once, so that its sender can try another target.
 */
export class Gate {
  readonly #deps: GateDeps;
  readonly #queue: AdmissionQueue;
  readonly #slots: SlotTable;
  readonly #activity: GateActivity;
  readonly #demand: DemandPublisher;
  readonly #health: TargetHealth;
  readonly #pacer: GrantPacer;
  readonly #serviceTime = new ServiceTime();
  readonly #rule: AdmissionRule;
  readonly #forecast: QueueForecast;
  readonly #retired = new AbortController();
  #reevaluatedAt = -Infinity;

  constructor(deps: GateDeps) {
    this.#deps = deps;
    this.#queue = new AdmissionQueue(deps.order);
    this.#slots = new SlotTable(deps.clock);
    this.#activity = new GateActivity(deps.clock);
    this.#pacer = new GrantPacer({ clock: deps.clock, pending: () => this.#slots.pending });
    this.#demand = new DemandPublisher({
      clock: deps.clock,
      mayGrant: () => this.#rule.isOpen && this.#mayGrant,
      onChange: () => {
        deps.onDemandChange?.(this.load);
      },
      onDemand: deps.onDemand,
    });
    const { target, detector, clock } = deps;
    const [slots, demand, serviceTime] = [this.#slots, this.#demand, this.#serviceTime];
    this.#rule = new AdmissionRule({ target, detector, slots, demand, serviceTime, clock });
    this.#forecast = new QueueForecast({
      queue: this.#queue,
      pacer: this.#pacer,
      serviceTime,
      slots: () => target()?.slots ?? 1,
      clock,
    });
    this.#health = new TargetHealth({
      detector: deps.detector,
      onChange: () => {
        this.reevaluateQueue();
        deps.onHealthChange?.(this.load);
      },
    });
  }

  /** Current load and health of the target. */
  get load(): GateLoad {
    const { detector } = this.#deps;
    return {
      slots: this.#deps.target()?.slots ?? 0,
      busy: this.#slots.size,
      queued: this.#queue.length,
      serviceMs: Math.round(this.#serviceTime.meanMs),
      pace: detector.pace,
      risk: Math.round(detector.risk * 1000) / 1000,
      suspect: detector.isSuspect,
      ejected: detector.isEjected,
      probeInMs: detector.probeInMs(this.#slots.probes),
      wantsWork: this.#demand.wantsWork,
      endsInMs: this.#rule.endsInMs,
      ...this.#forecast.limitLoad,
    };
  }

  /**
   * Handles a slot request; `reply` is called once, either immediately or when the request is granted or refused
   * later.
   */
  requestSlot(request: SlotRequest, reply: (reply: SlotReply) => void): SlotRequestHandle {
    const waiting = { request, receivedAt: this.#deps.clock.now() };
    this.#activity.recordRequest();
    this.#demand.recordReport(request.unservedShare);
    this.#updateLimit("sender", (limit) => {
      limit.recordReport(request.limitPerS);
    });
    let grant: GrantId | undefined;
    const onReply = (slotReply: SlotReply) => {
      grant = slotReply.kind === "granted" ? slotReply.grant : undefined;
      reply(slotReply);
    };
    const revoke = () => {
      if (grant !== undefined) {
        this.revoke(grant);
      }
    };
    const refusal = this.#refusalReason(waiting) ?? this.#refusalReasonOnArrival(waiting);
    if (refusal !== undefined) {
      onReply(this.#refuse(refusal, waiting));
      return { isQueued: false, withdraw: () => undefined };
    }
    if (this.#hasIdleSlot) {
      this.#queue.recordGrant(waiting, waiting.receivedAt, this.#serviceTime.meanMs);
      this.#grant(request, onReply);
      return { isQueued: false, withdraw: revoke };
    }
    this.#queue.add(waiting, onReply);
    this.#resumeWhenDue();
    return {
      isQueued: true,
      withdraw: () => {
        if (!this.#queue.remove(waiting)) {
          revoke();
        }
      },
    };
  }

  /** Records what a response says of the target's limit; its request was sent at `sentAt` (ms). */
  recordLimit(signal: LimitSignal, sentAt: number): void {
    this.#updateLimit("response", (limit) => {
      limit.recordResponse(signal, sentAt);
    });
  }

  #updateLimit(source: LimitChange["source"], record: (limit: RequestRateLimit) => void): void {
    const { limit } = this.#pacer;
    const before = limit.perS;
    record(limit);
    const { perS } = limit;
    if (perS !== before) {
      this.#deps.onLimitChange?.({ perS, before, source });
      this.reevaluateQueue();
      this.#deps.onHealthChange?.(this.load);
    }
  }

  /** Keeps a grant while the body of its request is being received; false if the grant has expired. */
  hold(grant: GrantId): boolean {
    return this.#slots.hold(grant, () => {
      this.revoke(grant);
    });
  }

  /** Uses a grant and begins its run; undefined if the grant has expired. */
  redeem(grant: GrantId): SlotRequest | undefined {
    const redeemed = this.#slots.redeem(
      grant,
      (request) => this.#serviceTime.typicalMs(request) * OVERDUE_FACTOR,
      (since) => this.#reportOverdue(since),
    );
    if (redeemed) {
      this.#pacer.recordStart();
      this.#activity.recordRun();
      this.#demand.recordStart();
    }
    return redeemed;
  }

  /**
   * Reports an overdue run to the detector; false if the run may be waiting for a nested call, which is not held
   * against it.
   */
  #reportOverdue(since: number): boolean {
    if (this.#deps.mayAwaitNestedCall?.(since)) {
      return false;
    }
    this.#health.recordOverdue(this.#deps.clock.now() - since);
    return true;
  }

  /** Ends a run and passes its slot on. */
  end(grant: GrantId, outcome: AttemptOutcome): void {
    const ended = this.#slots.end(grant);
    if (!ended) {
      return;
    }
    const { request, ms, wasOverdue } = ended;
    if (outcome === AttemptOutcome.Shed) {
      this.#pacer.recordRefusal();
    } else if (ACCEPTED.has(outcome)) {
      this.#pacer.recordAccepted();
    }
    this.#activity.recordRun();
    if (FAILURES.has(outcome)) {
      this.#demand.recordFailure();
    }
    this.#health.recordEnd({ outcome, ms, typicalMs: request.typicalMs, wasOverdue });
    this.#serviceTime.record(ms);
    this.#grantFreeSlots();
    this.#refuseUnservable();
  }

  /**
   * Records the end of a streamed response, whose run has ended with its start. It counts against the target only if
   * the response exceeded a limit: any other may have failed for its reader's sake.
   */
  recordStreamEnd(outcome: AttemptOutcome): void {
    if (outcome === AttemptOutcome.InvalidResponse) {
      this.#health.recordEnd({ outcome, ms: 0, typicalMs: 0, wasOverdue: false });
    }
  }

  /** Whether a grant is neither used nor expired. */
  isPending(grant: GrantId): boolean {
    return this.#slots.isPending(grant);
  }

  /** Publishes the load when the target begins to want work, while it does, and when it no longer does. */
  updateDemand(): void {
    this.#demand.update();
  }

  /** A report on the time that a ready target has been idle, when one is due; undefined otherwise. */
  takeIdleReport(): IdlePeriod | undefined {
    const isReady = this.#deps.target()?.acceptsRequests === true;
    return isReady && !this.isBusy ? this.#activity.takeReport() : undefined;
  }

  /** Time for which no slot was requested and no run was in progress, ms. */
  get unusedMs(): number {
    return this.isBusy ? 0 : this.#activity.unusedMs;
  }

  /** Whether any slot is granted or in use. */
  get isBusy(): boolean {
    return this.#slots.size > 0;
  }

  /** Evaluates the queue again: the target or its health state has changed, or it has appeared or is leaving. */
  reevaluateQueue(): void {
    this.#reevaluatedAt = -Infinity;
    this.#refuseUnservable();
    this.#grantFreeSlots();
  }

  /**
   * Refuses queued requests that can no longer be served here, so that they can be sent to another target, or their
   * callers get an error, instead of being held until their deadlines.
   */
  #refuseUnservable(): void {
    const now = this.#deps.clock.now();
    if (this.#queue.length === 0 || now - this.#reevaluatedAt < MIN_REEVALUATION_GAP_MS) {
      return;
    }
    this.#reevaluatedAt = now;
    this.#queue.refuseWhere(
      (waiting) => this.#refusalReason(waiting),
      (reason, waiting) => this.#refuse(reason, waiting),
    );
  }

  /**
   * Announces that this sidecar exits at `endAt` (ms, by the gate's clock): from now on a slot is granted only if its
   * run is expected to end before. A stopping sidecar keeps running for seconds to serve its callers. If its gates
   * closed at the signal, healthy targets would be idle during a rolling restart while the others lack capacity.
   */
  closeBy(endAt: number): void {
    this.#rule.closeBy(endAt);
    this.reevaluateQueue();
    this.#deps.onHealthChange?.(this.load);
    this.#reevaluateUntilShutdown();
  }

  /** Evaluates the queue periodically until the sidecar exits, also while no run ends. */
  #reevaluateUntilShutdown(): void {
    if (!this.#rule.isClosed && (this.#rule.endsInMs ?? 0) > 0) {
      this.#refuseUnservable();
      this.#deps.clock.after(SHUTDOWN_REEVALUATION_MS, () => {
        this.#reevaluateUntilShutdown();
      });
    }
  }

  /** Refuses all further slot requests and the queued ones. Runs in progress continue. */
  close(): void {
    this.#rule.close();
    this.reevaluateQueue();
  }

  /** Aborted when the gate's incarnation of the target has ended: see {@link retire}. */
  get retired(): AbortSignal {
    return this.#retired.signal;
  }

  /**
   * Closes the gate and aborts its runs, as the target has restarted and its new incarnation has a gate of its own.
   */
  retire(): void {
    this.close();
    this.#retired.abort();
  }

  get #freeSlots(): number {
    return (this.#deps.target()?.slots ?? 0) - this.#slots.size;
  }

  /** Why a new request cannot be queued; undefined if it can. */
  #refusalReasonOnArrival(waiting: QueuedRequest): RefusalReason | undefined {
    if (this.#slots.has(waiting.request.attempt)) {
      return RefusalReason.Duplicate;
    }
    const { msPerGrant } = this.#forecast;
    return this.#hasIdleSlot
      ? undefined
      : this.#rule.refusalOfQueue(this.#queue.length, this.#wait(waiting), msPerGrant);
  }

  /** Why a request, queued or new, cannot be granted now or later; undefined if it can. */
  #refusalReason(waiting: QueuedRequest): RefusalReason | undefined {
    return this.#rule.refusalReason(this.#current(waiting), this.#wait(waiting));
  }

  /** The request with the time that remains for it now. */
  #current({ request, receivedAt }: QueuedRequest): SlotRequest {
    const waitedMs = this.#deps.clock.now() - receivedAt;
    return { ...request, remainingMs: request.remainingMs - waitedMs };
  }

  /** Whether a slot is free, and the target does not refuse what it is sent. */
  get #mayGrant(): boolean {
    return this.#freeSlots > 0 && this.#pacer.waitMs === 0;
  }

  /** Whether a slot may be granted and no request is queued. */
  get #hasIdleSlot(): boolean {
    return this.#mayGrant && this.#queue.length === 0;
  }

  /** Estimated remaining wait for a grant. */
  #wait(waiting: QueuedRequest): ExpectedWait {
    return this.#hasIdleSlot ? NO_WAIT : this.#forecast.waitOf(waiting);
  }

  #refuse(reason: RefusalReason, waiting: QueuedRequest): SlotReply {
    this.#activity.recordRefusal(reason);
    return {
      kind: "refused",
      reason,
      retryAfterMs: Math.round(this.#wait(waiting).ms),
      load: this.load,
    };
  }

  #grant(request: SlotRequest, reply: (reply: SlotReply) => void): void {
    const { grants, detector } = this.#deps;
    const grant = grants.next();
    const isProbe = detector.isSuspect && detector.risk > request.acceptsRisk;
    this.#pacer.recordGrant();
    const grantMs = grantTtlMs(request.bodyBytes);
    this.#slots.grant(grant, request, isProbe, grantMs, () => {
      this.revoke(grant);
    });
    reply({ kind: "granted", grant, load: this.load });
  }

  /** Revokes an unused grant; false if there is none. */
  revoke(grant: GrantId): boolean {
    const wasGranted = this.#slots.revoke(grant);
    if (wasGranted) {
      this.#grantFreeSlots();
    }
    return wasGranted;
  }

  /** Grants the free slots to queued requests, in order. */
  #grantFreeSlots(): void {
    while (this.#mayGrant) {
      const dequeued = this.#queue.dequeue(this.#deps.clock.now(), this.#serviceTime.meanMs);
      if (!dequeued) {
        return;
      }
      this.#grantOrRefuse(dequeued);
    }
    this.#resumeWhenDue();
  }

  /** Continues to grant slots once the target may be sent the next request. */
  #resumeWhenDue(): void {
    if (this.#queue.length > 0 && this.#freeSlots > 0) {
      this.#pacer.resumeWhenDue(() => {
        this.#grantFreeSlots();
        this.#refuseUnservable();
      });
    }
  }

  /** Grants a slot to a dequeued request, or refuses it if it can no longer be served. */
  #grantOrRefuse({ waiting, reply }: NonNullable<ReturnType<AdmissionQueue["dequeue"]>>): void {
    const current = this.#current(waiting);
    if (!reply || current.remainingMs <= 0) {
      return; // The sender has given up by its own clock.
    }
    const refusal = this.#rule.refusalReason(current, NO_WAIT);
    if (refusal !== undefined) {
      reply(this.#refuse(refusal, waiting));
    } else {
      this.#queue.recordGrant(waiting, this.#deps.clock.now(), this.#serviceTime.meanMs);
      this.#grant(current, reply);
    }
  }
}
