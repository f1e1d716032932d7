import { z } from "zod";
import { GateLoad } from "./GateLoad.ts";
import { RefusalReason } from "./RefusalReason.ts";

/** The answer to an {@link Ask}. */
export const AskReply = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("granted"),
    /** Names this life of the granting process: a later one knows nothing of the grant. */
    boot: z.string(),
    load: GateLoad,
  }),
  z.object({
    kind: z.literal("refused"),
    reason: z.enum(RefusalReason),
    /** When it may be worth asking again, ms. */
    retryAfterMs: z.number().min(0),
    load: GateLoad,
  }),
]);

/** The answer to an ask, as the schema reads it. */
export type AskReply = z.infer<typeof AskReply>;
