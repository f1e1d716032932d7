import type { TargetId } from "../common/ids/TargetId.ts";
import type { ProtoTypes } from "../common/rpc/ProtoTypes.ts";

/** What targets beside this sidecar tell it, whatever way they speak. */
export interface TargetAnnouncements {
  /** Records an announcement; `sequence` rises with each of the target's announcements. */
  announce(target: ProtoTypes["Target"], sequence: number): void;
  /** Records that a target has said goodbye: it gets no new work from here on. */
  withdraw(target: TargetId): void;
}
