import type { Clock } from "../../common/lifecycle/Clock.ts";
import type { GateLoad } from "../hop/GateLoad.ts";
import { RefusalReason } from "../hop/RefusalReason.ts";
import type { SlotReply } from "../hop/SlotReply.ts";
import type { SlotRequest } from "../hop/SlotRequest.ts";
import type { AdmissionQueue } from "./AdmissionQueue.ts";
import type { AdmissionRule } from "./AdmissionRule.ts";
import type { ExpectedWait } from "./ExpectedWait.ts";
import type { GateActivity } from "./GateActivity.ts";
import type { GatedTarget } from "./GatedTarget.ts";
import type { GrantPacer } from "./GrantPacer.ts";
import type { QueuedRequest } from "./QueuedRequest.ts";
import type { QueueForecast } from "./QueueForecast.ts";
import type { SlotTable } from "./SlotTable.ts";

const NO_WAIT: ExpectedWait = { ms: 0, isForLimit: false };

interface GateAdmissionDeps {
  /** The target as last announced; undefined if it is gone. */
  readonly target: () => GatedTarget | undefined;
  readonly rule: AdmissionRule;
  readonly slots: SlotTable;
  readonly pacer: GrantPacer;
  readonly queue: AdmissionQueue;
  readonly forecast: QueueForecast;
  readonly activity: GateActivity;
  readonly load: () => GateLoad;
  readonly clock: Clock;
}

/** Decides at a gate whether slot requests are granted, queued or refused, by its slots, its queue and its rule. */
export class GateAdmission {
  readonly #deps: GateAdmissionDeps;

  constructor(deps: GateAdmissionDeps) {
    this.#deps = deps;
  }

  /** Number of slots neither granted nor in use. */
  get freeSlots(): number {
    return (this.#deps.target()?.slots ?? 0) - this.#deps.slots.size;
  }

  /** Whether a slot is free, and the target does not refuse what it is sent. */
  get mayGrant(): boolean {
    return this.freeSlots > 0 && this.#deps.pacer.waitMs === 0;
  }

  /** Whether a slot may be granted and no request is queued. */
  get hasIdleSlot(): boolean {
    return this.mayGrant && this.#deps.queue.length === 0;
  }

  /** The request with the time that remains for it now. */
  current({ request, receivedAt }: QueuedRequest): SlotRequest {
    const waitedMs = this.#deps.clock.now() - receivedAt;
    return { ...request, remainingMs: request.remainingMs - waitedMs };
  }

  /** Why a request, queued or new, cannot be granted now or later; undefined if it can. */
  refusalReason(waiting: QueuedRequest): RefusalReason | undefined {
    return this.#deps.rule.refusalReason(this.current(waiting), this.#wait(waiting));
  }

  /** Why a new request cannot get a slot at all; undefined if it can. */
  refusalReasonOnArrival(waiting: QueuedRequest): RefusalReason | undefined {
    const isDuplicate = this.#deps.slots.has(waiting.request.attempt);
    return this.refusalReason(waiting) ?? (isDuplicate ? RefusalReason.Duplicate : undefined);
  }

  /** Why there is no room in the queue for a new request; undefined if there is, or it needs none. */
  refusalReasonOfQueue(waiting: QueuedRequest): RefusalReason | undefined {
    const { forecast, rule, queue } = this.#deps;
    const { msPerGrant } = forecast;
    return this.hasIdleSlot
      ? undefined
      : rule.refusalOfQueue(queue.length, this.#wait(waiting), msPerGrant);
  }

  /** Why a request cannot be granted a slot that is free now; undefined if it can. */
  refusalReasonForFreeSlot(current: SlotRequest): RefusalReason | undefined {
    return this.#deps.rule.refusalReason(current, NO_WAIT);
  }

  /** Records a refusal and builds the reply. */
  refuse(reason: RefusalReason, waiting: QueuedRequest): SlotReply {
    const { activity, load } = this.#deps;
    activity.recordRefusal(reason);
    return {
      kind: "refused",
      reason,
      retryAfterMs: Math.round(this.#wait(waiting).ms),
      load: load(),
    };
  }

  /** Estimated remaining wait for a grant. */
  #wait(waiting: QueuedRequest): ExpectedWait {
    return this.hasIdleSlot ? NO_WAIT : this.#deps.forecast.waitOf(waiting);
  }
}
