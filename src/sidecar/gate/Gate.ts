import type { GrantId } from "../../common/ids/GrantId.ts";
import type { Clock } from "../../common/lifecycle/Clock.ts";
import { AttemptOutcome } from "../detection/AttemptOutcome.ts";
import type { HealthDetector } from "../detection/HealthDetector.ts";
import type { SlotRequest } from "../hop/SlotRequest.ts";
import type { SlotReply } from "../hop/SlotReply.ts";
import type { GateLoad } from "../hop/GateLoad.ts";
import { grantTtlMs } from "../hop/grantTtlMs.ts";
import { RefusalReason } from "../hop/RefusalReason.ts";
import { AdmissionQueue } from "./AdmissionQueue.ts";
import { GateActivity, type IdlePeriod } from "./GateActivity.ts";
import type { GrantIds } from "./GrantIds.ts";
import { RefusalBackoff } from "./RefusalBackoff.ts";
import { runAllowanceMs } from "./runAllowanceMs.ts";
import { SlotTable } from "./SlotTable.ts";
import { WorkDemand } from "./WorkDemand.ts";
import type { QueuedRequest } from "./QueuedRequest.ts";

/** The properties of the target that the gate uses. */
interface GatedTarget {
  /** Number of requests that the target can run at once. */
  readonly slots: number;
  /** Whether the target accepts new requests: it is ready and not leaving. */
  readonly acceptsRequests: boolean;
}

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
  /** Order in which queued requests are served; by default that of `goesBefore`. */
  readonly order?: ConstructorParameters<typeof AdmissionQueue>[0];
}

/**
 * Maximum number of queued requests per slot. A sidecar asks two or three gates for each request, so half or more of
 * the queued requests will be withdrawn. Eight per slot thus amount to two to four runs per slot, about the longest
 * queue that still meets a deadline of ten times the service time.
 */
const MAX_QUEUED_PER_SLOT = 8;

/** Least interval between two evaluations of the queue, ms. */
const MIN_REEVALUATION_GAP_MS = 50;

/** Interval at which the queue is evaluated while the sidecar is being stopped, ms. */
const SHUTDOWN_REEVALUATION_MS = 100;

/**
 * Multiple of its typical time after which a run is overdue, which counts against the target while the run is still
 * in progress: a run that hangs would otherwise be noticed only at its deadline.
 */
const OVERDUE_FACTOR = 3;

/** Interval at which a target's demand for work is published again while it lasts, ms. */
const DEMAND_REPEAT_MS = 500;

/** Smoothing factor of the mean service time, an exponential moving average over about the last ten runs. */
const SERVICE_TIME_SMOOTHING = 0.1;

