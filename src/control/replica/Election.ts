import type { Clock } from "../../common/lifecycle/Clock.ts";
import type { IDisposable } from "../../common/lifecycle/IDisposable.ts";
import type { Timer } from "../../common/lifecycle/Timer.ts";
import { membersOf } from "../log/membersOf.ts";
import { quorumValue } from "./quorumValue.ts";
import type { ReplicaLink } from "./ReplicaLink.ts";
import type { ReplicatedLog } from "../log/ReplicatedLog.ts";
import type { ReplicaTiming } from "./ReplicaTiming.ts";

interface ElectionDeps {
  readonly log: ReplicatedLog;
  readonly link: ReplicaLink;
  readonly timing: ReplicaTiming;
  readonly clock: Clock;
  /** In [0, 1). */
  readonly random: () => number;
  /** Called with the term of every vote reply. */
  readonly noteTerm: (term: number) => void;
  /** Called when this replica has won an election. */
  readonly onElected: () => void;
  /** False while this replica leads. */
  readonly canCampaign: () => boolean;
  /** Called when no leader has been heard for an election timeout. */
  readonly onElectionTimeout: () => void;
  /** Usual duration of a disk write, ms. */
  readonly writeMs: () => number;
  /** Enters a term with a vote for this replica; false if the disk write failed. */
  readonly enterTerm: (term: number) => boolean;
}

/**
 * How long a replica assumes after its start that the whole group is starting, unless it hears a
 * leader, ms: about the duration of two ordinary elections.
 */
const GROUP_START_MS = 3000;

/**
 * Election timeout while the whole group is starting, ms: `min` plus a random part of `spread`. Two
 * rounds of votes, each a network round trip and a disk sync, take 10 to 30 ms on machines that are
 * busy starting. A split vote is retried after another such timeout and is seldom split again.
 */
const GROUP_START_TIMEOUT_MS = { min: 40, spread: 160 };

/** Disk writes that an election waits for: the candidate's term, then the votes of the others. */
const WRITES_PER_ELECTION = 2;

/** Random part of the election timeout in disk writes, so that seldom two replicas stand at the same time on slow disks. */
const SPREAD_WRITES = 8;

/**
 * Starts and runs a replica's elections. After a random time without a leader, the replica
 * asks the others in a pre-vote whether it would be elected, and enters a new term only if
 * a majority agrees. A replica that is cut off therefore does not keep raising its term.
 *
 * A replica that has just started uses a much shorter timeout. If the others were not
 * restarted, they still hear a leader and refuse. If all were killed at once, none of them
 * hears a leader, and sidecars that have lost their document wait until there is one. In
 * the replica model, with five replicas and 20 seeds, a leader was elected on average
 * 1,040 ms after the restart with the ordinary timeout and 95 ms with the short one.
 */
export class Election implements IDisposable {
  readonly #deps: ElectionDeps;
  #electionDueAt = Infinity;
  #groupStartUntil = -Infinity;
  #abstainUntil = -Infinity;
  #timer: Timer | undefined;
  /** Incremented by each round of votes and each cancellation, so that late votes are ignored. */
  #round = 0;
  #isCampaigning = false;

  constructor(deps: ElectionDeps) {
    this.#deps = deps;
  }

  /** Starts the election timeout. */
  start(): void {
    this.#groupStartUntil = this.#deps.clock.now() + GROUP_START_MS;
    this.postpone();
    this.#scheduleCheck();
  }

  /** True while votes are being collected. */
  get isCampaigning(): boolean {
    return this.#isCampaigning;
  }

  /** Restarts the election timeout, after this replica granted a vote or stopped leading. */
  postpone(): void {
    const { clock, random } = this.#deps;
    const { min, spread } = this.#timeout;
    this.#electionDueAt = Math.max(clock.now() + min + random() * spread, this.#abstainUntil);
  }

  /** Notes a message from a leader: the group has finished starting, or was not restarted as a whole. */
  noteLeader(): void {
    this.#groupStartUntil = -Infinity;
    this.postpone();
  }

  /** Starts no election for `ms`, because this replica is currently unfit to lead. */
  abstain(ms: number): void {
    this.#abstainUntil = this.#deps.clock.now() + ms;
    this.postpone();
  }

  /** Abandons the current election and ignores votes that still arrive. */
  cancel(): void {
    this.#round += 1;
    this.#isCampaigning = false;
  }

  /** Starts an election; `handover` if the leader itself requested it, which skips the pre-vote. */
  campaign(handover = false): void {
    const { log, canCampaign } = this.#deps;
    if (!canCampaign() || !membersOf(log.group).some((v) => v.id === log.id)) {
      return;
    }
    const term = log.term + 1;
    if (handover) {
      this.#startElection(term, true);
      return;
    }
    this.#requestVotes(term, { pre: true, handover }, () => {
      this.#startElection(term, false);
    });
  }

  dispose(): void {
    this.cancel();
    this.#timer?.cancel();
  }

  get #timeout(): { min: number; spread: number } {
    const { timing, clock, writeMs } = this.#deps;
    const { electionMinMs, electionMaxMs } = timing;
    const { min, spread } =
      clock.now() < this.#groupStartUntil
        ? GROUP_START_TIMEOUT_MS
        : { min: electionMinMs, spread: electionMaxMs - electionMinMs };
    return {
      min: min + WRITES_PER_ELECTION * writeMs(),
      spread: Math.max(spread, SPREAD_WRITES * writeMs()),
    };
  }

  #startElection(term: number, handover: boolean): void {
    if (this.#deps.log.term >= term || !this.#deps.enterTerm(term)) {
      this.cancel();
      return;
    }
    this.#requestVotes(term, { pre: false, handover }, () => {
      this.#isCampaigning = false;
      this.#groupStartUntil = -Infinity;
      this.#deps.onElected();
    });
  }

  /**
   * Requests votes from the other voters; calls `onMajority` once a majority, this replica
   * included, has granted them.
   */
  #requestVotes(
    term: number,
    options: { pre: boolean; handover: boolean },
    onMajority: () => void,
  ): void {
    const { log, link } = this.#deps;
    this.cancel();
    this.#isCampaigning = true;
    const round = this.#round;
    const { id, lastIndex, lastTerm, group } = log;
    const votes = new Set([id]);
    const checkMajority = () => {
      if (quorumValue(group, (v) => Number(votes.has(v.id))) === 1) {
        this.#round += 1;
        onMajority();
      }
    };
    for (const voter of membersOf(group).filter((v) => v.id !== id)) {
      const req = {
        kind: "vote",
        to: voter.id,
        candidate: id,
        term,
        lastIndex,
        lastTerm,
        ...options,
      } as const;
      link.send(voter.address, req, (reply) => {
        if (reply.kind !== "vote" || this.#round !== round) {
          return;
        }
        this.#deps.noteTerm(reply.term);
        if (reply.granted && this.#round === round) {
          votes.add(voter.id);
          checkMajority();
        }
      });
    }
    checkMajority();
  }

  /** Sets the only timer; heartbeats move `#electionDueAt`, which the timer compares when it fires. */
  #scheduleCheck(): void {
    const wait = Math.max(0, this.#electionDueAt - this.#deps.clock.now());
    this.#timer = this.#deps.clock.timeout(wait, () => {
      if (this.#deps.clock.now() >= this.#electionDueAt) {
        this.postpone();
        this.#deps.onElectionTimeout();
        this.campaign();
      }
      this.#scheduleCheck();
    });
  }
}
