import type { SlotRequest } from "../hop/SlotRequest.ts";

/**
 * Name of the workspace that a slot request counts for; empty if it names none. Such requests, among them all from
 * sidecars of earlier releases, share one queue.
 */
export function workspaceOf({ workspace }: Pick<SlotRequest, "workspace">): string {
  return workspace ?? "";
}
