import { RETRY_AFTER_MS } from "../forwarding/RETRY_AFTER_MS.ts";
import type { SlotReply } from "../hop/SlotReply.ts";
import { RefusalReason } from "../hop/RefusalReason.ts";

/**
 * Number of healthy targets that may refuse as full before no further healthy one is tried. Loads are similar across
 * targets, and without this limit every request would try every target during an overload.
 */
const MAX_FULL = 3;

/**
 * Number of targets that may refuse for the limit that they name. Others of the service may name none, so these
 * refusals are counted apart.
 */
const MAX_LIMITED = 3;

/** The refusals of targets in one search for a slot. */
export class SearchRefusals {
  #full = 0;
  #limited = 0;
  #retryAfterMs = Infinity;
  #isTargetUnknown = true;

  /** Why there is no slot so far. */
  reason = "no target of the service is known to take work";

  /** Records that a target has refused. */
  record({ reason, retryAfterMs }: Extract<SlotReply, { kind: "refused" }>): void {
    this.#full += reason === RefusalReason.Full ? 1 : 0;
    this.#limited += reason === RefusalReason.Limited ? 1 : 0;
    this.#isTargetUnknown &&= reason === RefusalReason.NoTarget;
    this.#retryAfterMs = Math.min(this.#retryAfterMs, retryAfterMs);
    this.reason = `every target refused, the last one as ${reason}`;
  }

  /** Whether further healthy targets may be tried. */
  get mayTryHealthy(): boolean {
    return this.#full < MAX_FULL && this.#limited < MAX_LIMITED;
  }

  /** Whether a healthy target has refused for lack of room. */
  get hasNoRoom(): boolean {
    return this.#full + this.#limited > 0;
  }

  /** Whether every target that refused was unknown to the sidecar it was announced by. */
  get isTargetUnknown(): boolean {
    return this.#isTargetUnknown;
  }

  /** Time after which a new request may succeed, ms. */
  get retryAfterMs(): number {
    return Number.isFinite(this.#retryAfterMs) ? this.#retryAfterMs : RETRY_AFTER_MS;
  }
}
