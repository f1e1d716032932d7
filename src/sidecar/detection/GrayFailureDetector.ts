import type bunyan from "bunyan";
import type { Clock } from "../../common/lifecycle/Clock.ts";
import { AttemptOutcome } from "./AttemptOutcome.ts";
import type { DetectionRule } from "./DetectionRule.ts";
import { DecayingScore } from "./DecayingScore.ts";
import { GrayStateFilter } from "./GrayStateFilter.ts";
import type { Admissible, HealthDetector } from "./HealthDetector.ts";

/** Share of requests that a healthy target answers with an error of its own, and that a gray one fails. */
const HEALTHY_FAILURES = 0.012;
const GRAY_FAILURES = 0.85;

/**
 * What this target fails while it is under suspicion is learned: the share above weighs as much as so many of its
 * answers, which count for less the older they are. One that loses a third of its answers is then
 * known to be better than none.
 */
const LEARNED_AFTER = 4;
const LEARNED_HALF_LIFE_MS = 4000;

/** The learned share stays above this: below it, a target is not gray. */
const LEAST_GRAY_FAILURES = 0.2;

/** Log-odds of a target that has just answered well, nats: what evidence is counted from. */
const WELL_NATS = -3.9;

/**
 * A failure of a request that began before one that has since been answered well says
 * less, as a share: a target's own errors come at the end of its work, those of a gray one at
 * once. It says something all the same: one that hangs is noticed long after it began.
 */
const OLDER_SHARE = 0.5;

/** A request whose time ran out before so many times the usual was not given a chance, and says nothing. */
const TIME_ENOUGH = 1.5;

/**
 * Share of answers that a healthy target garbles, cuts short or takes from another
 * request, and that a gray one does. Such answers are remembered for long, since a few in a hundred are
 * worth finding.
 */
const HEALTHY_WRONG = 0.001;
const GRAY_WRONG = 0.05;
const WRONG_NATS = Math.log(GRAY_WRONG / HEALTHY_WRONG);
const NOT_WRONG_NATS = Math.log((1 - GRAY_WRONG) / (1 - HEALTHY_WRONG));
const WRONG_HALF_LIFE_MS = 10_000;

/** What a run that is still unanswered at three times its usual time weighs, nats: two of them are suspicious. */
const OVERDUE_NATS = 2;

/**
 * A target is suspect from this chance of being gray on, once it has failed a request: after
 * one failure the chance is 0.2 to 0.6, by how long ago it answered well. It is cleared below the
 * lower one, which one or two good answers reach.
 */
const SUSPECT_FROM = 0.15;
const CLEARED_BELOW = 0.25;

/** An ejected target is readmitted below this chance, and stays suspect until it is cleared. */
const READMITTED_BELOW = 0.75;

/** Pace from which an answer's lateness is no evidence against a target that was ejected for it, as a share of the rule's. */
const PACE_HYSTERESIS = 0.8;

/** Weight of the newest answer in the pace: about the last six count. */
const PACE_WEIGHT = 0.16;

/**
 * Expendable requests that a target is tried with at the same time: an ejected one that has failed the last;
 * one that has answered the last, as those do that fail three in four, too; and one that is likely to be well.
 */
const PROBES_FAILING = 1;
const PROBES_UNSURE = 3;
const PROBES_HOPEFUL = 5;

/**
 * A target that failed a probe is left alone for this long before the next, ms; and where requests wait
 * for want of room, for this long: a target that is well again and not known to be is then missed.
 * Always the shorter one would fail more: each probe takes a request's first try.
 */
const PROBE_PAUSE_MS = 1000;
const PRESSED_PAUSE_MS = 300;

/** What a probe under way takes to tell how the target is, ms, where the next one has to wait for it. */
const PROBE_TAKES_MS = 200;

/** An ejection this soon after the last, as a multiple of how long a silent target stays out, makes it stay out for longer. */
const SOON_FACTOR = 4;

interface GrayFailureDetectorDeps {
  readonly rule: () => DetectionRule;
  readonly clock: Clock;
  readonly log: bunyan;
  /** Told when the target is found gray, and when it is found well again. */
  readonly onChange?: (isEjected: boolean) => void;
}

