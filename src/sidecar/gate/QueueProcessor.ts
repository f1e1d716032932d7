import type { Clock } from "../../common/lifecycle/Clock.ts";
import type { AdmissionQueue } from "./AdmissionQueue.ts";
import type { AdmissionRule } from "./AdmissionRule.ts";
import type { GateAdmission } from "./GateAdmission.ts";
import type { GrantPacer } from "./GrantPacer.ts";
import type { ServiceTime } from "./ServiceTime.ts";
import type { SlotGrants } from "./SlotGrants.ts";

/** Least interval between two evaluations of the queue, ms. */
const MIN_REEVALUATION_GAP_MS = 50;

/** Interval at which the queue is evaluated while the sidecar is being stopped, ms. */
const SHUTDOWN_REEVALUATION_MS = 100;

interface QueueProcessorDeps {
  readonly queue: AdmissionQueue;
  readonly admission: GateAdmission;
  readonly rule: AdmissionRule;
  readonly grants: Pick<SlotGrants, "grant">;
  readonly pacer: GrantPacer;
  readonly serviceTime: ServiceTime;
  readonly clock: Clock;
}

/** Grants free slots to the queued requests of a gate, in order, and refuses those that can no longer be served. */
export class QueueProcessor {
  readonly #deps: QueueProcessorDeps;
  #reevaluatedAt = -Infinity;

  constructor(deps: QueueProcessorDeps) {
    this.#deps = deps;
  }

  /** Evaluates the queue again: the target or its health state has changed, or it has appeared or is leaving. */
  reevaluate(): void {
    this.#reevaluatedAt = -Infinity;
    this.refuseUnservable();
    this.grantFreeSlots();
  }

  /** Evaluates the queue periodically until the sidecar exits, also while no run ends. */
  reevaluateUntilShutdown(): void {
    const { rule, clock } = this.#deps;
    if (!rule.isClosed && (rule.endsInMs ?? 0) > 0) {
      this.refuseUnservable();
      clock.after(SHUTDOWN_REEVALUATION_MS, () => {
        this.reevaluateUntilShutdown();
      });
    }
  }

  /**
   * Refuses queued requests that can no longer be served here, so that they can be sent to another target, or their
   * callers get an error, instead of being held until their deadlines.
   */
  refuseUnservable(): void {
    const { queue, admission, clock } = this.#deps;
    const now = clock.now();
    if (queue.length === 0 || now - this.#reevaluatedAt < MIN_REEVALUATION_GAP_MS) {
      return;
    }
    this.#reevaluatedAt = now;
    queue.refuseWhere(
      (waiting) => admission.refusalReason(waiting),
      (reason, waiting) => admission.refuse(reason, waiting),
    );
  }

  /** Grants the free slots to queued requests, in order. */
  grantFreeSlots(): void {
    const { queue, admission, serviceTime, clock } = this.#deps;
    while (admission.mayGrant) {
      const dequeued = queue.dequeue(clock.now(), serviceTime.meanMs);
      if (!dequeued) {
        return;
      }
      this.#grantOrRefuse(dequeued);
    }
    this.resumeWhenDue();
  }

  /** Continues to grant slots once the target may be sent the next request. */
  resumeWhenDue(): void {
    const { queue, admission, pacer } = this.#deps;
    if (queue.length > 0 && admission.freeSlots > 0) {
      pacer.resumeWhenDue(() => {
        this.grantFreeSlots();
        this.refuseUnservable();
      });
    }
  }

  /** Grants a slot to a dequeued request, or refuses it if it can no longer be served. */
  #grantOrRefuse({ waiting, reply }: NonNullable<ReturnType<AdmissionQueue["dequeue"]>>): void {
    const { queue, admission, grants, serviceTime, clock } = this.#deps;
    const current = admission.current(waiting);
    if (!reply || current.remainingMs <= 0) {
      return; // The sender has given up by its own clock.
    }
    const refusal = admission.refusalReasonForFreeSlot(current);
    if (refusal !== undefined) {
      reply(admission.refuse(refusal, waiting));
    } else {
      queue.recordGrant(waiting, clock.now(), serviceTime.meanMs);
      grants.grant({ ...waiting, request: current }, reply);
    }
  }
}
