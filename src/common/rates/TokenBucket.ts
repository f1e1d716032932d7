import type { BucketLimits } from "./BucketLimits.ts";

/** A token bucket whose limits may change between uses. In any `t` seconds, at most `capacity + ratePerS * t` are taken. */
export class TokenBucket {
  #level: number;
  #updatedAt: number;

  /**
   * @param level tokens at the start
   * @param now monotonic time, ms
   */
  constructor(level: number, now: number) {
    this.#level = level;
    this.#updatedAt = now;
  }

  /** Takes a token; false if there is none. */
  take(limits: BucketLimits, now: number): boolean {
    this.#fill(limits, now);
    if (this.#level < 1) {
      return false;
    }
    this.#level -= 1;
    return true;
  }

  /** Takes a token even if there is none: what it stands for can no longer be prevented. */
  spend(limits: BucketLimits, now: number): void {
    this.#fill(limits, now);
    this.#level -= 1;
  }

  /** Puts a token back that was taken and not used, or `tokens` of it. */
  putBack(limits: BucketLimits, now: number, tokens = 1): void {
    this.#level += tokens;
    this.#fill(limits, now);
  }

  /** Takes `tokens`, which must not exceed the level, and may be a part of one. */
  takePart(tokens: number, limits: BucketLimits, now: number): void {
    this.#fill(limits, now);
    this.#level -= tokens;
  }

  /** Tokens in the bucket. */
  levelAt(limits: BucketLimits, now: number): number {
    this.#fill(limits, now);
    return this.#level;
  }

  /** Time until `tokens` can be taken, ms. */
  waitMs(limits: BucketLimits, now: number, tokens = 1): number {
    this.#fill(limits, now);
    return Math.max(0, ((tokens - this.#level) / limits.ratePerS) * 1000);
  }

  /** Whether no token has been taken for so long that the bucket is full. */
  isFull(limits: BucketLimits, now: number): boolean {
    this.#fill(limits, now);
    return this.#level >= limits.capacity;
  }

  #fill({ capacity, ratePerS }: BucketLimits, now: number): void {
    const added = ((now - this.#updatedAt) / 1000) * ratePerS;
    this.#level = Math.min(capacity, this.#level + added);
    this.#updatedAt = now;
  }
}
