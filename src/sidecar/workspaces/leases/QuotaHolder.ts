import type bunyan from "bunyan";
import type { Clock } from "../../../common/lifecycle/Clock.ts";
import type { IDisposable } from "../../../common/lifecycle/IDisposable.ts";
import type { Timer } from "../../../common/lifecycle/Timer.ts";
import type { HolderReply } from "../../../common/rpc/HolderReply.ts";
import type { LeaseAsk } from "../../../common/rpc/LeaseAsk.ts";
import type { LeaseRelease } from "../../../common/rpc/LeaseRelease.ts";
import type { HolderRanking } from "./HolderRanking.ts";
import { HolderTask } from "./HolderTask.ts";
import { KnownLeases } from "./KnownLeases.ts";
import type { LeaseEvent } from "./LeaseEvent.ts";
import type { LeaseReply } from "../../../common/rpc/LeaseReply.ts";

/** Interval at which leases are checked while there are any, ms. */
const TICK_MS = 100;

/** Time without a request for a credit after which a workspace's leases are released, ms. */
const IDLE_MS = 30_000;

/**
 * Time for which another sidecar is first in the ranking before leases are released to it, ms; a sidecar that has died
 * leaves the ranking within two seconds.
 */
const YIELD_AFTER_MS = 3000;

interface QuotaHolderDeps {
  /** Requests a lease from the control voter at `address`; rejects without a reply. */
  readonly ask: (address: string, ask: LeaseAsk) => Promise<LeaseReply>;
  /** Releases a lease; the message may get lost. */
  readonly release: (address: string, release: LeaseRelease) => void;
  /** Addresses of the control replicas. */
  readonly replicas: () => readonly string[];
  readonly ranking: HolderRanking;
  /** The quota of a workspace in this sidecar's document; undefined if it has none. */
  readonly quotaOf: (
    workspace: string,
  ) => { readonly ratePerS: number; readonly burst?: number | undefined } | undefined;
  /** Address at which this sidecar grants credits. */
  readonly address: string;
  /** Random number of this process. */
  readonly process: number;
  /** Longest term that is used, ms. */
  readonly termMs: number;
  readonly clock: Clock;
  /** Clock that also counts suspended time, ms; see ElapsedClock. */
  readonly elapsed: () => number;
  readonly onEvent: (event: LeaseEvent) => void;
  readonly log: Pick<bunyan, "info" | "warn">;
}

/**
 * Holds the quotas of the workspaces for which this sidecar is the quota holder: obtains the control voters' leases when
 * the first credit is requested, renews them while the workspace is in use, and releases them when it is idle, when
 * another sidecar has become first in the ranking, and at a stop.
 */
export class QuotaHolder implements IDisposable {
  readonly #deps: QuotaHolderDeps;
  readonly #known: KnownLeases;
  readonly #tasks = new Map<string, HolderTask>();
  #timer: Timer | undefined;
  #isStopped = false;

  constructor(deps: QuotaHolderDeps) {
    this.#deps = deps;
    this.#known = new KnownLeases(deps.clock);
  }

  /** Takes a credit for a request of `workspace`, for this sidecar's own request or another's. */
  async take(workspace: string, isOwn: boolean): Promise<HolderReply> {
    if (this.#isStopped) {
      return { kind: "unavailable", retryAfterMs: 0, holder: this.#otherHolder(workspace) };
    }
    const reply = await this.#task(workspace).take();
    if (reply.kind === "granted") {
      this.#deps.onEvent({ kind: "credit", isOwn });
    }
    return reply;
  }

  /** Takes back a credit that was not used. */
  putBack(workspace: string, grant: string): void {
    this.#tasks.get(workspace)?.putBack(grant);
  }

  /** Releases all leases and obtains no more: this sidecar is stopping. */
  stop(): void {
    this.#isStopped = true;
    this.#timer?.cancel();
    for (const task of this.#tasks.values()) {
      task.release("this sidecar is stopping");
    }
    this.#tasks.clear();
  }

  dispose(): void {
    this.stop();
  }

  /** Number of leases in force. */
  get leases(): number {
    return [...this.#tasks.values()].reduce((sum, task) => sum + task.leases, 0);
  }

  /** The workspaces with leases in force, and their number. */
  describe(): { workspace: string; leases: number }[] {
    return [...this.#tasks].flatMap(([workspace, { leases }]) =>
      leases > 0 ? [{ workspace, leases }] : [],
    );
  }

  #task(workspace: string): HolderTask {
    let task = this.#tasks.get(workspace);
    if (!task) {
      const { quotaOf } = this.#deps;
      task = new HolderTask({
        ...this.#deps,
        workspace,
        quota: () => quotaOf(workspace),
        isNewLease: (id) => this.#known.note(id),
        otherHolder: () => this.#otherHolder(workspace),
      });
      this.#tasks.set(workspace, task);
      this.#timer ??= this.#deps.clock.after(TICK_MS, () => {
        this.#tick();
      });
    }
    return task;
  }

  #tick(): void {
    const { clock, ranking, address } = this.#deps;
    const now = clock.now();
    for (const [workspace, task] of this.#tasks) {
      const first = ranking.of(workspace)[0]?.address ?? address;
      task.noteRank(first === address);
      if (now - task.usedAt >= IDLE_MS) {
        task.release("the workspace is idle");
        this.#tasks.delete(workspace);
      } else {
        if (now - task.firstAt >= YIELD_AFTER_MS) {
          task.yieldTo(first);
        }
        task.renewDue();
      }
    }
    this.#timer =
      this.#tasks.size === 0
        ? undefined
        : clock.after(TICK_MS, () => {
            this.#tick();
          });
  }

  /** The sidecar that should hold the quota if this one does not. */
  #otherHolder(workspace: string): string {
    const { ranking, address } = this.#deps;
    return ranking.of(workspace).find((s) => s.address !== address)?.address ?? "";
  }
}
