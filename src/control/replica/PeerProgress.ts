import type { AppendRequest, ReplicaReply } from "./ReplicaMessages.ts";
import type { ReplicatedLog } from "../log/ReplicatedLog.ts";
import type { Voter } from "../log/Voter.ts";

type AppendReply = Extract<ReplicaReply, { kind: "append" }>;
type Content = Pick<AppendRequest, "snapshot" | "prevIndex" | "prevTerm" | "entries">;

/** Maximum number of entries in a message; a follower that is far behind catches up in several messages. */
const ENTRIES_PER_MESSAGE = 256;

/** An index below that of every entry. */
const NO_INDEX = -1;

/** Time after which a message without a reply is considered lost, ms; a sync on a slow disk takes 70. */
const REPLY_TIMEOUT_MS = 600;

/** A leader's replication state for one other replica, and the content of the next message to it. */
export class PeerProgress {
  readonly replica: Voter;
  #matched = NO_INDEX;
  /** `prevIndex` of the next message; undefined before the first, which starts at the end of the log. */
  #nextPrevIndex: number | undefined;
  #ackedAt: number;
  #sentAt = -Infinity;
  #pendingSequence = 0;
  #resendNeeded = false;
  #sequence = 0;
  #isDiskLost = false;
  #lastReply = 0;
  /** As `ackedAt`, by the clock that also counts suspensions, ms. */
  #confirmedAt = -Infinity;

  /** @param now initial {@link ackedAt}: when the leader's term began */
  constructor(replica: Voter, now: number) {
    this.replica = replica;
    this.#ackedAt = now;
  }

  /** Index up to which the replica is known to hold the leader's log. */
  get matched(): number {
    return this.#matched;
  }

  /** Send time of the latest message that the replica acknowledged, by the leader's clock, ms. */
  get ackedAt(): number {
    return this.#ackedAt;
  }

  /** Send time of the latest message that the replica acknowledged, by the clock that also counts suspensions, ms. */
  get confirmedAt(): number {
    return this.#confirmedAt;
  }

  /** Number of the last reply received; 0 before the first. */
  get lastReply(): number {
    return this.#lastReply;
  }

  /**
   * True once a replica with another id has appeared at the address: this one's disk is lost,
   * and its id will not return.
   */
  get isDiskLost(): boolean {
    return this.#isDiskLost;
  }

  noteDiskLost(): void {
    this.#isDiskLost = true;
  }

  /**
   * Registers a message that is about to be sent, and returns its sequence number. Returns
   * undefined while another message is pending; a further one is then due when that has ended.
   */
  begin(now: number): number | undefined {
    if (this.#pendingSequence > 0 && now - this.#sentAt < REPLY_TIMEOUT_MS) {
      this.#resendNeeded = true;
      return undefined;
    }
    this.#sentAt = now;
    this.#resendNeeded = false;
    this.#sequence += 1;
    this.#pendingSequence = this.#sequence;
    return this.#sequence;
  }

  /** Marks message `sequence` as replied to; true if another message is due at once. */
  end(sequence: number): boolean {
    if (this.#pendingSequence === sequence) {
      this.#pendingSequence = 0;
    }
    return this.#resendNeeded;
  }

  /** The entries that the replica lacks, preceded by a snapshot if they do not connect to its log. */
  nextContent(log: ReplicatedLog): Content {
    const { snapshot } = log;
    const from = this.#nextPrevIndex ?? log.lastIndex;
    const prevTerm = log.termAt(from);
    if (prevTerm === undefined) {
      const entries = log.entriesAfter(snapshot.index).slice(0, ENTRIES_PER_MESSAGE);
      return { snapshot, prevIndex: snapshot.index, prevTerm: snapshot.term, entries };
    }
    const entries = log.entriesAfter(from).slice(0, ENTRIES_PER_MESSAGE);
    return { prevIndex: from, prevTerm, entries };
  }

  /**
   * Applies the reply to a message sent at `sentAt`, or `sentElapsed` by the clock that counts suspensions. Returns true if the next message starts
   * at another index, so that it can be sent at once. A replica that rejects the same message
   * again, for example because its disk is full, has to wait for the next heartbeat.
   */
  applyReply(reply: AppendReply, sentAt: number, sentElapsed: number): boolean {
    this.#ackedAt = Math.max(this.#ackedAt, sentAt);
    this.#confirmedAt = Math.max(this.#confirmedAt, sentElapsed);
    this.#lastReply = reply.number;
    const progressed = this.#nextPrevIndex !== reply.matched;
    this.#nextPrevIndex = reply.matched;
    if (reply.ok) {
      this.#matched = Math.max(this.#matched, reply.matched);
    }
    return progressed;
  }
}
