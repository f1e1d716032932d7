import { appendFileSync } from "node:fs";

/** A step in a stand-in target's handling of a request. */
type WorkEvent = "arrived" | "ran" | "failed" | "shed" | "crashed";

/**
 * Records every request that reached a stand-in target and how the target handled it, from the
 * target's own view: one JSON line per event, written before the response.
 */
export class WorkJournal {
  readonly #file: string | undefined;
  readonly #targetFields: { readonly target: string; readonly service: string };

  /** @param file path of the journal; undefined to write none */
  constructor(file: string | undefined, targetFields: { target: string; service: string }) {
    this.#file = file;
    this.#targetFields = targetFields;
  }

  /** @param attempt the value of the echoed header, which finds the request in the sidecars' logs */
  record(tag: string, event: WorkEvent, attempt?: string | string[]): void {
    if (this.#file !== undefined) {
      const line = { at: Date.now(), ...this.#targetFields, tag, event, attempt };
      appendFileSync(this.#file, `${JSON.stringify(line)}\n`);
    }
  }
}
