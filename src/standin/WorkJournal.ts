import { appendFileSync } from "node:fs";

/** What a stand-in did with a request. */
type WorkEvent = "arrived" | "ran" | "shed";

/** A stand-in's own word on every request that reached it, one JSON line each, written before the answer is. */
export class WorkJournal {
  readonly #file: string | undefined;
  readonly #about: { readonly target: string; readonly service: string };

  /** @param file where it is written; nowhere when undefined */
  constructor(file: string | undefined, about: { target: string; service: string }) {
    this.#file = file;
    this.#about = about;
  }

  note(tag: string, event: WorkEvent): void {
    if (this.#file !== undefined) {
      const line = { at: Date.now(), ...this.#about, tag, event };
      appendFileSync(this.#file, `${JSON.stringify(line)}\n`);
    }
  }
}