/**
 * What the sidecar beside a target thinks of it, from every answer that it gave to
 * anyone: the chance that it is gray, and how its answer times compare with its
 * service's. One failure is enough for requests that have no other try to go elsewhere;
 * all work goes elsewhere from the document's threshold on. It comes back by proof, not by
 * the passing of time: expendable requests tell when it is well again. Only a target that
 * nothing is heard of is tried again in the end.
 */
export class GrayFailureDetector implements HealthDetector {
  readonly #deps: GrayFailureDetectorDeps;
  readonly #gray: GrayStateFilter;
  /** Answers while under suspicion, and those of them that were failures, fading. */
  readonly #answers: DecayingScore;
  readonly #failures: DecayingScore;
  readonly #wrongs: DecayingScore;
  /** When the newest requests that failed, and that were answered well, began. */
  #failedSince = -Infinity;
  #okSince = -Infinity;
  #suspected = false;
  #pace = 1;
  #paceAt = 0;
  #silentMs: number;
  #heardAt: number;
  #ejected = false;
  #ejectedAt = -Infinity;
  #nextProbeAt = -Infinity;

  constructor(deps: GrayFailureDetectorDeps) {
    this.#deps = deps;
    this.#gray = new GrayStateFilter(deps.clock);
    this.#answers = new DecayingScore(deps.clock, () => LEARNED_HALF_LIFE_MS);
    this.#failures = new DecayingScore(deps.clock, () => LEARNED_HALF_LIFE_MS);
    this.#wrongs = new DecayingScore(deps.clock, () => WRONG_HALF_LIFE_MS);
    this.#silentMs = deps.rule().ejectMs;
    this.#heardAt = deps.clock.now();
  }

