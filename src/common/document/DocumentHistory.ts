import type { DocumentUpdate } from "./DocumentUpdate.ts";
import { editDocument } from "./editDocument.ts";
import { EMPTY_DOCUMENT } from "./EMPTY_DOCUMENT.ts";
import type { OperatorDocument } from "./OperatorDocument.ts";

/**
 * Number of edits kept for peers that lag behind: the last ten minutes' at the 31,000
 * changes a day of the size planned for in two years. A peer that is further behind is
 * sent the whole document.
 */
const MAX_KEPT_EDITS = 256;

type Edit = Extract<DocumentUpdate, { kind: "edit" }>;

/** The current document, and its most recent edits for peers that lag slightly behind. */
export class DocumentHistory {
  #version = 0;
  #document = EMPTY_DOCUMENT;
  /** The current version as a whole document; made on first use. */
  #whole: DocumentUpdate | undefined;
  readonly #edits: Edit[] = [];

  /** Current version; 0 before any document has been accepted. */
  get version(): number {
    return this.#version;
  }

  get document(): OperatorDocument {
    return this.#document;
  }

  /**
   * Applies a newer version. Returns `stale` for one that is not newer, and `gap` for
   * an edit whose base is not the current version: the whole document is needed then.
   */
  apply(update: DocumentUpdate): "taken" | "stale" | "gap" {
    if (update.version <= this.#version) {
      return "stale";
    }
    if (update.kind === "whole") {
      this.#edits.length = 0;
      this.#document = update.document;
    } else if (update.base === this.#version) {
      this.#document = editDocument(this.#document, update.edit);
      this.#edits.push(update);
      this.#edits.splice(0, this.#edits.length - MAX_KEPT_EDITS);
    } else {
      return "gap";
    }
    this.#version = update.version;
    this.#whole = undefined;
    return "taken";
  }

  /**
   * Updates, in order, that bring a peer from `version` to the current version; empty when it is up to date. A peer
   * without a document gets the whole one: the edits since the first are longer, and it would index each version.
   */
  updatesSince(version: number): readonly DocumentUpdate[] {
    if (version >= this.#version) {
      return [];
    }
    if (version === 0) {
      return [this.whole];
    }
    const from = this.#edits.findIndex((e) => e.base === version);
    return from >= 0 ? this.#edits.slice(from) : [this.whole];
  }

  /** The current version as a whole document. */
  get whole(): DocumentUpdate {
    this.#whole ??= { kind: "whole", version: this.#version, document: this.#document };
    return this.#whole;
  }
}
