import type { OperatorDocument } from "../../common/document/OperatorDocument.ts";
import type { Workspace } from "../../common/document/Workspace.ts";
import type { QuotaTolerance } from "../../common/settings/QuotaTolerance.ts";
import type { Clock } from "../../common/lifecycle/Clock.ts";
import type { BucketLimits } from "./BucketLimits.ts";
import type { CreditOutcome } from "../../common/rpc/CreditOutcome.ts";
import { quotaShare } from "./quotaShare.ts";
import type { ShareHolders } from "./ShareHolders.ts";
import { TokenBucket } from "./TokenBucket.ts";

/** Interval at which the state of workspaces whose buckets are full again is dropped, ms. */
const SWEEP_MS = 10_000;

interface WorkspaceQuotasDeps {
  readonly document: () => OperatorDocument;
  /** The division of the quotas; undefined while this replica must not grant any part. */
  readonly holders: () => ShareHolders | undefined;
  readonly tolerance: () => QuotaTolerance;
  readonly clock: Clock;
}

/** Usage of one workspace's quota at this replica. */
interface WorkspaceUsage {
  readonly bucket: TokenBucket;
  /** The limits by which the bucket was last used. */
  limits: BucketLimits;
  granted: number;
  refused: number;
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
    this.#startedAt = deps.clock.now();
    this.#sweptAt = this.#startedAt;
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
      usage.granted += 1;
      return { kind: "granted" };
    }
    usage.refused += 1;
    return { kind: "exhausted", retryAfterMs: Math.ceil(usage.bucket.waitMs(limits, now)) };
  }

  /** Takes back a credit whose request has not run. */
  putBack(workspace: string): void {
    const usage = this.#usage.get(workspace);
    if (usage) {
      usage.granted -= 1;
      usage.bucket.putBack(usage.limits, this.#deps.clock.now());
    }
  }

  /** Credits granted and refused by this replica, for the workspaces that were used recently. */
  describe(): { workspace: string; granted: number; refused: number }[] {
    return [...this.#usage].map(([workspace, { granted, refused }]) => ({
      workspace,
      granted,
      refused,
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
      usage = { bucket, limits, granted: 0, refused: 0 };
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
