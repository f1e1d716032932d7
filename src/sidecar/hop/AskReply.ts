import type { GateLoad } from "./GateLoad.ts";
import type { RefusalReason } from "./RefusalReason.ts";

/** The answer to an {@link Ask}. */
export type AskReply =
  | {
      readonly kind: "granted";
      /** Names this life of the granting process: a later one knows nothing of the grant. */
      readonly boot: string;
      readonly load: GateLoad;
    }
  | {
      readonly kind: "refused";
      readonly reason: RefusalReason;
      /** When it may be worth asking again, ms. */
      readonly retryAfterMs: number;
      readonly load: GateLoad;
    };
