import type { TargetId } from "../common/ids/TargetId.ts";
import type { AnnouncedTarget } from "../membership/AnnouncedTarget.ts";

/** Receives the announcements and withdrawals of local targets, whichever API they use. */
export interface TargetAnnouncements {
  /**
   * Records an announcement; `sequence` rises with each announcement of one incarnation of the
   * target. Returns undefined, or the reason why the target cannot be used.
   */
  announce(target: AnnouncedTarget, sequence: number): string | undefined;
  /**
   * Records that a target has withdrawn: it gets no new requests from now on.
   *
   * @param born start time of the incarnation that withdraws, as in its announcements; 0 if not given
   */
  withdraw(target: TargetId, born: number): void;
  /**
   * Resolves with whether the withdrawals and the draining recorded so far may be acknowledged: they are kept also if this
   * sidecar's process is killed. If not, the target is to repeat its call; it gets no new requests meanwhile.
   */
  secureDepartures(): Promise<boolean>;
}
