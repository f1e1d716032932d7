import type bunyan from "bunyan";
import type { Clock } from "../../common/lifecycle/Clock.ts";
import { AttemptOutcome } from "./AttemptOutcome.ts";
import type { DetectionRule } from "./DetectionRule.ts";
import { DecayingScore } from "./DecayingScore.ts";
import { GrayStateFilter } from "./GrayStateFilter.ts";
import type { AdmissionRequest, HealthDetector } from "./HealthDetector.ts";

/** Fraction of requests that a healthy target fails with errors of its own, and fraction that a gray target fails. */
const HEALTHY_FAILURE_RATE = 0.012;
const GRAY_FAILURE_RATE = 0.85;

/**
 * The failure rate of a suspect target is estimated from its own responses. {@link GRAY_FAILURE_RATE} is
 * the prior, worth this many responses, and older responses count for less. A target that fails a third of
 * its requests is then known to be better than none.
 */
const PRIOR_SAMPLES = 4;
const FAILURE_RATE_HALF_LIFE_MS = 4000;

/** Lower bound of the estimated failure rate: a target that fails fewer requests is not gray. */
const MIN_GRAY_FAILURE_RATE = 0.2;

/** Log-odds of being gray right after a success, nats: the baseline from which evidence is counted. */
const HEALTHY_LOG_ODDS = -3.9;

/**
 * Weight of a failure whose request started before the newest request that has succeeded. It is weaker
 * evidence, since a healthy target's own errors come at the end of its work and those of a gray one
 * immediately. It still counts, because a hung request is only noticed long after it started.
 */
const OVERLAPPED_FAILURE_WEIGHT = 0.5;

/** A timeout after less than this many times the typical duration is no evidence: the request had too little time. */
const MIN_TIMEOUT_RATIO = 1.5;

/**
 * Fraction of responses that are malformed, truncated or meant for another request: from a healthy target,
 * and from a gray one. They have a long half-life, since a few in a hundred are worth detecting.
 */
const HEALTHY_WRONG_RATE = 0.001;
const GRAY_WRONG_RATE = 0.05;
const WRONG_NATS = Math.log(GRAY_WRONG_RATE / HEALTHY_WRONG_RATE);
const NOT_WRONG_NATS = Math.log((1 - GRAY_WRONG_RATE) / (1 - HEALTHY_WRONG_RATE));
const WRONG_HALF_LIFE_MS = 10_000;

/** Evidence of a run without a response after three times its typical duration, nats: two of them make a target suspect. */
const OVERDUE_NATS = 2;

/**
 * A target becomes suspect if it has failed a request and its probability of being gray is at least the first
 * threshold. After one failure the probability is 0.2 to 0.6, depending on how long ago it last succeeded.
 * The suspicion is cleared below the second threshold, which one or two successes reach.
 */
const SUSPECT_THRESHOLD = 0.15;
const CLEAR_THRESHOLD = 0.25;

/** An ejected target is readmitted below this probability, and stays suspect until it is cleared. */
const READMIT_THRESHOLD = 0.75;

/** A target ejected for slow responses is readmitted when its pace falls below this fraction of the rule's `slowFactor`. */
const PACE_HYSTERESIS = 0.8;

/** Smoothing factor of the pace: about the last six responses count. */
const PACE_WEIGHT = 0.16;

/**
 * Maximum number of concurrent probes: for an ejected target whose newest result is a failure; for one whose
 * newest result is a success, which also happens with targets that fail three in four; and for one that is
 * likely to be healthy.
 */
const MAX_PROBES_FAILING = 1;
const MAX_PROBES_RECOVERING = 3;
const MAX_PROBES_LIKELY_HEALTHY = 5;

/**
 * Wait after a failed probe before the next one, ms: normally, and for requests from a sidecar where requests
 * are queued for capacity, which a target would provide that is healthy again but not yet known to be. Using
 * the shorter interval everywhere would fail more requests, as each probe uses up a request's first attempt.
 */
const PROBE_INTERVAL_MS = 1000;
const QUEUED_PROBE_INTERVAL_MS = 300;

/** Estimated duration of a probe, ms: the wait for the next one while the maximum number is in flight. */
const PROBE_DURATION_MS = 200;

/** An ejection within this many silence timeouts of the previous one doubles the silence timeout. */
const REPEAT_EJECTION_FACTOR = 4;

interface GrayFailureDetectorDeps {
  readonly rule: () => DetectionRule;
  readonly clock: Clock;
  readonly log: bunyan;
  /** Called when the target is ejected and when it is readmitted. */
  readonly onChange?: (isEjected: boolean) => void;
}

/**
 * Detects gray (partial) failures of the sidecar's co-located target from the outcomes of all
 * its requests, from any sidecar: the probability that it is gray, and how its response times
 * compare with those of its service. One failure makes it suspect, and requests that cannot
 * be retried go to other targets; from the document's threshold on it is ejected, and all
 * requests do. It is readmitted on evidence, not after a fixed time: retryable requests
 * serve as probes. Only a target without any new evidence is tried again after a timeout.
 */
