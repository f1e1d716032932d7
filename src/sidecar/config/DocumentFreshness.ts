interface DocumentFreshnessDeps {
  /** The latest version that this sidecar has received. */
  readonly version: () => number;
  /** Clock by which confirmations age, ms; see ElapsedClock. */
  readonly elapsed: () => number;
}

/** A confirmation of a version that was not received yet. */
interface PendingConfirmation {
  readonly version: number;
  readonly at: number;
}

/** Knows until when the document received last is certain to have been the current one. */
export class DocumentFreshness {
  readonly #deps: DocumentFreshnessDeps;
  #confirmedAt = -Infinity;
  #pending: PendingConfirmation | undefined;
  readonly #listeners = new Set<() => void>();

  constructor(deps: DocumentFreshnessDeps) {
    this.#deps = deps;
  }

  /** Upper bound of the age of the document received last, ms: it includes every change that was acknowledged longer ago. */
  get ageMs(): number {
    return this.#deps.elapsed() - this.#confirmedAt;
  }

  /** Whether a version is known to exist that is newer than the one received last. */
  get isOutdated(): boolean {
    return this.#pending !== undefined;
  }

  /** Records that no change after `version` had been acknowledged at `at`, by the clock of confirmations, ms. */
  confirm(version: number, at: number): void {
    if (version > this.#deps.version()) {
      if (at > (this.#pending?.at ?? -Infinity)) {
        this.#pending = { version, at };
      }
    } else if (at > this.#confirmedAt) {
      this.#confirmedAt = at;
      this.#listeners.forEach((listener) => {
        listener();
      });
    }
  }

  /** Applies a pending confirmation, as another version was received. */
  onVersionChange(): void {
    const pending = this.#pending;
    if (pending && pending.version <= this.#deps.version()) {
      this.#pending = undefined;
      this.confirm(pending.version, pending.at);
    }
  }

  /** Calls `listener` after each confirmation of the version received last; returns the function that stops that. */
  onConfirmed(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }
}
