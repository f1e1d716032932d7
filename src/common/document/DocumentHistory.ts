import type { DocumentUpdate } from "./DocumentUpdate.ts";
import { editDocument } from "./editDocument.ts";
import { EMPTY_DOCUMENT } from "./EMPTY_DOCUMENT.ts";
import type { OperatorDocument } from "./OperatorDocument.ts";

/**
 * Edits kept to pass on: at the 31,000 changes a day of the two-year size, the last
 * ten minutes'. Whoever is further behind is sent the whole document.
 */
const KEPT_EDITS = 256;

type Edit = Extract<DocumentUpdate, { kind: "edit" }>;

/** The document in force, and its last few changes for those that are a little behind. */
export class DocumentHistory {
  #version = 0;
  #document = EMPTY_DOCUMENT;
  readonly #edits: Edit[] = [];

  /** Version in force; 0 before any. */
  get version(): number {
    return this.#version;
  }

  get document(): OperatorDocument {
    return this.#document;
  }

  /**
   * Takes in a newer version. `stale` for one that is not newer, `gap` for an edit
   * of a version that is not the one in force: the whole document is needed then.
   */
  take(update: DocumentUpdate): "taken" | "stale" | "gap" {
    if (update.version <= this.#version) {
      return "stale";
    }
    if (update.kind === "whole") {
      this.#edits.length = 0;
      this.#document = update.document;
    } else if (update.base === this.#version) {
      this.#document = editDocument(this.#document, update.edit);
      this.#edits.push(update);
      this.#edits.splice(0, this.#edits.length - KEPT_EDITS);
    } else {
      return "gap";
    }
    this.#version = update.version;
    return "taken";
  }

  /** What brings someone with `version` up to date, in order; nothing when it is. */
  since(version: number): readonly DocumentUpdate[] {
    if (version >= this.#version) {
      return [];
    }
    const from = this.#edits.findIndex((e) => e.base === version);
    return from >= 0 ? this.#edits.slice(from) : [this.whole];
  }

  /** The version in force as a whole. */
  get whole(): DocumentUpdate {
    return { kind: "whole", version: this.#version, document: this.#document };
  }
}
