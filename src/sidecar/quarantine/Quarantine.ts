import type bunyan from "bunyan";
import type { RequestFingerprint } from "../../common/ids/RequestFingerprint.ts";
import type { Clock } from "../../common/lifecycle/Clock.ts";
import type { CrashEvidence } from "../../membership/evidence/CrashEvidence.ts";
import type { EvidenceStore } from "../../membership/evidence/EvidenceStore.ts";
import type { Assessment } from "./Assessment.ts";
import { assessSuspects } from "./assessSuspects.ts";
import type { QuarantineEvent } from "./QuarantineEvent.ts";

/** Interval at which suspicions are assessed again without new evidence, ms: they lapse with time. */
const REASSESS_INTERVAL_MS = 30_000;

interface QuarantineDeps {
  readonly store: EvidenceStore;
  /** Adds evidence to the store and spreads it. */
  readonly spread: (evidence: CrashEvidence) => void;
  readonly clock: Clock;
  readonly log: bunyan;
  readonly onEvent?: (event: QuarantineEvent) => void;
}

/**
 * Keeps requests that crash every target that runs them (queries of death) away from the targets. Its evidence is shared
 * by all sidecars: runs that were in progress when a target's process ended. A completed run refutes it.
 */
export class Quarantine {
  readonly #deps: QuarantineDeps;
  #assessments = new Map<RequestFingerprint, Assessment>();
  #assessedAt = -Infinity;
  readonly #onBlocked = new Set<(fingerprint: RequestFingerprint) => void>();

  constructor(deps: QuarantineDeps) {
    this.#deps = deps;
    deps.store.onAdded((evidence) => {
      this.#assess(evidence);
    });
  }

  /** Whether any request is under suspicion; if not, fingerprints need not be computed. */
  get isActive(): boolean {
    const isDue = this.#deps.clock.now() - this.#assessedAt >= REASSESS_INTERVAL_MS;
    if (this.#assessments.size > 0 && isDue) {
      this.#assessAll();
    }
    return this.#assessments.size > 0;
  }

  /** Calls `listener` with the fingerprint of each request that becomes blocked. */
  onBlocked(listener: (fingerprint: RequestFingerprint) => void): void {
    this.#onBlocked.add(listener);
  }

  /** Number of independent crashes of a request; 0 if it is under no suspicion. */
  crashesOf(fingerprint: RequestFingerprint): number {
    return this.#assessments.get(fingerprint)?.crashes ?? 0;
  }

  /** The assessment of a request that is blocked now; undefined if it is not. */
  blockOf(fingerprint: RequestFingerprint): Assessment | undefined {
    const assessment = this.#assessments.get(fingerprint);
    return assessment && this.#isBlocked(assessment) ? assessment : undefined;
  }

  /** Time until a blocked request may be tried again, ms. */
  remainingMs({ blockedUntil }: Assessment): number {
    return Math.max(0, (blockedUntil ?? 0) - this.#deps.clock.now());
  }

  /** Records a request that was refused because it is blocked. */
  noteRefused(attempt: string, { fingerprint, crashes, request }: Assessment): void {
    this.#deps.log.info({ attempt, fingerprint, request, crashes }, "request refused: quarantined");
    this.#deps.onEvent?.("refused");
  }

  /** Records a run that was in progress when its target's process ended. */
  recordCrash(crash: Omit<Extract<CrashEvidence, { kind: "crash" }>, "kind" | "at">): void {
    this.#deps.spread({ kind: "crash", ...crash, at: this.#deps.clock.now() });
  }

  /** Records a run that has completed: the request does not crash every target. */
  recordCompletion(fingerprint: RequestFingerprint): void {
    if (this.#assessments.has(fingerprint)) {
      this.#clear(fingerprint, "completion");
    }
  }

  /** Lifts a suspicion on behalf of an operator; false if there is none. */
  release(fingerprint: RequestFingerprint): boolean {
    const isKnown = this.#assessments.has(fingerprint);
    if (isKnown) {
      this.#clear(fingerprint, "operator");
    }
    return isKnown;
  }

  /** All suspects, for `/status`. */
  describe(): (Omit<Assessment, "blockedUntil"> & { state: string; remainingS: number })[] {
    return [...this.#assessments.values()].map(({ blockedUntil, ...assessment }) => {
      const remainingS = Math.round(this.remainingMs({ ...assessment, blockedUntil }) / 1000);
      const state = remainingS > 0 ? "blocked" : blockedUntil === undefined ? "suspect" : "trial";
      return { ...assessment, state, remainingS };
    });
  }

  #clear(fingerprint: RequestFingerprint, by: "completion" | "operator"): void {
    this.#deps.spread({ kind: "clearance", fingerprint, by, at: this.#deps.clock.now() });
  }

  #assess(evidence: CrashEvidence): void {
    const { log, onEvent } = this.#deps;
    const before = this.#assessments;
    this.#assessAll();
    const { fingerprint } = evidence;
    if (evidence.kind === "clearance" && before.has(fingerprint)) {
      log.info({ fingerprint, by: evidence.by }, "suspicion lifted");
      onEvent?.("lifted");
    }
    if (evidence.kind === "crash") {
      const { crashes } = this.#assessments.get(fingerprint) ?? { crashes: 0 };
      const { service, request, target, at, startedAt } = evidence;
      const ranMs = Math.round(at - startedAt);
      log.info({ fingerprint, service, request, target, ranMs, crashes }, "request suspected");
      onEvent?.("suspected");
    }
    for (const assessment of this.#assessments.values()) {
      const known = before.get(assessment.fingerprint);
      if (this.#isBlocked(assessment) && !(known && this.#isBlocked(known))) {
        this.#reportBlock(assessment);
      }
    }
  }

  #assessAll(): void {
    const { store, clock } = this.#deps;
    this.#assessedAt = clock.now();
    this.#assessments = assessSuspects(store.suspects(), this.#assessedAt);
  }

  #reportBlock(assessment: Assessment): void {
    const { fingerprint, service, request, crashes } = assessment;
    const forS = Math.round(this.remainingMs(assessment) / 1000);
    this.#deps.log.warn({ fingerprint, service, request, crashes, forS }, "request quarantined");
    this.#deps.onEvent?.("blocked");
    this.#onBlocked.forEach((listener) => {
      listener(fingerprint);
    });
  }

  #isBlocked({ blockedUntil }: Assessment): boolean {
    return blockedUntil !== undefined && this.#deps.clock.now() < blockedUntil;
  }
}
