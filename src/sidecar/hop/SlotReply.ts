import type { GrantId } from "../../common/ids/GrantId.ts";
import type { GateLoad } from "./GateLoad.ts";
import type { RefusalReason } from "./RefusalReason.ts";

/** Reply to a {@link SlotRequest}. */
export type SlotReply =
  | {
      readonly kind: "granted";
      readonly grant: GrantId;
      readonly load: GateLoad;
    }
  | {
      readonly kind: "refused";
      readonly reason: RefusalReason;
      /** Time after which a new request may succeed, ms. */
      readonly retryAfterMs: number;
      readonly load: GateLoad;
    };
