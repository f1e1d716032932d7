import type { GrantId } from "../../common/ids/GrantId.ts";
import type { Clock } from "../../common/lifecycle/Clock.ts";
import { AttemptOutcome } from "../detection/AttemptOutcome.ts";
import type { HealthDetector } from "../detection/HealthDetector.ts";
import type { SlotRequest } from "../hop/SlotRequest.ts";
import type { SlotReply } from "../hop/SlotReply.ts";
import type { GateLoad } from "../hop/GateLoad.ts";
import { RefusalReason } from "../hop/RefusalReason.ts";
import { AdmissionQueue } from "./AdmissionQueue.ts";
import type { GrantIds } from "./GrantIds.ts";
import { runRoomMs } from "./runRoomMs.ts";
import { SlotTable } from "./SlotTable.ts";
import type { QueuedRequest } from "./QueuedRequest.ts";

/** The target, as far as the gate needs to know it. */
interface GatedTarget {
  readonly slots: number;
  /** Takes new work: ready, not leaving. */
  readonly takesWork: boolean;
}

interface GateDeps {
  /** The target as it announced itself last; undefined when it is gone. */
  readonly target: () => GatedTarget | undefined;
  readonly detector: HealthDetector;
  readonly clock: Clock;
  readonly grants: Pick<GrantIds, "next">;
  /** Whether a run that began at the time given may be waiting for a call of its own; left out, none makes any. */
  readonly waitsForCall?: (since: number) => boolean;
  /** Told when the target is thought of otherwise: well, suspect or ejected. */
  readonly onJudged?: (load: GateLoad) => void;
  /** Who goes first of those that wait; left out, the product's own order. */
  readonly order?: ConstructorParameters<typeof AdmissionQueue>[0];
}

/**
 * A grant that nobody takes expires after this long, ms. A round trip takes 3; the
 * rest is for a sidecar on a slowed machine. The slot stands empty meanwhile.
 */
const GRANT_TTL_MS = 250;

/** Scales the lease with the body size, so that a slow upload does not lose its slot and retry from the start. */
const MIN_UPLOAD_BYTES_PER_MS = 100;

/**
 * Waiting asks per slot, at most. Each request asks two or three gates, so half and
 * more of what waits here will be withdrawn; a queue of eight a slot is then two to
 * four requests deep, about the longest that still meets a deadline of ten times the
 * work time.
 */
const MAX_QUEUED_PER_SLOT = 8;

/** What waits is weighed again at most this often, ms. */
const MIN_REEVALUATION_GAP_MS = 50;

/** How often a gate that is being closed weighs what waits, ms. */
const SHUTDOWN_REEVALUATION_MS = 100;

/**
 * A run that takes this many times its usual time is evidence against the target
 * while it lasts: one that hangs would otherwise be noticed at its deadline only.
 */
const OVERDUE_FACTOR = 3;

/** Weight of the newest request in the average service time: about the last ten count. */
const SERVICE_TIME_SMOOTHING = 0.1;

/** Assumed service time before any request has run, ms. */
const INITIAL_SERVICE_MS = 300;

/** An ask being weighed, which whoever asked may take back. */
interface SlotRequestHandle {
  /** True while it waits for a slot. */
  readonly queued: boolean;
  /** Takes the ask, or a grant not taken yet, back. */
  withdraw(): void;
}

/**
 * Admission to one target beside this sidecar. The sidecar is the only way in, so
 * it knows exactly which slots are free: requests wait here, where they can be put in
 * order and taken back, and not in the target's own queue. What cannot be served in
 * time is refused at once, so that another target can be asked.
 */
export class Gate {
  readonly #deps: GateDeps;
  readonly #queue: AdmissionQueue;
  readonly #slots: SlotTable;
  readonly #retired = new AbortController();
  #reevaluatedAt = -Infinity;
  #serviceMs = INITIAL_SERVICE_MS;
  #closed = false;
  /** When the sidecar ends, by the gate's clock, ms; runs are to be over by then. */
  #shutdownAt = Infinity;

  constructor(deps: GateDeps) {
    this.#deps = deps;
    this.#queue = new AdmissionQueue(deps.order);
    this.#slots = new SlotTable(deps.clock);
  }

