import type { ProtoTypes } from "./ProtoTypes.ts";

type ConfigVersion = ProtoTypes["ConfigVersion"];

/** Maximum length of a version, characters. Documents have some hundred KB; a sidecar may use 250 MB of memory. */
const MAX_LENGTH = 32 << 20;

/** Joins the parts of a document version, made by {@link splitVersion}, as they arrive. */
export class VersionJoiner {
  #documents: string[] = [];
  #edits: string[] = [];
  #length = 0;

  /** Adds the next part; returns the whole version once its last part was added. Throws if it is too long. */
  add(part: ConfigVersion): ConfigVersion | undefined {
    this.#length += part.document.length + part.edit.length;
    if (this.#length > MAX_LENGTH) {
      throw new Error(`a version of the document exceeds ${MAX_LENGTH} characters`);
    }
    this.#documents.push(part.document);
    this.#edits.push(part.edit);
    if (part.more) {
      return undefined;
    }
    const whole = { ...part, document: this.#documents.join(""), edit: this.#edits.join("") };
    this.#length = 0;
    this.#documents = [];
    this.#edits = [];
    return whole;
  }
}
