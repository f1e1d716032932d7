import type { Clock } from "../../common/lifecycle/Clock.ts";
import { SlidingWindowSum } from "./SlidingWindowSum.ts";

/** Limit on the extra requests (retries and hedges) that the whole fleet may send to a service in a sliding window. */
export interface RetryBudgetRule {
  /** Extra requests allowed per first try in the window. */
  readonly ratio: number;
  readonly windowMs: number;
  /** Extra requests allowed per window regardless of traffic, shared by all sidecars. */
  readonly slack: number;
  /** Fraction of the allowance that only nested calls may use; 0 if left out. */
  readonly reservedForCalls?: number;
}

/**
 * Part of the allowance that is used. The rest absorbs errors: nested calls of a repeated run are counted by their
 * mean, rounding makes shares slightly larger or smaller, and sidecars may disagree on the number of members.
 */
const SAFETY_FACTOR = 0.85;

/**
 * Fraction of the usable allowance that hedges leave to retries: a retry replaces a response that failed, a hedge only
 * one that is late.
 */
const RESERVED_FOR_RETRIES = 0.5;

/** Minimum number of members by which the slack is divided: a sidecar that has just started knows few of them. */
const MIN_MEMBERS = 8;

interface RetryBudgetDeps {
  readonly rule: () => RetryBudgetRule;
  readonly clock: Clock;
  /** Number of sidecars that share the slack, including those lost recently. */
  readonly members: () => number;
  /** Start time of this process on `clock`, ms. */
  readonly startedAt: number;
  /**
   * Smallest fraction of an extra request that is rounded up to a whole one, in (0, 1]; drawn at random in each
   * process.
   */
  readonly roundingThreshold: number;
}

/**
 * One sidecar's share of a service's retry budget, which protects a failing service from
 * retry storms (similar to gRPC's retry throttling, gRFC A6). Counted over a sliding
 * window: extra requests never exceed their ratio to the first tries in the same window,
 * so an allowance left unused in a quiet period cannot be spent in a storm. Each sidecar
 * limits itself by its own first tries and its share of the fleet's slack, so the fleet
 * keeps to the rule without coordination.
 */
export class RetryBudget {
  readonly #deps: RetryBudgetDeps;
  readonly #firstTries: SlidingWindowSum;
  readonly #extras: SlidingWindowSum;

  constructor(deps: RetryBudgetDeps) {
    this.#deps = deps;
    const { windowMs } = deps.rule();
    this.#firstTries = new SlidingWindowSum(windowMs);
    this.#extras = new SlidingWindowSum(windowMs);
  }

  /** Records the first try of a caller's request. */
  onFirstTry(): void {
    this.#firstTries.add(1, this.#deps.clock.now());
  }

  /**
   * Whether `n` extra requests may be sent now; `n` is fractional where it is a mean. A sidecar's share is a few
   * requests and a fraction; if the fraction were always rounded down, a fleet of 24 would use only two thirds of its
   * budget. Each process rounds at its own random threshold instead, which evens out over the fleet.
   *
   * @param keepsReserve leave the part that is reserved for nested calls
   */
  canSpend(n: number, keepsReserve = false): boolean {
    return this.#usedWith(n * this.#deps.roundingThreshold) <= this.#usable(keepsReserve);
  }

  /**
   * Whether `n` extra requests may be sent as hedges now: they leave a part of the allowance to retries.
   *
   * @param keepsReserve leave also the part that is reserved for nested calls
   */
  canHedge(n: number, keepsReserve = false): boolean {
    const usable = this.#usable(keepsReserve) * (1 - RESERVED_FOR_RETRIES);
    return this.#usedWith(n * this.#deps.roundingThreshold) <= usable;
  }

  /** Whether `n` extra requests may be lent to another sidecar now; a fractional remainder is not rounded up here. */
  canLend(n: number, keepsReserve = false): boolean {
    return this.#usedWith(n) <= this.#usable(keepsReserve);
  }

  /** Records `n` extra requests. */
  spend(n: number): void {
    this.#extras.add(n, this.#deps.clock.now());
  }

  /** First tries and extra requests in the window that ends now, and the number of extra requests allowed in it. */
  get usage(): { firstTries: number; extras: number; allowed: number } {
    const now = this.#deps.clock.now();
    const firstTries = this.#firstTries.valueAt(now);
    const allowed = SAFETY_FACTOR * (this.#deps.rule().ratio * firstTries + this.#slackShare(now));
    return { firstTries, extras: this.#extras.valueAt(now), allowed };
  }

  #usedWith(n: number): number {
    return this.usage.extras + n;
  }

  #usable(keepsReserve: boolean): number {
    const { reservedForCalls = 0 } = this.#deps.rule();
    return this.usage.allowed * (keepsReserve ? 1 - reservedForCalls : 1);
  }

  /**
   * This sidecar's share of the slack: 0 during the first window of its process. Its previous incarnation may have
   * used its share in the same window: 96 extra requests for a slack of 58 when a fleet of 24 restarts in a storm.
   */
  #slackShare(now: number): number {
    const { slack, windowMs } = this.#deps.rule();
    const isNew = now - this.#deps.startedAt < windowMs;
    return isNew ? 0 : slack / Math.max(MIN_MEMBERS, this.#deps.members());
  }
}