  /** How busy the target is. */
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
      endsInMs: this.#shutdownAt < Infinity ? this.#shutdownAt - this.#deps.clock.now() : undefined,
    };
  }

  /** Weighs an ask; `reply` is called once, at once or when a slot is free. */
  requestSlot(request: SlotRequest, reply: (reply: SlotReply) => void): SlotRequestHandle {
    const waiting = { request, askedAt: this.#deps.clock.now() };
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
      return { queued: false, withdraw: () => undefined };
    }
    if (this.#hasIdleSlot) {
      this.#queue.recordGrant(waiting, waiting.askedAt, this.#serviceMs);
      this.#grant(request, onReply);
      return { queued: false, withdraw: revoke };
    }
    this.#queue.add(waiting, onReply);
    return {
      queued: true,
      withdraw: () => {
        if (!this.#queue.remove(waiting)) {
          revoke();
        }
      },
    };
  }

  /** Keeps a grant while the body of its request is on its way here; false when the grant has expired. */
  hold(grant: GrantId): boolean {
    return this.#slots.hold(grant, () => {
      this.revoke(grant);
    });
  }

  /** Begins the run that a grant was given for; undefined when the grant has expired. */
  take(grant: GrantId): SlotRequest | undefined {
    return this.#slots.take(
      grant,
      (request) => this.#typicalRunMs(request) * OVERDUE_FACTOR,
      (since) => this.#reportOverdue(since),
    );
  }

  /** Tells the detector of a run that takes far longer than usual; false where the time is that of a target which it called. */
  #reportOverdue(since: number): boolean {
    if (this.#deps.waitsForCall?.(since)) {
      return false;
    }
    this.#updateDetector(() => {
      this.#deps.detector.noteOverdue(this.#deps.clock.now() - since);
    });
    return true;
  }

  /** Ends a run, and gives its slot to the next. */
  end(grant: GrantId, outcome: AttemptOutcome): void {
    const ended = this.#slots.end(grant);
    if (!ended) {
      return;
    }
    const { request, ms, wasOverdue } = ended;
    // One that was overdue, and then ran out of time, is one observation.
    if (!(wasOverdue && outcome === AttemptOutcome.TimedOut)) {
      this.#updateDetector(() => {
        this.#deps.detector.note(outcome, ms, request.typicalMs);
      });
    }
    this.#updateServiceMs(ms);
    this.#grantFreeSlots();
    this.#refuseUnservable();
  }

  /** Where the detector thinks otherwise of the target now, what waits for it is weighed again. */
  #updateDetector(update: () => void): void {
    const before = this.#health;
    update();
    if (this.#health !== before) {
      this.targetChanged();
      this.#deps.onJudged?.(this.load);
    }
  }

  /** Whether a slot is granted that has not been taken yet. */
  isPending(grant: GrantId): boolean {
    return this.#slots.isPending(grant);
  }

  /** True while a slot is granted or in use. */
  get isBusy(): boolean {
    return this.#slots.size > 0;
  }

  get #health(): "ejected" | "suspect" | "well" {
    const { detector } = this.#deps;
    return detector.isEjected ? "ejected" : detector.isSuspect ? "suspect" : "well";
  }

  /** Looks again at what waits: the target has changed, come, or is leaving, or is thought of otherwise. */
  targetChanged(): void {
    this.#reevaluatedAt = -Infinity;
    this.#refuseUnservable();
    this.#grantFreeSlots();
  }

  /**
   * Refuses what stands in line and cannot be served here any more, so that it can go
   * elsewhere or be told so, instead of being held until its time is up.
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
   * This sidecar is being stopped, and ends at `endAt` by its clock, ms: asks are granted for as long as
   * their runs will be over by then. A stopping sidecar lives on for seconds for the sake of its callers; shut from the
   * signal on, sound targets stand idle in a rolling stop while others have no room for what comes.
   */
  closeBy(endAt: number): void {
    this.#shutdownAt = endAt;
    this.targetChanged();
    this.#deps.onJudged?.(this.load);
    this.#reevaluateUntilShutdown();
  }

  /** What waits is weighed again as the end comes nearer, also while no run ends. */
  #reevaluateUntilShutdown(): void {
    if (!this.#closed && this.#deps.clock.now() < this.#shutdownAt) {
      this.#refuseUnservable();
      this.#deps.clock.after(SHUTDOWN_REEVALUATION_MS, () => {
        this.#reevaluateUntilShutdown();
      });
    }
  }

  /** Takes no more asks. Runs under way go on. */
  close(): void {
    this.#closed = true;
    this.targetChanged();
  }

  /** Aborted once the life of the target that this gate leads to has ended: see {@link retire}. */
  get retired(): AbortSignal {
    return this.#retired.signal;
  }

  /** The target has started again, and another gate leads to its new life: what is here is at an end. */
  retire(): void {
    this.close();
    this.#retired.abort();
  }

  get #freeSlots(): number {
    return (this.#deps.target()?.slots ?? 0) - this.#slots.size;
  }

  /** Why an ask cannot join the line; undefined when it can. */
  #refusalReasonOnArrival({ attempt }: SlotRequest): RefusalReason | undefined {
    if (this.#slots.has(attempt)) {
      return RefusalReason.Duplicate;
    }
    const slots = this.#deps.target()?.slots ?? 0;
    const isQueueFull = this.#queue.length >= MAX_QUEUED_PER_SLOT * slots;
    return !this.#hasIdleSlot && isQueueFull ? RefusalReason.Full : undefined;
  }

  /** Why an ask, in line or about to join it, cannot be granted, now or by waiting; undefined when it can. */
  #refusalReason(waiting: QueuedRequest): RefusalReason | undefined {
    const { request, askedAt } = waiting;
    const target = this.#deps.target();
    if (!target) {
      return RefusalReason.NoTarget;
    }
    const now = this.#deps.clock.now();
    const remainingMs = request.remainingMs - (now - askedAt);
    const waitMs = this.#waitMs(waiting);
    const endsTooSoon =
      now + waitMs + this.#runAllowanceMs({ ...request, remainingMs }) > this.#shutdownAt;
    if (this.#closed || !target.takesWork || endsTooSoon) {
      return RefusalReason.Leaving;
    }
    if (!this.#deps.detector.admits(request, this.#slots.probes)) {
      return RefusalReason.Suspect;
    }
    return waitMs > 0 && waitMs + this.#serviceMs > remainingMs ? RefusalReason.Full : undefined;
  }

  /** Time that a run of the request should be given before this sidecar ends, ms; by its deadline it is over. */
  #runAllowanceMs(request: SlotRequest): number {
    return Math.min(
      request.remainingMs,
      runRoomMs(this.#typicalRunMs(request), request.isExpendable),
    );
  }

  /** What a request usually takes, ms. */
  #typicalRunMs({ typicalMs }: SlotRequest): number {
    return typicalMs > 0 ? typicalMs : this.#serviceMs;
  }

  /** A slot is free, and nobody waits for it. */
  get #hasIdleSlot(): boolean {
    return this.#freeSlots > 0 && this.#queue.length === 0;
  }

  /** How long an ask will wait for a slot from now on, ms. */
  #waitMs(waiting: QueuedRequest): number {
    if (this.#hasIdleSlot) {
      return 0;
    }
    const pace = { slots: this.#deps.target()?.slots ?? 1, serviceMs: this.#serviceMs };
    return this.#queue.waitMs(waiting, this.#deps.clock.now(), pace);
  }

  #refuse(reason: RefusalReason, waiting: QueuedRequest): SlotReply {
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
    const grantMs = GRANT_TTL_MS + request.bodyBytes / MIN_UPLOAD_BYTES_PER_MS;
    this.#slots.grant(grant, request, isProbe, grantMs, () => {
      this.revoke(grant);
    });
    reply({ kind: "granted", grant, load: this.load });
  }

  /** Takes back a grant that was not taken; true when there was one. */
  revoke(grant: GrantId): boolean {
    const wasGranted = this.#slots.revoke(grant);
    if (wasGranted) {
      this.#grantFreeSlots();
    }
    return wasGranted;
  }

  /** Gives free slots to those whose turn it is. */
  #grantFreeSlots(): void {
    while (this.#freeSlots > 0) {
      const dequeued = this.#queue.dequeue(this.#deps.clock.now(), this.#serviceMs);
      if (!dequeued) {
        return;
      }
      this.#grantOrRefuse(dequeued);
    }
  }

  /** Grants a slot to the ask whose turn it is, unless it is of no use to it any more. */
  #grantOrRefuse({ waiting, reply }: NonNullable<ReturnType<AdmissionQueue["dequeue"]>>): void {
    const now = this.#deps.clock.now();
    const remainingMs = waiting.request.remainingMs - (now - waiting.askedAt);
    const current = { ...waiting.request, remainingMs };
    if (!reply || remainingMs <= 0) {
      return; // Whoever asked has given up by its own clock.
    }
    if (now + this.#runAllowanceMs(current) > this.#shutdownAt) {
      reply(this.#refuse(RefusalReason.Leaving, waiting));
    } else if (!this.#deps.detector.admits(current, this.#slots.probes)) {
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
