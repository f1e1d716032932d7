import type { Clock } from "../../common/lifecycle/Clock.ts";
import type { RefusalReason } from "../hop/RefusalReason.ts";

/** What happened at a gate since its target last began a run. */
export interface IdlePeriod {
  /** Time since a run was last in progress, ms. */
  readonly idleMs: number;
  /** Number of slot requests received in this time. */
  readonly requests: number;
  /** Number of slot requests refused in this time, by reason. */
  readonly refusals: Readonly<Partial<Record<RefusalReason, number>>>;
}

/** Age of the shortest idle period that is reported, ms; a period is reported again whenever it has doubled. */
const FIRST_REPORT_MS = 1000;

/** Records how long the target of a gate has been without work, and what its gate did meanwhile. */
export class GateActivity {
  readonly #clock: Clock;
  #idleSince: number;
  #requests = 0;
  #refusals: Partial<Record<RefusalReason, number>> = {};
  #reportAfterMs = FIRST_REPORT_MS;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#idleSince = clock.now();
  }

  /** Records that a slot request was received. */
  recordRequest(): void {
    this.#requests += 1;
  }

  /** Records that a slot request was refused. */
  recordRefusal(reason: RefusalReason): void {
    this.#refusals[reason] = (this.#refusals[reason] ?? 0) + 1;
  }

  /** Records that a run has begun or ended. */
  recordRun(): void {
    this.#idleSince = this.#clock.now();
    this.#requests = 0;
    this.#refusals = {};
    this.#reportAfterMs = FIRST_REPORT_MS;
  }

  /** The time since a run last began or ended, ms. */
  get idleMs(): number {
    return this.#clock.now() - this.#idleSince;
  }

  /** The time since a run last began or ended, ms; 0 if a slot was requested since. */
  get unusedMs(): number {
    return this.#requests === 0 ? this.idleMs : 0;
  }

  /** The current idle period if it is due for a report; undefined otherwise. */
  takeReport(): IdlePeriod | undefined {
    const { idleMs } = this;
    if (idleMs < this.#reportAfterMs) {
      return undefined;
    }
    this.#reportAfterMs = 2 * idleMs;
    return { idleMs: Math.round(idleMs), requests: this.#requests, refusals: this.#refusals };
  }
}
