import type { ReplicaLog } from "./ReplicaLog.ts";
import type { ReplicaMessages } from "./ReplicaMessages.ts";
import type { ReplicaPeer } from "./ReplicaPeer.ts";

/** What a leader knows of one follower, and what it sends it next. */
export class Follower {
  readonly peer: ReplicaPeer;
  /** A message to it is under way; one at a time. */
  busy = false;
  /** Something came up meanwhile: send again at once. */
  again = false;
  #matched = -1;
  #needsWhole = false;
  #ackedAt = -Infinity;
  #counts = false;

  constructor(peer: ReplicaPeer) {
    this.peer = peer;
  }

  /** Index up to which it is known to hold the leader's log; -1 while it does not count. */
  get held(): number {
    return this.#counts ? this.#matched : -1;
  }

  /** When the last message that it acknowledged was sent, by the leader's clock, ms. */
  get ackedAt(): number {
    return this.#ackedAt;
  }

  /** Forgets what was known under an earlier term; counts as heard at `now`, so that a new leader has time to ask. */
  startTerm(now: number): void {
    this.#matched = -1;
    this.#needsWhole = false;
    this.#ackedAt = now;
    this.#counts = false;
  }

  /** The next message to it: what it lacks, or the whole log when its own does not join on. */
  message(log: ReplicaLog, leader: string): ReplicaMessages["AppendRequest"] {
    const { base, entries, answers, term, committed } = log;
    const whole = this.#needsWhole;
    const prev = entries.find((e) => e.index === this.#matched) ?? base;
    return {
      term,
      leader,
      committed,
      prevIndex: prev.index,
      prevTerm: prev.term,
      entries: whole ? [...entries] : entries.filter((e) => e.index > prev.index),
      whole,
      answers: whole ? answers.map(([requestId, version]) => ({ requestId, version })) : [],
    };
  }

  /** Takes in its reply; true when it acknowledged the message. */
  noteReply(reply: ReplicaMessages["AppendReply"], sentAt: number): boolean {
    this.#needsWhole = !reply.ok;
    if (!reply.ok) {
      this.again = true;
      return false;
    }
    this.#ackedAt = sentAt;
    this.#matched = reply.matched;
    this.#counts = !reply.recovering;
    return true;
  }
}
