import type { AppendRequest, ReplicaReply } from "./ReplicaMessages.ts";
import type { ReplicatedLog } from "../log/ReplicatedLog.ts";
import type { Voter } from "../log/Voter.ts";

type AppendReply = Extract<ReplicaReply, { kind: "append" }>;
type Content = Pick<AppendRequest, "snapshot" | "prevIndex" | "prevTerm" | "entries">;

/** Entries in one message, at most: a follower far behind catches up in several. */
const ENTRIES_PER_MESSAGE = 256;

/** Index before that of every entry. */
const NOTHING = -1;

/** A message not answered within this long is taken as lost, ms; a sync of a slow disk takes 70. */
const ANSWER_MS = 600;

/** What a leader knows of one other replica, and what it sends it next. */
export class PeerProgress {
  readonly replica: Voter;
  #matched = NOTHING;
  /** Where the next message joins on; undefined before the first, which tries the end of the log. */
  #next: number | undefined;
  #ackedAt: number;
  #sentAt = -Infinity;
  #awaiting = 0;
  #again = false;
  #sequence = 0;
  #isGone = false;

  /** @param now when the leader's term began, or the replica joined: it counts as heard then */
  constructor(replica: Voter, now: number) {
    this.replica = replica;
    this.#ackedAt = now;
  }

  /** Index up to which it is known to hold the leader's log. */
  get matched(): number {
    return this.#matched;
  }

  /** When the last message that it acknowledged was sent, by the leader's clock, ms. */
  get ackedAt(): number {
    return this.#ackedAt;
  }

  /** Another disk has answered at its address: it will never be heard of again. */
  get isGone(): boolean {
    return this.#isGone;
  }

  noteGone(): void {
    this.#isGone = true;
  }

  /**
   * Takes leave to send a message, one at a time; `undefined` while one is under
   * way, which is then followed by another. The number names the message.
   */
  begin(now: number): number | undefined {
    if (this.#awaiting > 0 && now - this.#sentAt < ANSWER_MS) {
      this.#again = true;
      return undefined;
    }
    this.#sentAt = now;
    this.#again = false;
    this.#sequence += 1;
    this.#awaiting = this.#sequence;
    return this.#sequence;
  }

  /** Ends message `sequence`; true when something came up meanwhile that is to be sent at once. */
  end(sequence: number): boolean {
    if (this.#awaiting === sequence) {
      this.#awaiting = 0;
    }
    return this.#again;
  }

  /** What it lacks: entries, or the whole state when its log does not join on. */
  content(log: ReplicatedLog): Content {
    const { snapshot } = log;
    const from = this.#next ?? log.lastIndex;
    const prevTerm = log.termAt(from);
    if (prevTerm === undefined) {
      const entries = log.entriesAfter(snapshot.index).slice(0, ENTRIES_PER_MESSAGE);
      return { snapshot, prevIndex: snapshot.index, prevTerm: snapshot.term, entries };
    }
    const entries = log.entriesAfter(from).slice(0, ENTRIES_PER_MESSAGE);
    return { prevIndex: from, prevTerm, entries };
  }

  /**
   * Takes in its reply to a message sent at `sentAt`; true when it moved on from
   * there, so that what it still lacks can follow at once. One that refuses the same
   * message again (a full disk) has to wait for the next heartbeat.
   */
  note(reply: AppendReply, sentAt: number): boolean {
    this.#ackedAt = Math.max(this.#ackedAt, sentAt);
    const moved = this.#next !== reply.matched;
    this.#next = reply.matched;
    if (reply.ok) {
      this.#matched = Math.max(this.#matched, reply.matched);
    }
    return moved;
  }
}
