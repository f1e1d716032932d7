import type { Clock } from "../../common/lifecycle/Clock.ts";
import { Disposable } from "../../common/lifecycle/Disposable.ts";
import type { DocumentFreshness } from "./DocumentFreshness.ts";

/**
 * Time after which a document that nobody confirms is acted on, ms. Control replicas that were killed together with the
 * sidecar have a leader within it. After it they are probably out of reach, as they may be for hours.
 */
const UNCONFIRMED_MS = 3000;

/** The same where a newer version is known to exist, ms: enough to receive it over a congested link. */
const OUTDATED_MS = 10_000;

/** Why a sidecar acts on the document from now on. */
type ActivationReason = "confirmed" | "unconfirmed";

interface DocumentActivationDeps {
  readonly freshness: Pick<DocumentFreshness, "ageMs" | "isOutdated" | "onConfirmed">;
  /** Age up to which the document of a sidecar that starts may decide about requests, ms. */
  readonly maxAgeMs: () => number;
  readonly onActive: (reason: ActivationReason) => void;
  readonly clock: Clock;
  /** Clock by which confirmations age, ms; see ElapsedClock. */
  readonly elapsed: () => number;
}

/**
 * Decides from when on a sidecar that has started acts on the document that it has received: once the document is known
 * to have been current when the sidecar started. What it receives first may be outdated: a version that it only passes
 * through, one of a member that is cut off, or its own from before a long stop.
 */
export class DocumentActivation extends Disposable {
  readonly #deps: DocumentActivationDeps;
  readonly #startedAt: number;
  #isActive = false;
  #hasDocument = false;

  constructor(deps: DocumentActivationDeps) {
    super();
    this.#deps = deps;
    this.#startedAt = deps.elapsed();
    const stopListening = deps.freshness.onConfirmed(() => {
      if (this.#wasCurrentAtStart) {
        this.#activate("confirmed");
      }
    });
    this.register({ dispose: stopListening });
  }

  /** Whether documents are acted on as soon as they are received. */
  get isActive(): boolean {
    return this.#isActive;
  }

  /** Notes that a document was received. */
  noteReceived(): void {
    if (this.#hasDocument || this.#isActive) {
      return;
    }
    this.#hasDocument = true;
    this.#activateAfter(UNCONFIRMED_MS, () => !this.#deps.freshness.isOutdated);
    this.#activateAfter(OUTDATED_MS, () => true);
  }

  get #wasCurrentAtStart(): boolean {
    const { freshness, maxAgeMs, elapsed } = this.#deps;
    return freshness.ageMs <= maxAgeMs() + elapsed() - this.#startedAt;
  }

  #activateAfter(ms: number, condition: () => boolean): void {
    const timer = this.#deps.clock.timeout(ms, () => {
      if (condition()) {
        this.#activate("unconfirmed");
      }
    });
    this.register({
      dispose: () => {
        timer.cancel();
      },
    });
  }

  #activate(reason: ActivationReason): void {
    if (!this.#isActive) {
      this.#isActive = true;
      this.#deps.onActive(reason);
    }
  }
}
