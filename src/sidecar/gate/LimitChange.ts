/** A change of the limit that is in force at a gate. */
export interface LimitChange {
  /** The new limit, requests a second; undefined if there is none any more. */
  readonly perS: number | undefined;
  /** The limit before. */
  readonly before: number | undefined;
  /** Whether the target's own response or the sender of a slot request named it. */
  readonly source: "response" | "sender";
}
