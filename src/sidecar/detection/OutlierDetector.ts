import type { TargetId } from "../../common/ids/TargetId.ts";
import { AttemptOutcome } from "./AttemptOutcome.ts";
import { CusumScore } from "./CusumScore.ts";
import type { Evidence } from "./Evidence.ts";
import { RECENT_MS } from "./RECENT_MS.ts";
import { LatencyBaseline } from "./LatencyBaseline.ts";
import type { SlowRule } from "./SlowRule.ts";

/** A healthy target fails one request in a thousand; 5 in 100 is the gray rate to catch. */
const FAILURE_RATES = [0.001, 0.05] as const;

/** A healthy target is late in 3 of 100; one that is late half the time is gray. */
const LATE_RATES = [0.03, 0.5] as const;

/** Evidence whose last bad observation is older than this is dropped, ms. */
const EVIDENCE_TTL_MS = 10_000;

/** One attempt in flight. */
interface InFlight {
  readonly target: TargetId;
  readonly baseline: LatencyBaseline;
  readonly rule: SlowRule;
  readonly startedAt: number;
  readonly stallAtStart: number;
  overdueCounted: boolean;
}

/** What is known of one target. */
class TargetRecord {
  readonly failures = new CusumScore(...FAILURE_RATES);
  readonly lateness = new CusumScore(...LATE_RATES);
  readonly okTimes: number[] = [];
  lastBadAt = -Infinity;
  ewmaMs: number | undefined;

  reset(): void {
    this.failures.reset();
    this.lateness.reset();
    this.lastBadAt = -Infinity;
    this.ewmaMs = undefined;
  }
}

/** Weight of the newest latency in a target's moving average. */
const EWMA_WEIGHT = 0.2;

/**
 * Judges targets from this sidecar's own traffic, by two CUSUM scores a
 * target: failed answers, and late ones (against the median of the same kind of
 * request at all the service's targets; no answer at all counts as late). A
 * request still unanswered past the limit counts at once, not when its answer
 * comes.
 */
export class OutlierDetector {
  readonly #now: () => number;
  readonly #stallMs: () => number;
  readonly #baselines = new Map<string, LatencyBaseline>();
  readonly #records = new Map<TargetId, TargetRecord>();
  readonly #inFlight = new Set<InFlight>();

  /**
   * @param now monotonic clock, ms
   * @param stallMs total time so far that this process itself was stalled, ms:
   *   a late timer here must not be held against the target
   */
  constructor(now: () => number, stallMs: () => number) {
    this.#now = now;
    this.#stallMs = stallMs;
  }

  /** Starts timing one attempt; call the result once, with how it ended. */
  begin(
    target: TargetId,
    service: string,
    kind: string,
    rule: SlowRule,
  ): (outcome: AttemptOutcome) => void {
    const attempt: InFlight = {
      target,
      baseline: this.#baseline(`${service}/${kind}`),
      rule,
      startedAt: this.#now(),
      stallAtStart: this.#stallMs(),
      overdueCounted: false,
    };
    this.#inFlight.add(attempt);
    return (outcome) => {
      if (this.#inFlight.delete(attempt)) {
        this.#end(attempt, outcome);
      }
    };
  }

  /** Counts attempts in flight that are already slow, each once. Call often. */
  checkOverdue(): void {
    for (const attempt of this.#inFlight) {
      if (!attempt.overdueCounted && this.#isSlow(attempt)) {
        attempt.overdueCounted = true;
        this.#bad(attempt.target).lateness.add(true);
      }
    }
  }

  /** Smoothed latency of a target's whole answers, ms. */
  latencyMs(target: TargetId): number | undefined {
    return this.#records.get(target)?.ewmaMs;
  }

  /** What this sidecar has to say of every target it has used lately. */
  evidence(): Evidence[] {
    const out: Evidence[] = [];
    for (const [target, record] of this.#records) {
      const e = this.#evidenceOf(target, record);
      if (e.failureScore > 0 || e.lateScore > 0 || e.recentOk > 0) {
        out.push(e);
      }
    }
    return out;
  }

  /** Gives `target` a fresh start, as when it is readmitted. */
  reset(target: TargetId): void {
    this.#records.get(target)?.reset();
  }

  /** Forgets targets that are gone. */
  retain(live: ReadonlySet<TargetId>): void {
    for (const id of this.#records.keys()) {
      if (!live.has(id)) {
        this.#records.delete(id);
      }
    }
  }

  #end(attempt: InFlight, outcome: AttemptOutcome): void {
    switch (outcome) {
      case AttemptOutcome.Ok:
        this.#answered(attempt, false);
        return;
      case AttemptOutcome.Failed:
        this.#answered(attempt, true);
        return;
      case AttemptOutcome.NoAnswer:
        // Also when it was counted as overdue: an answer that never came says more
        // than one that came late, and few requests go to a target that is silent.
        this.#bad(attempt.target).lateness.add(true);
        return;
      case AttemptOutcome.Shed:
      case AttemptOutcome.Cancelled:
        return;
    }
  }

  #answered(attempt: InFlight, failed: boolean): void {
    const record = this.#record(attempt.target);
    const slow = this.#isSlow(attempt);
    record.failures.add(failed);
    if (!attempt.overdueCounted) {
      record.lateness.add(slow);
    }
    if (failed || slow) {
      record.lastBadAt = this.#now();
    } else {
      this.#noteOk(record);
    }
    if (!failed) {
      const ms = this.#elapsed(attempt);
      attempt.baseline.add(ms);
      record.ewmaMs = ms * EWMA_WEIGHT + (record.ewmaMs ?? ms) * (1 - EWMA_WEIGHT);
    }
  }

  #noteOk(record: TargetRecord): void {
    const now = this.#now();
    record.okTimes.push(now);
    while ((record.okTimes[0] ?? now) < now - RECENT_MS) {
      record.okTimes.shift();
    }
  }

  #isSlow(attempt: InFlight): boolean {
    const median = attempt.baseline.median;
    if (median === undefined) {
      return false;
    }
    const { slowFactor, slowMinMs } = attempt.rule;
    return this.#elapsed(attempt) > Math.max(median * slowFactor, median + slowMinMs);
  }

  /** Time the attempt has taken, less the time this process itself stood still. */
  #elapsed(attempt: InFlight): number {
    return this.#now() - attempt.startedAt - (this.#stallMs() - attempt.stallAtStart);
  }

  #evidenceOf(target: TargetId, record: TargetRecord): Evidence {
    const now = this.#now();
    const lastBadAgeMs = now - record.lastBadAt;
    const fresh = lastBadAgeMs < EVIDENCE_TTL_MS;
    return {
      target,
      failureScore: fresh ? record.failures.value : 0,
      lateScore: fresh ? record.lateness.value : 0,
      recentOk: record.okTimes.filter((at) => at >= now - RECENT_MS).length,
      lastBadAgeMs: fresh ? lastBadAgeMs : EVIDENCE_TTL_MS,
    };
  }

  #bad(target: TargetId): TargetRecord {
    const record = this.#record(target);
    record.lastBadAt = this.#now();
    return record;
  }

  #record(target: TargetId): TargetRecord {
    let record = this.#records.get(target);
    if (!record) {
      record = new TargetRecord();
      this.#records.set(target, record);
    }
    return record;
  }

  #baseline(key: string): LatencyBaseline {
    let baseline = this.#baselines.get(key);
    if (!baseline) {
      baseline = new LatencyBaseline();
      this.#baselines.set(key, baseline);
    }
    return baseline;
  }
}
