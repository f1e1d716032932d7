import { randomUUID } from "node:crypto";
import type { DispatchId } from "../../common/ids/DispatchId.ts";

const SEPARATOR = "/";

/** Ids of attempts in records: one for each target that a caller's request is sent to. */
export const recordAttempt = {
  /** A new id for sending a request to a target; `dispatch` is undefined if the first sidecar is of an earlier version. */
  create: (dispatch: DispatchId | undefined): string =>
    dispatch === undefined ? randomUUID() : `${dispatch}${SEPARATOR}${randomUUID()}`,

  /**
   * Whether both ids belong to one dispatch of a request. It is sent to another target only after the first one has
   * certainly not run it, so a claim of the first that was not released yet doesn't stand in the way of the second.
   */
  isSameDispatch: (a: string, b: string): boolean =>
    a.includes(SEPARATOR) && dispatchOf(a) === dispatchOf(b),
};

function dispatchOf(attempt: string): string {
  return attempt.slice(0, attempt.lastIndexOf(SEPARATOR));
}
