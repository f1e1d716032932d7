import type { OperatorDocument } from "../../common/document/OperatorDocument.ts";
import type { Workspace } from "../../common/document/Workspace.ts";
import type { QuotaTolerance } from "../../common/settings/QuotaTolerance.ts";
import type { Clock } from "../../common/lifecycle/Clock.ts";
import type { BucketLimits } from "../../common/rates/BucketLimits.ts";
import type { CreditOutcome } from "../../common/rpc/CreditOutcome.ts";
import { RecentCount } from "./RecentCount.ts";
import { quotaShare, type QuotaShare } from "./quotaShare.ts";
import type { ShareHolders } from "./ShareHolders.ts";
import { TokenBucket } from "../../common/rates/TokenBucket.ts";

/** Interval at which the state of workspaces whose buckets are full again is dropped, ms. */
const SWEEP_MS = 10_000;

interface WorkspaceQuotasDeps {
  readonly document: () => OperatorDocument;
  /** The division of the quotas; undefined while this replica must not grant any part. */
  readonly holders: () => ShareHolders | undefined;
  readonly tolerance: () => QuotaTolerance;
  /** Whether the whole system starts for the first time, so that no earlier incarnation has granted anything. */
  readonly isFirstStart?: boolean;
  /** Term of the leases that voters grant, ms; 0 if they grant none. */
  readonly leaseTermMs?: number;
  readonly clock: Clock;
}

/** Usage of one workspace's quota at this replica. */
interface WorkspaceUsage {
  bucket: TokenBucket;
  /** Since when this replica has been entitled to its part, ms. */
  readonly since: number;
  /** Whether a quota holder has a lease of this part, so that no credit is granted here. */
  isLeased: boolean;
  /** The limits by which the bucket was last used. */
  limits: BucketLimits;
  readonly granted: RecentCount;
  readonly refused: RecentCount;
}

/**
 * Grants this replica's parts of the workspaces' quotas, one credit for each request. Only workspaces that were used
 * recently have state. After a restart, all buckets are almost empty, since the previous incarnation may just have granted
 * what they held.
 */
export class WorkspaceQuotas {
  readonly #deps: WorkspaceQuotasDeps;
  readonly #startedAt: number;
  readonly #usage = new Map<string, WorkspaceUsage>();
  /** When parts were taken back of which nothing else is known here, ms. */
  readonly #takenBackAt = new Map<string, number>();
  #sweptAt: number;
  #index: { document: OperatorDocument; workspaces: ReadonlyMap<string, Workspace> } | undefined;

  constructor(deps: WorkspaceQuotasDeps) {
    this.#deps = deps;
    const now = deps.clock.now();
    this.#startedAt = deps.isFirstStart ? -Infinity : now;
    this.#sweptAt = now;
  }

  /** Takes a credit for one request of `workspace`. */
  take(workspace: string): CreditOutcome {
    const usage = this.#find(workspace);
    if (!usage || usage.isLeased) {
      return { kind: "unavailable" };
    }
    const { limits } = usage;
    const now = this.#deps.clock.now();
    this.#sweep(now);
    if (usage.bucket.take(limits, now)) {
      usage.granted.add(1, now);
      return { kind: "granted" };
    }
    usage.refused.add(1, now);
    return { kind: "exhausted", retryAfterMs: Math.ceil(usage.bucket.waitMs(limits, now)) };
  }

  /** Takes back a credit whose request has not run. */
  putBack(workspace: string): void {
    const usage = this.#usage.get(workspace);
    if (usage && !usage.isLeased) {
      const now = this.#deps.clock.now();
      usage.granted.add(-1, now);
      usage.bucket.putBack(usage.limits, now);
    }
  }

  /** Whether this replica is a voter with a recent state, and may grant its parts of the quotas. */
  get isEntitled(): boolean {
    return this.#deps.holders() !== undefined;
  }

  /** Limits of this replica's part of a quota; undefined if it must not grant any. */
  limitsOf(workspace: string): BucketLimits | undefined {
    return this.#find(workspace)?.limits;
  }

