import type bunyan from "bunyan";
import type { Clock } from "../../common/lifecycle/Clock.ts";
import type { Voter } from "../log/Voter.ts";
import type { AppendRequest } from "./ReplicaMessages.ts";

/** The leader, as known to a follower. */
interface KnownLeader {
  readonly replica: Voter;
  /** Its API address for operators. */
  readonly api: string;
}

/** A follower's contact with the leader: who that is, and when it was last heard. */
export class LeaderContact {
  readonly #clock: Clock;
  readonly #logger: bunyan;
  #leader: KnownLeader | undefined;
  #lastHeartbeatAt = -Infinity;

  constructor(clock: Clock, logger: bunyan) {
    this.#clock = clock;
    this.#logger = logger;
  }

  /** The leader; undefined while unknown. */
  get leader(): KnownLeader | undefined {
    return this.#leader;
  }

  /** Whether the leader was heard within the last `ms`. */
  isRecent(ms: number): boolean {
    return this.#clock.now() - this.#lastHeartbeatAt < ms;
  }

  /** Notes a message from the leader of the current term. */
  note({ leader, leaderApi, term }: AppendRequest): void {
    if (this.#leader?.replica.id !== leader.id) {
      this.#logger.info({ leader, term }, "following a new leader");
    }
    this.#leader = { replica: leader, api: leaderApi };
    this.#lastHeartbeatAt = this.#clock.now();
  }

  /** Forgets the leader, because this replica leads now. */
  forget(): void {
    this.#leader = undefined;
  }
}
