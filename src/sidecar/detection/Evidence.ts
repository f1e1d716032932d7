import type { TargetId } from "../../common/ids/TargetId.ts";

/** What one sidecar has seen of one target lately; exchanged in gossip. */
export interface Evidence {
  readonly target: TargetId;
  /** Log-likelihood that it answers wrongly, nats. A wrong answer proves the path works. */
  readonly failureScore: number;
  /** Log-likelihood that its answers come late or never, nats. The path may be at fault. */
  readonly lateScore: number;
  /** Good answers it gave this sidecar within the last {@link RECENT_MS}. */
  readonly recentOk: number;
  /** Age of the last bad observation, ms. */
  readonly lastBadAgeMs: number;
}
