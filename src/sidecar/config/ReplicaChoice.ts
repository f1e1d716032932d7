import type { Clock } from "../../common/lifecycle/Clock.ts";
import type { ControlReplica } from "./ControlReplica.ts";
import type { WatchContent } from "./WatchContent.ts";

/** Time for which a failure of a watch is remembered, ms: longer than the restart of a process. */
const FAILED_MS = 30_000;

/**
 * Time over which the watches of a replica must have failed before replicas of another zone are preferred to it, ms. After
 * a loss of power, all replicas refuse watches until there is a leader, 0.3 to 1.4 s after their starts; a shorter time
 * would let the whole document come from another zone. Changes in the meantime are fetched by DocumentCatchUp.
 */
const FAILING_MS = 2000;

/** Time between two failures after which they are unrelated, ms; a watch is reopened within a second. */
const UNRELATED_MS = 5000;

/**
 * Time after the start for which the watch of updates waits until a replica of the own zone is known, ms. Members are
 * known some 100 ms after a start. It has to end before the grace period of DocumentCatchUp (400 ms), in which that watch
 * delivers what the other one announces.
 */
const ZONE_WAIT_MS = 250;

/** Costs of a choice. Each outweighs all smaller ones together, so that the first reason of two replicas decides. */
const COST = {
  isAvoided: 16,
  isFailing: 8,
  isInWrongZone: 4,
  isFollowed: 2,
  hasFailed: 1,
} as const;

interface ReplicaChoiceDeps {
  /** The control replicas that are known now. */
  readonly replicas: () => readonly ControlReplica[];
  /** Availability zone of this sidecar. */
  readonly zone: string;
  readonly clock: Clock;
  /** Returns a number in [0, 1). */
  readonly random: () => number;
}

/** Times of the first and the last of related failures, ms. */
interface Failures {
  readonly first: number;
  readonly last: number;
}

/** What a choice depends on, besides the replicas. */
interface ChoiceContext {
  /** What the watch is to carry. */
  readonly content: WatchContent;
  /** Addresses of the replicas that other watches follow. */
  readonly followed: ReadonlySet<string>;
}

/**
 * Chooses the control replicas to follow. Updates are taken from a replica in the own zone, so that they cross zones only
 * on their way to that replica; versions from one in another zone than the updates, so that a zone that is cut off from
 * the leader does not go unnoticed. Among equally good replicas the choice is random.
 */
export class ReplicaChoice {
  readonly #deps: ReplicaChoiceDeps;
  readonly #startedAt: number;
  /** The latest failures, by address. */
  readonly #failures = new Map<string, Failures>();

  constructor(deps: ReplicaChoiceDeps) {
    this.#deps = deps;
    this.#startedAt = deps.clock.now();
  }

  /** Records that a watch of the replica at `address` could not be opened, or has ended. */
  noteFailure(address: string): void {
    const now = this.#deps.clock.now();
    const known = this.#failures.get(address);
    const isRelated = known !== undefined && now - known.last < UNRELATED_MS;
    this.#failures.set(address, { first: isRelated ? known.first : now, last: now });
  }

  /** Address of the replica to open a watch at, if possible not in `avoid`; undefined to ask again soon. */
  choose(context: ChoiceContext, avoid: ReadonlySet<string>): string | undefined {
    const replicas = this.#deps.replicas();
    if (this.#isWaitingForZone(context, replicas)) {
      return undefined;
    }
    const costs = replicas.map((replica) => this.#costOf(replica, context, avoid));
    const lowest = Math.min(...costs);
    const best = replicas.filter((_, n) => costs[n] === lowest);
    return best[Math.floor(this.#deps.random() * best.length)]?.address;
  }

  /** Whether there is a replica better than the one at `address`, which this watch follows now. */
  hasBetter(context: ChoiceContext, address: string): boolean {
    const replicas = this.#deps.replicas();
    const costOf = (replica: ControlReplica) => this.#costOf(replica, context, new Set());
    const current = replicas.find((r) => r.address === address);
    return current !== undefined && replicas.some((r) => costOf(r) < costOf(current));
  }

  #isWaitingForZone({ content }: ChoiceContext, replicas: readonly ControlReplica[]): boolean {
    const { clock, zone } = this.#deps;
    return (
      content === "updates" &&
      clock.now() - this.#startedAt < ZONE_WAIT_MS &&
      !replicas.some((r) => r.zone === zone)
    );
  }

  #costOf(replica: ControlReplica, context: ChoiceContext, avoid: ReadonlySet<string>): number {
    const { address } = replica;
    const failures = this.#recentFailures(address);
    const reasons = {
      isAvoided: avoid.has(address),
      isFailing: failures !== undefined && failures.last - failures.first >= FAILING_MS,
      hasFailed: failures !== undefined,
      isFollowed: context.followed.has(address),
      isInWrongZone: this.#isInWrongZone(replica, context),
    };
    return (Object.keys(COST) as (keyof typeof COST)[])
      .filter((reason) => reasons[reason])
      .reduce((sum, reason) => sum + COST[reason], 0);
  }

  #recentFailures(address: string): Failures | undefined {
    const known = this.#failures.get(address);
    return known && this.#deps.clock.now() - known.last < FAILED_MS ? known : undefined;
  }

  #isInWrongZone({ zone }: ControlReplica, { content, followed }: ChoiceContext): boolean {
    const { replicas, zone: ownZone } = this.#deps;
    if (content === "updates") {
      return zone !== ownZone;
    }
    const isTaken = replicas().some((r) => r.zone === zone && followed.has(r.address));
    return zone === undefined || zone === ownZone || isTaken;
  }
}