  get risk(): number {
    const gray = this.#gray.value;
    const wrongs = GRAY_WRONG * (1 - Math.exp(-this.#wrongs.value));
    return Math.min(1, gray * this.#grayFailures + (1 - gray) * HEALTHY_FAILURES + wrongs);
  }

  /** Share of requests that the target fails when it is gray. */
  get #grayFailures(): number {
    const seen = this.#failures.value + GRAY_FAILURES * LEARNED_AFTER;
    return Math.max(LEAST_GRAY_FAILURES, seen / (this.#answers.value + LEARNED_AFTER));
  }

  /** What one failure, and one good answer, weigh, nats (log-likelihood ratios): 4.3 and -1.9 at first. */
  get #failureNats(): number {
    return Math.log(this.#grayFailures / HEALTHY_FAILURES);
  }

  get #successNats(): number {
    return Math.log((1 - this.#grayFailures) / (1 - HEALTHY_FAILURES));
  }

  get pace(): number {
    const age = this.#deps.clock.now() - this.#paceAt;
    return 1 + (this.#pace - 1) * 0.5 ** ((2 * age) / this.#silentMs);
  }

  get isSuspect(): boolean {
    return this.isEjected || (this.#suspected && !this.#isSilent);
  }

  get isEjected(): boolean {
    return this.#review();
  }

  probeInMs(probes: number): number | undefined {
    if (!this.isSuspect) {
      return undefined;
    }
    const pauseMs = Math.max(0, this.#nextProbeAt - this.#deps.clock.now());
    const isTaken = probes >= this.#mostProbes;
    return isTaken ? Math.max(pauseMs, PROBE_TAKES_MS) : pauseMs;
  }

  get #mostProbes(): number {
    const isHopeful = !this.#ejected || this.#okSince > this.#failedSince;
    if (!isHopeful) {
      return PROBES_FAILING;
    }
    return this.#gray.value < READMITTED_BELOW ? PROBES_HOPEFUL : PROBES_UNSURE;
  }

  admits({ acceptsRisk, isExpendable, isPressed }: Admissible, probes: number): boolean {
    const soonestMs = isPressed ? PROBE_PAUSE_MS - PRESSED_PAUSE_MS : 0;
    const isDue = () => (this.probeInMs(probes) ?? 0) <= soonestMs;
    return this.risk <= acceptsRisk || !this.isSuspect || (isExpendable && isDue());
  }

  note(outcome: AttemptOutcome, ms: number, typicalMs: number): void {
    const since = this.#deps.clock.now() - ms;
    switch (outcome) {
      case AttemptOutcome.Ok:
        this.#noteOk(since);
        this.#notePace(ms, typicalMs);
        return;
      case AttemptOutcome.Failed:
      case AttemptOutcome.NoAnswer:
        this.#noteFailure(since, this.#failureNats);
        return;
      case AttemptOutcome.TimedOut:
        if (ms >= typicalMs * TIME_ENOUGH) {
          this.#noteFailure(since, OVERDUE_NATS);
        }
        return;
      case AttemptOutcome.Wrong:
        this.#pauseProbes();
        this.#wrongs.add(WRONG_NATS, this.#deps.rule().threshold);
        this.#review();
        return;
      case AttemptOutcome.CallLost:
      case AttemptOutcome.Shed:
      case AttemptOutcome.Cancelled:
        return;
    }
  }

  noteOverdue(ms: number): void {
    this.#noteFailure(this.#deps.clock.now() - ms, OVERDUE_NATS);
  }

  /** Nothing was heard of the target for as long as it is left alone without news. */
  get #isSilent(): boolean {
    return this.#deps.clock.now() - this.#heardAt >= this.#silentMs;
  }

  #noteOk(since: number): void {
    this.#wrongs.add(NOT_WRONG_NATS, this.#deps.rule().threshold);
    this.#okSince = Math.max(this.#okSince, since);
    if (since < this.#failedSince) {
      // It began before the target failed another one, and says nothing of the time since.
      this.#review();
      return;
    }
    this.#learn(0);
    this.#hear(this.#successNats);
    this.#nextProbeAt = -Infinity;
    if (this.#gray.value < CLEARED_BELOW) {
      this.#suspected = false;
    }
  }

  #noteFailure(since: number, nats: number): void {
    this.#learn(1);
    this.#hear(since < this.#okSince ? nats * OLDER_SHARE : nats);
    this.#failedSince = Math.max(this.#failedSince, since);
    this.#pauseProbes();
    if (this.#gray.value >= SUSPECT_FROM) {
      this.#suspected = true;
    }
  }

  #learn(failures: 0 | 1): void {
    if (this.#suspected) {
      this.#answers.add(1, Infinity);
      this.#failures.add(failures, Infinity);
    }
  }

  #hear(nats: number): void {
    this.#heardAt = this.#deps.clock.now();
    this.#gray.add(nats);
    this.#review();
  }

  #pauseProbes(): void {
    if (this.#ejected) {
      this.#nextProbeAt = this.#deps.clock.now() + PROBE_PAUSE_MS;
    }
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
    const isEjected = this.#ejected ? this.#staysOut() : this.#isGray();
    if (isEjected !== this.#ejected) {
      this.#change(isEjected);
    }
    return isEjected;
  }

  #isGray(): boolean {
    const { threshold, slowFactor } = this.#deps.rule();
    const isFailing = this.#suspected && this.#gray.nats - WELL_NATS >= threshold;
    return isFailing || this.#wrongs.value >= threshold || this.pace >= slowFactor;
  }

  #staysOut(): boolean {
    const { threshold, slowFactor } = this.#deps.rule();
    const isFailing = !this.#isSilent && this.#gray.value >= READMITTED_BELOW;
    const isWrong = this.#wrongs.value >= Math.min(threshold, WRONG_NATS);
    return isFailing || isWrong || this.pace >= slowFactor * PACE_HYSTERESIS;
  }

  #change(isEjected: boolean): void {
    const { clock, log } = this.#deps;
    const { ejectMs, maxEjectMs } = this.#deps.rule();
    const evidence = {
      chance: round(this.#gray.value),
      wrongs: this.#wrongs.value,
      pace: this.pace,
    };
    this.#ejected = isEjected;
    if (isEjected) {
      const soon = clock.now() - this.#ejectedAt < SOON_FACTOR * this.#silentMs;
      this.#silentMs = soon ? Math.min(this.#silentMs * 2, maxEjectMs) : ejectMs;
      this.#ejectedAt = clock.now();
      this.#nextProbeAt = clock.now() + PROBE_PAUSE_MS;
    }
    log.info({ ...evidence, silentMs: this.#silentMs }, isEjected ? "ejected" : "readmitted");
    this.#deps.onChange?.(isEjected);
  }
}

function round(value: number): number {
  return Math.round(value * 1000) / 1000;
}
