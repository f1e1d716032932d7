import type { RequestFingerprint } from "../../common/ids/RequestFingerprint.ts";
import type { Clock } from "../../common/lifecycle/Clock.ts";
import type { Clearance, Crash, CrashEvidence } from "./CrashEvidence.ts";
import { evidenceKey } from "./evidenceKey.ts";

/** Time for which evidence is kept, ms: twice as long as a request may be blocked. */
const RETENTION_MS = 2 * 60 * 60_000;

/** Maximum number of crashes and of clearances that are kept, some 60 KB; the oldest are dropped first. */
const MAX_ENTRIES = 256;

/**
 * The crash evidence that this member knows, its own and that of others. Merging is commutative and idempotent, so all
 * members that have received the same evidence hold the same, in whatever order it came.
 */
export class EvidenceStore {
  readonly #clock: Clock;
  readonly #crashes = new Map<string, Crash>();
  readonly #clearances = new Map<RequestFingerprint, Clearance>();
  #listener: (evidence: CrashEvidence) => void = () => undefined;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Calls `listener` with each new piece of evidence from now on. */
  onAdded(listener: (evidence: CrashEvidence) => void): void {
    this.#listener = listener;
  }

  /** Merges a piece of evidence; false if it changes nothing. */
  add(evidence: CrashEvidence): boolean {
    const isNew =
      evidence.kind === "crash" ? this.#addCrash(evidence) : this.#addClearance(evidence);
    if (isNew) {
      this.#listener(evidence);
    }
    return isNew;
  }

  /** Whether there is any evidence. */
  get hasAny(): boolean {
    return this.#crashes.size + this.#clearances.size > 0;
  }

  /** Whether any request is under suspicion. */
  get hasSuspects(): boolean {
    return this.#crashes.size > 0;
  }

  /** The crashes that count, by request. */
  suspects(): Map<RequestFingerprint, Crash[]> {
    this.#removeExpired();
    const suspects = new Map<RequestFingerprint, Crash[]>();
    for (const crash of this.#crashes.values()) {
      suspects.set(crash.fingerprint, [...(suspects.get(crash.fingerprint) ?? []), crash]);
    }
    return suspects;
  }

  /** The piece of evidence with this key: see {@link evidenceKey}. */
  get(key: string): CrashEvidence | undefined {
    return this.#crashes.get(key) ?? this.#clearances.get(key as RequestFingerprint);
  }

  /** All evidence. */
  all(): CrashEvidence[] {
    this.#removeExpired();
    return [...this.#crashes.values(), ...this.#clearances.values()];
  }

  #addCrash(crash: Crash): boolean {
    const key = evidenceKey(crash);
    const clearedAt = this.#clearances.get(crash.fingerprint)?.at ?? -Infinity;
    if (this.#crashes.has(key) || crash.at <= clearedAt || this.#isExpired(crash)) {
      return false;
    }
    this.#crashes.set(key, crash);
    dropOldest(this.#crashes);
    return true;
  }

  #addClearance(clearance: Clearance): boolean {
    const { fingerprint, at } = clearance;
    const known = this.#clearances.get(fingerprint);
    const voided = [...this.#crashes].filter(
      ([, c]) => c.fingerprint === fingerprint && c.at <= at,
    );
    // Copies differ in age by the time that they took. One that voids nothing here need not be spread again.
    if ((known && voided.length === 0) || this.#isExpired(clearance)) {
      return false;
    }
    voided.forEach(([key]) => this.#crashes.delete(key));
    this.#clearances.set(fingerprint, clearance);
    dropOldest(this.#clearances);
    return true;
  }

  #removeExpired(): void {
    for (const entries of [this.#crashes, this.#clearances]) {
      for (const [key, evidence] of entries) {
        if (this.#isExpired(evidence)) {
          (entries as Map<string, CrashEvidence>).delete(key);
        }
      }
    }
  }

  #isExpired({ at }: CrashEvidence): boolean {
    return at < this.#clock.now() - RETENTION_MS;
  }
}

function dropOldest(entries: Map<string, CrashEvidence>): void {
  if (entries.size > MAX_ENTRIES) {
    const [oldest] = [...entries].sort(([, a], [, b]) => a.at - b.at);
    entries.delete(oldest?.[0] ?? "");
  }
}
