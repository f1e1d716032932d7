import type { Clock } from "../../common/lifecycle/Clock.ts";
import { Disposable } from "../../common/lifecycle/Disposable.ts";
import { every } from "../../common/lifecycle/every.ts";
import type { DocumentFreshness } from "./DocumentFreshness.ts";

/** Interval at which the document is confirmed while requests depend on that, ms. */
const INTERVAL_MS = 1000;

/** Time without a reply after which the next member is asked, ms; a round trip between zones takes 3. */
const STAGGER_MS = 40;

/** Time after which a round without success ends, ms; a request may wait that long. */
const ROUND_MS = 300;

/** Time after a round without success in which requests do not wait for another one, ms. */
const RETRY_MS = 500;

interface DocumentConfirmerDeps {
  readonly freshness: DocumentFreshness;
  /** Asks the member at `address` for a confirmation, which is recorded in `freshness`; rejects without a reply. */
  readonly ask: (address: string) => Promise<unknown>;
  /** Members that may confirm the document, in the order in which they are to be asked. */
  readonly members: () => readonly string[];
  /** Whether requests depend on the age of the document. */
  readonly isNeeded: () => boolean;
  readonly clock: Clock;
}

/**
 * Has the document in force confirmed: regularly while requests depend on its age, and at once for a request that needs
 * a more recent confirmation. Control replicas are asked first, each of which can tell the age of its own document;
 * other sidecars pass on the confirmations that they have, for when no replica can be reached from here.
 */
export class DocumentConfirmer extends Disposable {
  readonly #deps: DocumentConfirmerDeps;
  /** The round in progress. */
  #round: Promise<void> | undefined;
  #failedAt = -Infinity;

  constructor(deps: DocumentConfirmerDeps) {
    super();
    this.#deps = deps;
  }

  /** Starts to confirm the document regularly, until disposed. */
  start(): void {
    this.register(
      every(INTERVAL_MS, () => {
        const { isNeeded, freshness } = this.#deps;
        if (isNeeded() && freshness.ageMs > INTERVAL_MS / 2) {
          void this.#confirm(INTERVAL_MS);
        }
      }),
    );
  }

  /** Resolves to whether the document in force is at most `maxAgeMs` old, after having it confirmed if need be. */
  async ensure(maxAgeMs: number): Promise<boolean> {
    const { freshness, clock } = this.#deps;
    if (freshness.ageMs > maxAgeMs && clock.now() - this.#failedAt >= RETRY_MS) {
      await this.#confirm(maxAgeMs);
    }
    return freshness.ageMs <= maxAgeMs;
  }

  async #confirm(maxAgeMs: number): Promise<void> {
    this.#round ??= this.#askAll(maxAgeMs).finally(() => {
      this.#round = undefined;
    });
    await this.#round;
  }

  /** Asks one member after the other until the document is confirmed, or the time for a round has passed. */
  #askAll(maxAgeMs: number): Promise<void> {
    const { freshness, ask, members, clock } = this.#deps;
    const left = [...members()];
    return new Promise((resolve) => {
      const end = (isConfirmed: boolean) => {
        stopListening();
        stagger.cancel();
        limit.cancel();
        this.#failedAt = isConfirmed ? -Infinity : clock.now();
        resolve();
      };
      const stopListening = freshness.onConfirmed(() => {
        if (freshness.ageMs <= maxAgeMs) {
          end(true);
        }
      });
      const limit = clock.timeout(ROUND_MS, () => {
        end(freshness.ageMs <= maxAgeMs);
      });
      const askNext = () => {
        const next = left.shift();
        if (next === undefined) {
          return;
        }
        // A member that does not reply is passed over; others are asked meanwhile.
        ask(next).catch(() => undefined);
        stagger = clock.after(STAGGER_MS, askNext);
      };
      let stagger = clock.after(0, askNext);
    });
  }
}
