import type { RequestFingerprint } from "../../common/ids/RequestFingerprint.ts";

/** Lets one request of each suspect fingerprint proceed at a time; the others wait until it has its result. */
export class SuspectTurns {
  readonly #turns = new Map<RequestFingerprint, Promise<void>>();

  /**
   * Resolves when no other request with this fingerprint is in progress, with a function that must be called when this
   * one has its result.
   */
  async take(fingerprint: RequestFingerprint): Promise<() => void> {
    for (;;) {
      const current = this.#turns.get(fingerprint);
      if (!current) {
        return this.#begin(fingerprint);
      }
      await current;
    }
  }

  #begin(fingerprint: RequestFingerprint): () => void {
    let end: () => void = () => undefined;
    this.#turns.set(fingerprint, new Promise((resolve) => (end = resolve)));
    return () => {
      this.#turns.delete(fingerprint);
      end();
    };
  }
}
