import type bunyan from "bunyan";
import type { Clock } from "../../common/lifecycle/Clock.ts";
import { AttemptOutcome } from "./AttemptOutcome.ts";
import type { DetectionRule } from "./DetectionRule.ts";
import { FadingScore } from "./FadingScore.ts";
import type { Admissible, Judge } from "./Judge.ts";

/**
 * Share of requests that a healthy target fails, and that a gray one does. Healthy
 * back ends of the users answer 12 in 1,000 with an error of their own; gray ones fail
 * 45 to 90 in 100 for seconds.
 */
const HEALTHY_FAILURES = 0.012;
const GRAY_FAILURES = 0.6;

/** What one failure and one good answer weigh, nats (log-likelihood ratios): 3.9 and -0.9. */
const FAILURE_NATS = Math.log(GRAY_FAILURES / HEALTHY_FAILURES);
const SUCCESS_NATS = Math.log((1 - GRAY_FAILURES) / (1 - HEALTHY_FAILURES));

/**
 * Share of answers that a healthy target garbles, cuts short or takes from another
 * request, and that a gray one does: next to never, and 5 in 100. Such answers are
 * remembered for long, since a few in a hundred are worth finding.
 */
const HEALTHY_WRONG = 0.001;
const GRAY_WRONG = 0.05;
const WRONG_NATS = Math.log(GRAY_WRONG / HEALTHY_WRONG);
const NOT_WRONG_NATS = Math.log((1 - GRAY_WRONG) / (1 - HEALTHY_WRONG));
const WRONG_HALF_LIFE_MS = 10_000;

/** What a run that is still unanswered at three times its usual time weighs, nats: two of them are suspicious. */
const OVERDUE_NATS = 2;

/**
 * Evidence from which a target is under suspicion, nats: below the 3.9 of a single
 * failure. That is early, since all it costs a healthy target is that work that
 * must not repeat goes elsewhere until one lookup has come back well.
 */
const SUSPECT_NATS = 3;

/** Evidence is capped this far above what ejects, nats, so that a few good answers in a row readmit. */
const HEADROOM_NATS = 0.5;

/** Weight of the newest answer in the pace: about the last six count. */
const PACE_WEIGHT = 0.16;

/** Idempotent requests that an ejected target is tried with at the same time. */
const CANARIES = 1;

/** An ejected target is left alone for this long before it is tried, ms; after a failed try for twice as long... */
const FIRST_PAUSE_MS = 1000;

/** ...up to this, ms: it is found well again soon after. */
const MAX_PAUSE_MS = 2000;

/** An ejection this soon after the last, as a multiple of how long evidence is kept, makes it be kept for longer. */
const SOON_FACTOR = 4;

interface TargetJudgeDeps {
  readonly rule: () => DetectionRule;
  readonly clock: Clock;
  readonly log: bunyan;
  /** Told when the target is found gray, and when it is found well again. */
  readonly onChange?: (isEjected: boolean) => void;
}

/**
 * What the sidecar beside a target thinks of it, from every answer that it gave to
 * anyone: how likely it fails what it is given (a CUSUM of log-likelihood ratios,
 * Page 1954, that fades), and how its answer times compare with its service's. One
 * failure is enough for work that must not repeat to go elsewhere; all work goes
 * elsewhere from the document's threshold on. Single idempotent requests, which can be
 * repeated elsewhere, tell when it is well again. A target that turns gray again and
 * again is believed more slowly each time.
 */
export class TargetJudge implements Judge {
  readonly #deps: TargetJudgeDeps;
  readonly #failures: FadingScore;
  readonly #wrongs: FadingScore;
  #pace = 1;
  #paceAt = 0;
  #halfLifeMs: number;
  #ejected = false;
  #ejectedAt = -Infinity;
  #pauseMs = FIRST_PAUSE_MS;
  #triedAt = -Infinity;

  constructor(deps: TargetJudgeDeps) {
    this.#deps = deps;
    this.#halfLifeMs = deps.rule().ejectMs / 2;
    this.#failures = new FadingScore(deps.clock, () => this.#halfLifeMs);
    this.#wrongs = new FadingScore(deps.clock, () => WRONG_HALF_LIFE_MS);
  }

