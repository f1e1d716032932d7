import type { OperatorDocument } from "../../common/document/OperatorDocument.ts";
import type { Workspace } from "../../common/document/Workspace.ts";
import type { QuotaTolerance } from "../../common/settings/QuotaTolerance.ts";
import type { Clock } from "../../common/lifecycle/Clock.ts";
import type { BucketLimits } from "../../common/rates/BucketLimits.ts";
import type { CreditOutcome } from "../../common/rpc/CreditOutcome.ts";
import { RecentCount } from "./RecentCount.ts";
import { quotaShare } from "./quotaShare.ts";
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
  readonly clock: Clock;
}

/** Usage of one workspace's quota at this replica. */
interface WorkspaceUsage {
  readonly bucket: TokenBucket;
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
    if (!usage) {
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
    if (usage) {
      const now = this.#deps.clock.now();
      usage.granted.add(-1, now);
      usage.bucket.putBack(usage.limits, now);
    }
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
    let usage = this.#usage.get(workspace);
    if (!usage) {
      const bucket = new TokenBucket(limits.initial, this.#startedAt);
      usage = { bucket, limits, granted: new RecentCount(), refused: new RecentCount() };
      this.#usage.set(workspace, usage);
    }
    usage.limits = limits;
    return usage;
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
    for (const [workspace, { bucket, limits }] of this.#usage) {
      if (bucket.isFull(limits, now)) {
        this.#usage.delete(workspace);
      }
    }
  }
}