export class GrayFailureDetector implements HealthDetector {
  readonly #deps: GrayFailureDetectorDeps;
  readonly #grayState: GrayStateFilter;
  /** Responses while suspect, and how many of them were failures; both decay with time. */
  readonly #responses: DecayingScore;
  readonly #failures: DecayingScore;
  readonly #wrongResponses: DecayingScore;
  /** When the most recently started requests that failed, and that succeeded, were started, ms. */
  #latestFailureStart = -Infinity;
  #latestSuccessStart = -Infinity;
  #suspected = false;
  #pace = 1;
  #paceUpdatedAt = 0;
  /** Time without new evidence after which the target is tried again, ms; doubles with repeated ejections. */
  #silenceTimeoutMs: number;
  #lastEvidenceAt: number;
  #ejected = false;
  #ejectedAt = -Infinity;
  #nextProbeAt = -Infinity;

  constructor(deps: GrayFailureDetectorDeps) {
    this.#deps = deps;
    this.#grayState = new GrayStateFilter(deps.clock);
    this.#responses = new DecayingScore(deps.clock, () => FAILURE_RATE_HALF_LIFE_MS);
    this.#failures = new DecayingScore(deps.clock, () => FAILURE_RATE_HALF_LIFE_MS);
    this.#wrongResponses = new DecayingScore(deps.clock, () => WRONG_HALF_LIFE_MS);
    this.#silenceTimeoutMs = deps.rule().ejectMs;
    this.#lastEvidenceAt = deps.clock.now();
  }

  get risk(): number {
    const grayChance = this.#grayState.value;
    const wrongs = GRAY_WRONG_RATE * (1 - Math.exp(-this.#wrongResponses.value));
    return Math.min(
      1,
      grayChance * this.#grayFailureRate + (1 - grayChance) * HEALTHY_FAILURE_RATE + wrongs,
    );
  }

  /** Estimated fraction of requests that the target fails when it is gray. */
  get #grayFailureRate(): number {
    const weightedFailures = this.#failures.value + GRAY_FAILURE_RATE * PRIOR_SAMPLES;
    return Math.max(
      MIN_GRAY_FAILURE_RATE,
      weightedFailures / (this.#responses.value + PRIOR_SAMPLES),
    );
  }

  /** Evidence of one failure, and of one success, nats (log-likelihood ratios): 4.3 and -1.9 at first. */
  get #failureNats(): number {
    return Math.log(this.#grayFailureRate / HEALTHY_FAILURE_RATE);
  }

  get #successNats(): number {
    return Math.log((1 - this.#grayFailureRate) / (1 - HEALTHY_FAILURE_RATE));
  }

  get pace(): number {
    const age = this.#deps.clock.now() - this.#paceUpdatedAt;
    return 1 + (this.#pace - 1) * 0.5 ** ((2 * age) / this.#silenceTimeoutMs);
  }

  get isSuspect(): boolean {
    return this.isEjected || (this.#suspected && !this.#isSilent);
  }

  get isEjected(): boolean {
    return this.#updateEjection();
  }

  probeInMs(probes: number): number | undefined {
    if (!this.isSuspect) {
      return undefined;
    }
    const waitMs = Math.max(0, this.#nextProbeAt - this.#deps.clock.now());
    const isAtLimit = probes >= this.#maxProbes;
    return isAtLimit ? Math.max(waitMs, PROBE_DURATION_MS) : waitMs;
  }

  get #maxProbes(): number {
    const isRecovering = !this.#ejected || this.#latestSuccessStart > this.#latestFailureStart;
    if (!isRecovering) {
      return MAX_PROBES_FAILING;
    }
    return this.#grayState.value < READMIT_THRESHOLD
      ? MAX_PROBES_LIKELY_HEALTHY
      : MAX_PROBES_RECOVERING;
  }

  admits({ acceptsRisk, isRetryable, isCongested }: AdmissionRequest, probes: number): boolean {
    const earlyMs = isCongested ? PROBE_INTERVAL_MS - QUEUED_PROBE_INTERVAL_MS : 0;
    const isDue = () => (this.probeInMs(probes) ?? 0) <= earlyMs;
    return this.risk <= acceptsRisk || !this.isSuspect || (isRetryable && isDue());
  }

  recordOutcome(outcome: AttemptOutcome, ms: number, typicalMs: number): void {
    const startedAt = this.#deps.clock.now() - ms;
    switch (outcome) {
      case AttemptOutcome.Ok:
        this.#recordSuccess(startedAt);
        this.#recordPace(ms, typicalMs);
        return;
      case AttemptOutcome.Failed:
      case AttemptOutcome.NoResponse:
        this.#recordFailure(startedAt, this.#failureNats);
        return;
      case AttemptOutcome.TimedOut:
        if (ms >= typicalMs * MIN_TIMEOUT_RATIO) {
          this.#recordFailure(startedAt, OVERDUE_NATS);
        }
        return;
      case AttemptOutcome.InvalidResponse:
        this.#delayNextProbe();
        this.#wrongResponses.add(WRONG_NATS, this.#deps.rule().threshold);
        this.#updateEjection();
        return;
      case AttemptOutcome.NestedCallFailed:
      case AttemptOutcome.Shed:
      case AttemptOutcome.Cancelled:
        return;
    }
  }

  recordOverdue(ms: number): void {
    this.#recordFailure(this.#deps.clock.now() - ms, OVERDUE_NATS);
  }

  /** Whether there has been no new evidence for the silence timeout. */
  get #isSilent(): boolean {
    return this.#deps.clock.now() - this.#lastEvidenceAt >= this.#silenceTimeoutMs;
  }

  #recordSuccess(startedAt: number): void {
    this.#wrongResponses.add(NOT_WRONG_NATS, this.#deps.rule().threshold);
    this.#latestSuccessStart = Math.max(this.#latestSuccessStart, startedAt);
    if (startedAt < this.#latestFailureStart) {
      // It started before the newest failed request did, so it is no evidence that the target has recovered.
      this.#updateEjection();
      return;
    }
    this.#updateFailureRate(0);
    this.#addEvidence(this.#successNats);
    this.#nextProbeAt = -Infinity;
    if (this.#grayState.value < CLEAR_THRESHOLD) {
      this.#suspected = false;
    }
  }

  #recordFailure(startedAt: number, nats: number): void {
    this.#updateFailureRate(1);
    this.#addEvidence(
      startedAt < this.#latestSuccessStart ? nats * OVERLAPPED_FAILURE_WEIGHT : nats,
    );
    this.#latestFailureStart = Math.max(this.#latestFailureStart, startedAt);
    this.#delayNextProbe();
    if (this.#grayState.value >= SUSPECT_THRESHOLD) {
      this.#suspected = true;
    }
  }

  #updateFailureRate(failures: 0 | 1): void {
    if (this.#suspected) {
      this.#responses.add(1, Infinity);
      this.#failures.add(failures, Infinity);
    }
  }

