import type { GrantId } from "../../common/ids/GrantId.ts";
import type { Clock } from "../../common/lifecycle/Clock.ts";
import type { AttemptOutcome } from "../detection/AttemptOutcome.ts";
import type { HealthDetector } from "../detection/HealthDetector.ts";
import type { SlotRequest } from "../hop/SlotRequest.ts";
import type { RefusalReason } from "../hop/RefusalReason.ts";
import type { SlotReply } from "../hop/SlotReply.ts";
import type { GateLoad } from "../hop/GateLoad.ts";
import type { LimitSignal } from "../signals/LimitSignal.ts";
import { FairShares, type FairRefusal } from "../fairness/FairShares.ts";
import type { FairShareRule } from "../fairness/FairShareRule.ts";
import { AdmissionQueue } from "./AdmissionQueue.ts";
import { AdmissionRule } from "./AdmissionRule.ts";
import { DemandPublisher } from "./DemandPublisher.ts";
import { GateActivity, type IdlePeriod } from "./GateActivity.ts";
import { GateAdmission } from "./GateAdmission.ts";
import type { GatedTarget } from "./GatedTarget.ts";
import type { GrantIds } from "./GrantIds.ts";
import { GrantPacer } from "./GrantPacer.ts";
import type { LimitChange } from "./LimitChange.ts";
import type { QueuedRequest } from "./QueuedRequest.ts";
import { QueueForecast } from "./QueueForecast.ts";
import { QueueProcessor } from "./QueueProcessor.ts";
import type { RequestRateLimit } from "./RequestRateLimit.ts";
import { ServiceTime } from "./ServiceTime.ts";
import { SlotGrants } from "./SlotGrants.ts";
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
  /** How slot time is shared among workspaces; undefined, or absent, while that is off. */
  readonly fairShareRule?: () => FairShareRule | undefined;
  /** Called when a full queue refuses a request for fairness: a new one, or a queued one in favour of a new one. */
  readonly onFairRefusal?: (refusal: FairRefusal) => void;
  /** Order in which queued requests are served; by default that of `goesBefore`. */
  readonly order?: ConstructorParameters<typeof AdmissionQueue>[0];
}

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
  readonly #pacer: GrantPacer;
  readonly #serviceTime = new ServiceTime();
  readonly #fairShares: FairShares;
  readonly #rule: AdmissionRule;
  readonly #forecast: QueueForecast;
  readonly #admission: GateAdmission;
  readonly #grants: SlotGrants;
  readonly #processor: QueueProcessor;
  readonly #retired = new AbortController();

  constructor(deps: GateDeps) {
    this.#deps = deps;
    const { target, detector, clock } = deps;
    const slotCount = () => target()?.slots ?? 1;
    this.#fairShares = new FairShares({
      rule: () => deps.fairShareRule?.(),
      slots: slotCount,
      serviceTime: this.#serviceTime,
      clock,
    });
    this.#queue = new AdmissionQueue(deps.order, this.#fairShares);
    this.#slots = new SlotTable(clock);
    this.#activity = new GateActivity(clock);
    this.#pacer = new GrantPacer({ clock, pending: () => this.#slots.pending });
    this.#demand = new DemandPublisher({
      clock,
      mayGrant: () => this.#rule.isOpen && this.#admission.mayGrant,
      onChange: () => {
        deps.onDemandChange?.(this.load);
      },
      onDemand: deps.onDemand,
    });
    const [queue, slots, activity, demand, pacer, serviceTime] = [
      this.#queue,
      this.#slots,
      this.#activity,
      this.#demand,
      this.#pacer,
      this.#serviceTime,
    ];
    const load = () => this.load;
    const rule = new AdmissionRule({ target, detector, slots, demand, serviceTime, clock });
    this.#rule = rule;
    this.#forecast = new QueueForecast({
      queue,
      pacer,
      serviceTime,
      slots: slotCount,
      clock,
    });
    this.#admission = new GateAdmission({
      ...{ target, rule, slots, pacer, queue, activity, load, clock },
      forecast: this.#forecast,
    });
    this.#grants = new SlotGrants({
      ...{ slots, detector, pacer, activity, demand, serviceTime, load, clock },
      grants: deps.grants,
      fairShares: this.#fairShares,
      health: this.#createHealth(),
      mayAwaitNestedCall: deps.mayAwaitNestedCall,
      onRevoked: () => {
        this.#processor.grantFreeSlots();
      },
    });
    this.#processor = new QueueProcessor({
      ...{ queue, rule, pacer, serviceTime, clock },
      admission: this.#admission,
      grants: this.#grants,
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
    const waiting = {
      request,
      receivedAt: this.#deps.clock.now(),
      virtualArrivalMs: this.#fairShares.virtualMs,
    };
    this.#recordRequest(request);
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
    const admission = this.#admission;
    const refusal = admission.refusalReasonOnArrival(waiting) ?? this.#refusalForRoom(waiting);
    if (refusal !== undefined) {
      onReply(admission.refuse(refusal, waiting));
      return { isQueued: false, withdraw: () => undefined };
    }
    if (admission.hasIdleSlot) {
      this.#queue.recordGrant(waiting, waiting.receivedAt, this.#serviceTime.meanMs);
      this.#grants.grant(waiting, onReply);
      return { isQueued: false, withdraw: revoke };
    }
    this.#queue.add(waiting, onReply);
    this.#processor.resumeWhenDue();
    return {
      isQueued: true,
      withdraw: () => {
        if (!this.#queue.remove(waiting)) {
          revoke();
        }
      },
    };
  }

  /**
   * Why there is no room for a new request; undefined if there is. In a full queue, room may be made by refusing a
   * request of the workspace that is furthest over its fair share.
   */
  #refusalForRoom(waiting: QueuedRequest): RefusalReason | undefined {
    const reason = this.#admission.refusalReasonOfQueue(waiting);
    const unfair = reason && this.#fairShares.chooseRefused(waiting, this.#queue.requests);
    if (!unfair) {
      return reason;
    }
    this.#deps.onFairRefusal?.(unfair);
    if (unfair.waiting === waiting) {
      return reason;
    }
    this.#queue.refuse(unfair.waiting, () => this.#admission.refuse(reason, unfair.waiting));
    return undefined;
  }

  /** Recent shares of the target's slot time by workspace, while fair sharing is on; see FairShares. */
  get slotTimeShares(): FairShares["shares"] {
    return this.#fairShares.shares;
  }

  /** Records what a slot request tells about its sender's knowledge of the service and the target. */
  #recordRequest({ unservedShare, limitPerS }: SlotRequest): void {
    this.#activity.recordRequest();
    this.#demand.recordReport(unservedShare);
    this.#updateLimit("sender", (limit) => {
      limit.recordReport(limitPerS);
    });
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
    return this.#grants.hold(grant);
  }

  /** Uses a grant and begins its run; undefined if the grant has expired. */
  redeem(grant: GrantId): SlotRequest | undefined {
    return this.#grants.redeem(grant);
  }

  /** Revokes an unused grant; false if there is none. */
  revoke(grant: GrantId): boolean {
    return this.#grants.revoke(grant);
  }

  /** Ends a run and passes its slot on. */
  end(grant: GrantId, outcome: AttemptOutcome): void {
    if (this.#grants.end(grant, outcome)) {
      this.#processor.grantFreeSlots();
      this.#processor.refuseUnservable();
    }
  }

  /**
   * Records the end of a streamed response, whose run has ended with its start.
   *
   * @param ms time from the start of the run to the end of the response, ms; undefined if unknown
   */
  recordStreamEnd(outcome: AttemptOutcome, ms?: number): void {
    this.#grants.recordStreamEnd(outcome, ms);
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
    this.#processor.reevaluate();
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
    this.#processor.reevaluateUntilShutdown();
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

  #createHealth(): TargetHealth {
    const { detector, onHealthChange } = this.#deps;
    return new TargetHealth({
      detector,
      onChange: () => {
        this.reevaluateQueue();
        onHealthChange?.(this.load);
      },
    });
  }
}
