import { z } from "zod";
import { AttemptId } from "../../common/ids/AttemptId.ts";
import { TargetId } from "../../common/ids/TargetId.ts";

/**
 * A sidecar with a caller's request asks the sidecar beside a target for a slot
 * there. Asking is free of effect: nothing runs before the slot that was granted is
 * taken, so it may ask several at once, and again after silence.
 */
export const Ask = z.object({
  attempt: z.string().min(1).transform(AttemptId),
  /** The target that is asked for; another one may be there by now. */
  target: z.string().min(1).transform(TargetId),
  /** Another try is left if this one fails: it may go to a target under suspicion, to tell how that is. */
  isExpendable: z.boolean(),
  /** 0 is the most urgent. */
  priority: z.number().int().min(0),
  /** Time left for the answer, ms. */
  remainingMs: z.number().positive(),
  /** Time left until the answer is late by the route's objective, ms; negative when it is. */
  objectiveMs: z.number(),
  /** What requests of its kind usually take at the service's targets, ms; 0 when not known. */
  typicalMs: z.number().min(0),
  /** There is no better target: grant it also while this one is under suspicion. */
  insist: z.boolean(),
});

/** A request for a slot at a target, as the schema reads it. */
export type Ask = z.infer<typeof Ask>;