  #addEvidence(nats: number): void {
    this.#lastEvidenceAt = this.#deps.clock.now();
    this.#grayState.add(nats);
    this.#updateEjection();
  }

  #delayNextProbe(): void {
    if (this.#ejected) {
      this.#nextProbeAt = this.#deps.clock.now() + PROBE_INTERVAL_MS;
    }
  }

  #recordPace(ms: number, typicalMs: number): void {
    if (typicalMs > 0 && ms - typicalMs < this.#deps.rule().slowMinMs) {
      this.#updatePace(Math.min(1, ms / typicalMs));
    } else if (typicalMs > 0) {
      this.#updatePace(ms / typicalMs);
    }
  }

  #updatePace(ratio: number): void {
    const pace = this.pace;
    this.#pace = pace + PACE_WEIGHT * (ratio - pace);
    this.#paceUpdatedAt = this.#deps.clock.now();
    this.#updateEjection();
  }

  /** Evaluates the evidence at the current time, and reports a change; returns whether the target is ejected. */
  #updateEjection(): boolean {
    const isEjected = this.#ejected ? this.#shouldStayEjected() : this.#shouldEject();
    if (isEjected !== this.#ejected) {
      this.#setEjected(isEjected);
    }
    return isEjected;
  }

  #shouldEject(): boolean {
    const { threshold, slowFactor } = this.#deps.rule();
    const isFailing = this.#suspected && this.#grayState.nats - HEALTHY_LOG_ODDS >= threshold;
    return isFailing || this.#wrongResponses.value >= threshold || this.pace >= slowFactor;
  }

  #shouldStayEjected(): boolean {
    const { threshold, slowFactor } = this.#deps.rule();
    const isFailing = !this.#isSilent && this.#grayState.value >= READMIT_THRESHOLD;
    const hasWrongResponses = this.#wrongResponses.value >= Math.min(threshold, WRONG_NATS);
    return isFailing || hasWrongResponses || this.pace >= slowFactor * PACE_HYSTERESIS;
  }

  #setEjected(isEjected: boolean): void {
    const { clock, log } = this.#deps;
    const { ejectMs, maxEjectMs } = this.#deps.rule();
    const evidence = {
      chance: round(this.#grayState.value),
      wrongs: this.#wrongResponses.value,
      pace: this.pace,
    };
    this.#ejected = isEjected;
    if (isEjected) {
      const isRepeated =
        clock.now() - this.#ejectedAt < REPEAT_EJECTION_FACTOR * this.#silenceTimeoutMs;
      this.#silenceTimeoutMs = isRepeated
        ? Math.min(this.#silenceTimeoutMs * 2, maxEjectMs)
        : ejectMs;
      this.#ejectedAt = clock.now();
      this.#nextProbeAt = clock.now() + PROBE_INTERVAL_MS;
    }
    log.info(
      { ...evidence, silentMs: this.#silenceTimeoutMs },
      isEjected ? "ejected" : "readmitted",
    );
    this.#deps.onChange?.(isEjected);
  }
}

function round(value: number): number {
  return Math.round(value * 1000) / 1000;
}
