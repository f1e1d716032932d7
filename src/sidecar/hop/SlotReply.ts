import type { GrantId } from "../../common/ids/GrantId.ts";
import type { GateLoad } from "./GateLoad.ts";
import type { RefusalReason } from "./RefusalReason.ts";

/** The answer to a {@link SlotRequest}. */
export type SlotReply =
  | {
      readonly kind: "granted";
      readonly grant: GrantId;
      readonly load: GateLoad;
    }
  | {
      readonly kind: "refused";
      readonly reason: RefusalReason;
      /** When it may be worth asking again, ms. */
      readonly retryAfterMs: number;
      readonly load: GateLoad;
    };