/** Mean service time assumed before any request has run, ms. */
const INITIAL_SERVICE_MS = 300;

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
  readonly #demand: WorkDemand;
  readonly #backoff: RefusalBackoff;
  /** Whether slots are free, but the next grant is delayed. */
  #isBackingOff = false;
  /** When the demand for work was last published, by the clock, ms; undefined while there is none. */
  #demandPublishedAt: number | undefined;
  #isDemandReported = false;
  readonly #retired = new AbortController();
  #reevaluatedAt = -Infinity;
  #serviceMs = INITIAL_SERVICE_MS;
  #closed = false;
  /** When the sidecar exits, by the gate's clock, ms; runs have to end before. */
  #shutdownAt = Infinity;

  constructor(deps: GateDeps) {
    this.#deps = deps;
    this.#queue = new AdmissionQueue(deps.order);
    this.#slots = new SlotTable(deps.clock);
    this.#activity = new GateActivity(deps.clock);
    this.#demand = new WorkDemand(deps.clock);
    this.#backoff = new RefusalBackoff(deps.clock);
  }

  /** Current load and health of the target. */
  get load(): GateLoad {
    const { detector } = this.#deps;
    return {
      slots: this.#deps.target()?.slots ?? 0,
      busy: this.#slots.size,
      queued: this.#queue.length,
      serviceMs: Math.round(this.#serviceMs),
      pace: detector.pace,
      risk: Math.round(detector.risk * 1000) / 1000,
      suspect: detector.isSuspect,
      ejected: detector.isEjected,
      probeInMs: detector.probeInMs(this.#slots.probes),
      wantsWork: this.#wantsWork,
      endsInMs: this.#shutdownAt < Infinity ? this.#shutdownAt - this.#deps.clock.now() : undefined,
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
    const refusal = this.#refusalReason(waiting) ?? this.#refusalReasonOnArrival(request);
    if (refusal !== undefined) {
      onReply(this.#refuse(refusal, waiting));
      return { isQueued: false, withdraw: () => undefined };
    }
    if (this.#hasIdleSlot) {
      this.#queue.recordGrant(waiting, waiting.receivedAt, this.#serviceMs);
      this.#grant(request, onReply);
      return { isQueued: false, withdraw: revoke };
    }
    this.#queue.add(waiting, onReply);
    this.#awaitBackoff();
    return {
      isQueued: true,
      withdraw: () => {
        if (!this.#queue.remove(waiting)) {
          revoke();
        }
      },
    };
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
      (request) => this.#typicalRunMs(request) * OVERDUE_FACTOR,
      (since) => this.#reportOverdue(since),
    );
    if (redeemed) {
      this.#backoff.recordStart();
      this.#activity.recordRun();
      this.#demand.recordStart();
      this.#isDemandReported = false;
      this.updateDemand();
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
    this.#updateDetector(() => {
      this.#deps.detector.recordOverdue(this.#deps.clock.now() - since);
    });
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
      this.#backoff.recordRefusal();
    } else if (ACCEPTED.has(outcome)) {
      this.#backoff.recordAccepted();
    }
    this.#activity.recordRun();
    if (FAILURES.has(outcome)) {
      this.#demand.recordFailure();
    }
    // A run that was overdue and then timed out counts as a single observation.
    if (!(wasOverdue && outcome === AttemptOutcome.TimedOut)) {
      this.#updateDetector(() => {
        this.#deps.detector.recordOutcome(outcome, ms, request.typicalMs);
      });
    }
    this.#updateServiceMs(ms);
    this.#grantFreeSlots();
    this.#refuseUnservable();
  }

  /** Updates the detector, and evaluates the queue again if the health state of the target has changed. */
  #updateDetector(update: () => void): void {
    const before = this.#health;
    update();
    if (this.#health !== before) {
      this.reevaluateQueue();
      this.#deps.onHealthChange?.(this.load);
    }
  }

  /** Whether a grant is neither used nor expired. */
  isPending(grant: GrantId): boolean {
    return this.#slots.isPending(grant);
  }

  /** Publishes the load when the target begins to want work, while it does, and when it no longer does. */
  updateDemand(): void {
    const now = this.#deps.clock.now();
    const wantsWork = this.#wantsWork;
    const hadDemand = this.#demandPublishedAt !== undefined;
    const isDue = now - (this.#demandPublishedAt ?? -Infinity) >= DEMAND_REPEAT_MS;
    if (wantsWork && this.#demand.isServiceFailing && !this.#isDemandReported) {
      this.#isDemandReported = true;
      this.#deps.onDemand?.(this.#demand.unservedShare);
    }
    if (wantsWork ? isDue : hadDemand) {
      this.#demandPublishedAt = wantsWork ? now : undefined;
      this.#deps.onDemandChange?.(this.load);
    }
  }

  get #wantsWork(): boolean {
    const isOpen = this.#deps.target()?.acceptsRequests === true && this.#shutdownAt === Infinity;
    return isOpen && this.#mayGrant && this.#demand.isActive;
  }

  /** A report on the time that a ready target has been idle, when one is due; undefined otherwise. */
  takeIdleReport(): IdlePeriod | undefined {
    const isReady = this.#deps.target()?.acceptsRequests === true;
    return isReady && !this.isBusy ? this.#activity.takeReport() : undefined;
  }

  /** Whether any slot is granted or in use. */
  get isBusy(): boolean {
    return this.#slots.size > 0;
  }

  get #health(): "ejected" | "suspect" | "well" {
    const { detector } = this.#deps;
    return detector.isEjected ? "ejected" : detector.isSuspect ? "suspect" : "well";
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
    this.#shutdownAt = endAt;
    this.reevaluateQueue();
    this.#deps.onHealthChange?.(this.load);
    this.#reevaluateUntilShutdown();
  }

  /** Evaluates the queue periodically until the sidecar exits, also while no run ends. */
  #reevaluateUntilShutdown(): void {
    if (!this.#closed && this.#deps.clock.now() < this.#shutdownAt) {
      this.#refuseUnservable();
      this.#deps.clock.after(SHUTDOWN_REEVALUATION_MS, () => {
        this.#reevaluateUntilShutdown();
      });
    }
  }

  /** Refuses all further slot requests and the queued ones. Runs in progress continue. */
  close(): void {
    this.#closed = true;
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
  #refusalReasonOnArrival({ attempt }: SlotRequest): RefusalReason | undefined {
    if (this.#slots.has(attempt)) {
      return RefusalReason.Duplicate;
    }
    const slots = this.#deps.target()?.slots ?? 0;
    const isQueueFull = this.#queue.length >= MAX_QUEUED_PER_SLOT * slots;
    return !this.#hasIdleSlot && isQueueFull ? RefusalReason.Full : undefined;
  }

  /** Why a request, queued or new, cannot be granted now or later; undefined if it can. */
  #refusalReason(waiting: QueuedRequest): RefusalReason | undefined {
    const { request, receivedAt } = waiting;
    const target = this.#deps.target();
    if (!target) {
      return RefusalReason.NoTarget;
    }
    const now = this.#deps.clock.now();
    const remainingMs = request.remainingMs - (now - receivedAt);
    const waitMs = this.#waitMs(waiting);
    const endsTooSoon =
      now + waitMs + this.#runAllowanceMs({ ...request, remainingMs }) > this.#shutdownAt;
    if (this.#closed || !target.acceptsRequests || endsTooSoon) {
      return RefusalReason.Leaving;
    }
    if (!this.#admits(request)) {
      return RefusalReason.Suspect;
    }
    return waitMs > 0 && waitMs + this.#serviceMs > remainingMs ? RefusalReason.Full : undefined;
  }

  /** Whether the target's health admits the request, or it has been idle for so long that any request may test it. */
  #admits(request: SlotRequest): boolean {
    const { probes } = this.#slots;
    const isTest = probes === 0 && this.#demand.accepts(request.isIdempotent);
    return isTest || this.#deps.detector.admits(request, probes);
  }

  /** Time to reserve for a run before this sidecar exits, ms; at most until its deadline, when it ends anyway. */
  #runAllowanceMs(request: SlotRequest): number {
    return Math.min(
      request.remainingMs,
      runAllowanceMs(this.#typicalRunMs(request), request.isRetryable),
    );
  }

  /** Typical time of a run of the request, or the mean service time if that is unknown, ms. */
  #typicalRunMs({ typicalMs }: SlotRequest): number {
    return typicalMs > 0 ? typicalMs : this.#serviceMs;
  }

  /** Whether a slot is free, and the target does not refuse what it is sent. */
  get #mayGrant(): boolean {
    return this.#freeSlots > 0 && this.#backoff.waitMs === 0;
  }

  /** Whether a slot may be granted and no request is queued. */
  get #hasIdleSlot(): boolean {
    return this.#mayGrant && this.#queue.length === 0;
  }

  /** Estimated remaining wait for a slot, ms. */
  #waitMs(waiting: QueuedRequest): number {
    if (this.#hasIdleSlot) {
      return 0;
    }
    const pace = { slots: this.#deps.target()?.slots ?? 1, serviceMs: this.#serviceMs };
    const queueMs = this.#queue.waitMs(waiting, this.#deps.clock.now(), pace);
    return Math.max(queueMs, this.#backoff.waitMs);
  }

  #refuse(reason: RefusalReason, waiting: QueuedRequest): SlotReply {
    this.#activity.recordRefusal(reason);
    return {
      kind: "refused",
      reason,
      retryAfterMs: Math.round(this.#waitMs(waiting)),
      load: this.load,
    };
  }

  #grant(request: SlotRequest, reply: (reply: SlotReply) => void): void {
    const { grants, detector } = this.#deps;
    const grant = grants.next();
    const isProbe = detector.isSuspect && detector.risk > request.acceptsRisk;
    this.#backoff.recordGrant();
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
      const dequeued = this.#queue.dequeue(this.#deps.clock.now(), this.#serviceMs);
      if (!dequeued) {
        return;
      }
      this.#grantOrRefuse(dequeued);
    }
    this.#awaitBackoff();
  }

  /** Continues to grant slots once the target may be sent the next request. */
  #awaitBackoff(): void {
    const { waitMs } = this.#backoff;
    const isDelayed = waitMs > 0 && this.#queue.length > 0 && this.#freeSlots > 0;
    if (this.#isBackingOff || !isDelayed) {
      return;
    }
    this.#isBackingOff = true;
    this.#deps.clock.after(waitMs, () => {
      this.#isBackingOff = false;
      this.#grantFreeSlots();
    });
  }

  /** Grants a slot to a dequeued request, or refuses it if it can no longer be served. */
  #grantOrRefuse({ waiting, reply }: NonNullable<ReturnType<AdmissionQueue["dequeue"]>>): void {
    const now = this.#deps.clock.now();
    const remainingMs = waiting.request.remainingMs - (now - waiting.receivedAt);
    const current = { ...waiting.request, remainingMs };
    if (!reply || remainingMs <= 0) {
      return; // The sender has given up by its own clock.
    }
    if (now + this.#runAllowanceMs(current) > this.#shutdownAt) {
      reply(this.#refuse(RefusalReason.Leaving, waiting));
    } else if (!this.#admits(current)) {
      reply(this.#refuse(RefusalReason.Suspect, waiting));
    } else {
      this.#queue.recordGrant(waiting, now, this.#serviceMs);
      this.#grant(current, reply);
    }
  }

  #updateServiceMs(ms: number): void {
    this.#serviceMs += SERVICE_TIME_SMOOTHING * (ms - this.#serviceMs);
  }
}
