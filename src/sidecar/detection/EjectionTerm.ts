import type { EjectionRule } from "./EjectionRule.ts";

/** A target clean for this many times its last ejection starts over at the shortest one. */
const FORGIVE_FACTOR = 4;

/** Share of its usual work a target gets at the start of its ramp. */
const RAMP_START = 0.1;

/** While on its ramp a target is ejected on this share of the usual evidence. */
const RAMP_THRESHOLD = 0.6;

/**
 * One target's ejections as this sidecar carries them out. Each ejection soon
 * after the last lasts twice as long, so a target that flaps between healthy
 * and sick is out most of the time; readmission is gradual and on notice.
 */
export class EjectionTerm {
  readonly #now: () => number;
  #until = -Infinity;
  #rampMs = 0;
  #lastMs = 0;
  #open = false;

  /** `now` is a monotonic clock, ms. */
  constructor(now: () => number) {
    this.#now = now;
  }

  /** True while the target is out. */
  get ejected(): boolean {
    return this.#open && this.#now() < this.#until;
  }

  /** When the last ejection ended or will end, in the clock's ms; -Infinity if never ejected. */
  get endsAt(): number {
    return this.#until;
  }

  /** Ejects it; returns for how long, ms. */
  eject(rule: EjectionRule): number {
    const now = this.#now();
    const soon = now - this.#until < FORGIVE_FACTOR * this.#lastMs;
    this.#lastMs = soon ? Math.min(this.#lastMs * 2, rule.maxEjectMs) : rule.ejectMs;
    this.#until = now + this.#lastMs;
    this.#rampMs = rule.rampMs;
    this.#open = true;
    return this.#lastMs;
  }

  /** Starts the ramp of a target that has just come up, with no ejection and no notice. */
  warmUp(rampMs: number): void {
    this.#until = this.#now();
    this.#rampMs = rampMs;
    this.#lastMs = 0;
  }

  /** True once, when an ejection has run out: the moment to forget old evidence. */
  takeReadmission(): boolean {
    if (!this.#open || this.ejected) {
      return false;
    }
    this.#open = false;
    return true;
  }

  /** Share of its usual work, from {@link RAMP_START} up to 1. */
  get weight(): number {
    const since = this.#now() - this.#until;
    if (since >= this.#rampMs) {
      return 1;
    }
    return RAMP_START + (1 - RAMP_START) * Math.max(0, since / this.#rampMs);
  }

  /** Factor on the detection threshold: lower while readmission is on notice. */
  get thresholdFactor(): number {
    return this.#lastMs > 0 && this.weight < 1 ? RAMP_THRESHOLD : 1;
  }
}