  get suspicion(): number {
    return Math.max(this.#failures.value, this.#wrongs.value);
  }

  get pace(): number {
    const age = this.#deps.clock.now() - this.#paceAt;
    return 1 + (this.#pace - 1) * 0.5 ** (age / this.#halfLifeMs);
  }

  get isSuspect(): boolean {
    return this.suspicion >= SUSPECT_NATS || this.isEjected;
  }

  get isEjected(): boolean {
    return this.#review();
  }

  admits(req: Admissible, underWay: number): boolean {
    if (req.insist) {
      return true;
    }
    if (this.isEjected) {
      return req.idempotent && underWay < CANARIES && this.#takeTurn();
    }
    return req.idempotent || !this.isSuspect;
  }

  note(outcome: AttemptOutcome, ms: number, typicalMs: number): void {
    switch (outcome) {
      case AttemptOutcome.Ok:
        this.#pauseMs = 0;
        this.#add(this.#failures, SUCCESS_NATS);
        this.#add(this.#wrongs, NOT_WRONG_NATS);
        this.#notePace(ms, typicalMs);
        return;
      case AttemptOutcome.Failed:
      case AttemptOutcome.NoAnswer:
        this.#prolongPause();
        this.#add(this.#failures, FAILURE_NATS);
        return;
      case AttemptOutcome.TimedOut:
        this.#prolongPause();
        this.#add(this.#failures, OVERDUE_NATS);
        return;
      case AttemptOutcome.Wrong:
        this.#prolongPause();
        this.#add(this.#wrongs, WRONG_NATS);
        return;
      case AttemptOutcome.Shed:
      case AttemptOutcome.Cancelled:
        return;
    }
  }

  noteOverdue(): void {
    this.#add(this.#failures, OVERDUE_NATS);
  }

  /** Whether an ejected target may be tried now; each try that fails puts the next one off. */
  #takeTurn(): boolean {
    const now = this.#deps.clock.now();
    if (now - Math.max(this.#triedAt, this.#ejectedAt) < this.#pauseMs) {
      return false;
    }
    this.#triedAt = now;
    return true;
  }

  #prolongPause(): void {
    if (this.#ejected) {
      this.#pauseMs = Math.min(MAX_PAUSE_MS, Math.max(FIRST_PAUSE_MS, this.#pauseMs * 2));
    }
  }

  #add(score: FadingScore, nats: number): void {
    score.add(nats, this.#deps.rule().threshold + HEADROOM_NATS);
    this.#review();
  }

  #notePace(ms: number, typicalMs: number): void {
    if (typicalMs > 0 && ms - typicalMs < this.#deps.rule().slowMinMs) {
      this.#movePace(Math.min(1, ms / typicalMs));
    } else if (typicalMs > 0) {
      this.#movePace(ms / typicalMs);
    }
  }

  #movePace(ratio: number): void {
    const pace = this.pace;
    this.#pace = pace + PACE_WEIGHT * (ratio - pace);
    this.#paceAt = this.#deps.clock.now();
    this.#review();
  }

  /** Weighs the evidence as it stands now, and tells of a change. */
  #review(): boolean {
    const { threshold, slowFactor } = this.#deps.rule();
    // Once ejected it stays so until the evidence is down to where one failure leaves it.
    const level = this.#ejected ? Math.min(threshold, FAILURE_NATS) : threshold;
    const isEjected = this.suspicion >= level || this.pace >= slowFactor;
    if (isEjected !== this.#ejected) {
      this.#change(isEjected);
    }
    return isEjected;
  }

  #change(isEjected: boolean): void {
    const { clock, log } = this.#deps;
    const { ejectMs, maxEjectMs } = this.#deps.rule();
    const evidence = { nats: this.suspicion, pace: this.pace, halfLifeMs: this.#halfLifeMs };
    this.#ejected = isEjected;
    if (isEjected) {
      const soon = clock.now() - this.#ejectedAt < SOON_FACTOR * this.#halfLifeMs;
      this.#halfLifeMs = soon ? Math.min(this.#halfLifeMs * 2, maxEjectMs / 2) : ejectMs / 2;
      this.#ejectedAt = clock.now();
      this.#pauseMs = FIRST_PAUSE_MS;
    }
    log.info(evidence, isEjected ? "ejected" : "readmitted");
    this.#deps.onChange?.(isEjected);
  }
}
