/** Number of recent replies to the leader whose times are kept; more than one is in flight only after a lost message. */
const MAX_KEPT_REPLIES = 16;

/**
 * A follower's knowledge of how old its committed state can be. The leader adds to each append the time for which its
 * leadership has been without confirmation by a quorum, and the number of this follower's last reply that it has
 * received. That reply was sent before the append, so that, counted from it by this follower's own clock, the
 * committed state includes every change that was acknowledged before. A delay of the append itself adds nothing.
 */
export class StateConfirmation {
  readonly #now: () => number;
  /** Times of recent replies, ms, by their numbers; the oldest first. */
  readonly #repliedAt = new Map<number, number>();
  #lastNumber: number;
  #confirmedAt = -Infinity;

  /**
   * @param now clock by which confirmations age, ms; see ElapsedClock
   * @param firstNumber random, so that a number of an earlier incarnation is not taken for one of this
   */
  constructor(now: () => number, firstNumber: number) {
    this.#now = now;
    this.#lastNumber = firstNumber;
  }

  /** Records that a reply to the leader is sent now; returns its number. */
  nextReply(): number {
    this.#lastNumber += 1;
    this.#repliedAt.set(this.#lastNumber, this.#now());
    const [oldest] = this.#repliedAt.keys();
    if (this.#repliedAt.size > MAX_KEPT_REPLIES && oldest !== undefined) {
      this.#repliedAt.delete(oldest);
    }
    return this.#lastNumber;
  }

  /** Records an append after which the state contains all that the leader has committed. */
  confirm(echo: number, ageMs: number): void {
    const repliedAt = this.#repliedAt.get(echo);
    if (repliedAt !== undefined) {
      this.#confirmedAt = Math.max(this.#confirmedAt, repliedAt - ageMs);
    }
  }

  /** Upper bound of the age of the committed state, ms; infinite before the first confirmation. */
  get ageMs(): number {
    return this.#now() - this.#confirmedAt;
  }
}