  /** Leaves this part to a quota holder; returns the tokens in its bucket, or undefined if there is no part. */
  lend(workspace: string): number | undefined {
    const usage = this.#find(workspace);
    if (!usage) {
      return undefined;
    }
    usage.isLeased = true;
    return Math.max(0, usage.bucket.levelAt(usage.limits, this.#deps.clock.now()));
  }

  /** Takes this part back from a quota holder, with a bucket that had `level` tokens at time `at`, ms. */
  takeBack(workspace: string, level: number, at: number): void {
    const usage = this.#usage.get(workspace);
    if (usage) {
      usage.isLeased = false;
      usage.bucket = new TokenBucket(level, at);
    } else {
      this.#takenBackAt.set(workspace, at);
    }
  }

  /** Adds the credits that a quota holder has granted and refused to those that are reported here. */
  noteUsage(workspace: string, granted: number, refused: number): void {
    const usage = this.#usage.get(workspace);
    const now = this.#deps.clock.now();
    usage?.granted.add(granted, now);
    usage?.refused.add(refused, now);
  }

  /** Credits of the last minute granted and refused by this replica, for the workspaces that were used recently. */
  describe(): { workspace: string; granted: number; refused: number }[] {
    const now = this.#deps.clock.now();
    return [...this.#usage].map(([workspace, { granted, refused }]) => ({
      workspace,
      granted: granted.valueAt(now),
      refused: refused.valueAt(now),
    }));
  }

  /** The usage of a workspace, with its current limits; undefined if this replica grants no part of its quota. */
  #find(workspace: string): WorkspaceUsage | undefined {
    const holders = this.#deps.holders();
    const quota = this.#workspaces.get(workspace)?.quota;
    const limits =
      holders && quota && quotaShare(workspace, quota, holders, this.#deps.tolerance());
    if (!limits) {
      return undefined;
    }
    const since = limits.isRanked ? Math.max(holders.since, holders.settledSince) : holders.since;
    if (this.#hasLeases && this.#deps.clock.now() < since) {
      return undefined;
    }
    let usage = this.#usage.get(workspace);
    if (!usage || (this.#hasLeases && usage.since !== since)) {
      usage = {
        bucket: this.#firstBucket(workspace, limits, since),
        since,
        isLeased: usage?.isLeased ?? false,
        limits,
        granted: new RecentCount(),
        refused: new RecentCount(),
      };
      this.#usage.set(workspace, usage);
    }
    usage.limits = limits;
    return usage;
  }

  get #hasLeases(): boolean {
    return (this.#deps.leaseTermMs ?? 0) > 0;
  }

  /** With leases, a predecessor's part may be used until a term after the start, or until this replica is entitled. */
  #firstBucket(workspace: string, { initial }: QuotaShare, since: number): TokenBucket {
    if (!this.#hasLeases) {
      return new TokenBucket(initial, this.#startedAt);
    }
    const takenBackAt = this.#takenBackAt.get(workspace) ?? -Infinity;
    this.#takenBackAt.delete(workspace);
    const ownAfter = this.#startedAt + (this.#deps.leaseTermMs ?? 0);
    return new TokenBucket(0, Math.max(ownAfter, since, takenBackAt));
  }

  get #workspaces(): ReadonlyMap<string, Workspace> {
    const document = this.#deps.document();
    if (this.#index?.document !== document) {
      const workspaces = new Map((document.workspaces ?? []).map((w) => [w.name, w]));
      this.#index = { document, workspaces };
    }
    return this.#index.workspaces;
  }

  #sweep(now: number): void {
    if (now - this.#sweptAt < SWEEP_MS) {
      return;
    }
    this.#sweptAt = now;
    for (const [workspace, { bucket, limits, isLeased }] of this.#usage) {
      if (!isLeased && bucket.isFull(limits, now)) {
        this.#usage.delete(workspace);
      }
    }
  }
}
