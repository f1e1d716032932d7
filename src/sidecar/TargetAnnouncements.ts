import type { TargetId } from "../common/ids/TargetId.ts";
import type { ProtoTypes } from "../common/rpc/ProtoTypes.ts";

/** What targets beside this sidecar tell it, whatever way they speak. */
export interface TargetAnnouncements {
  /**
   * Records an announcement; `sequence` rises with each of those that one life of the
   * target makes. Undefined, or why it names no target that can be used.
   */
  announce(target: ProtoTypes["Target"], sequence: number): string | undefined;
  /**
   * Records that a target has said goodbye: it gets no new work from here on.
   *
   * @param born the life that says so, as in its announcements; 0 where it does not tell
   */
  withdraw(target: TargetId, born: number): void;
}
