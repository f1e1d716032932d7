import type { ProtoTypes } from "./ProtoTypes.ts";

type ConfigVersion = ProtoTypes["ConfigVersion"];

/** Maximum length of a version, characters or compressed bytes. Documents have some hundred KB; a sidecar may use 250 MB of memory. */
const MAX_LENGTH = 32 << 20;

/** Joins the parts of a document version, made by {@link splitVersion}, as they arrive. */
export class VersionJoiner {
  #parts: ConfigVersion[] = [];
  #length = 0;

  /** Adds the next part; returns the whole version once its last part was added. Throws if it is too long. */
  add(part: ConfigVersion): ConfigVersion | undefined {
    this.#length += part.document.length + part.edit.length + part.packed.length;
    if (this.#length > MAX_LENGTH) {
      throw new Error(`a version of the document exceeds ${MAX_LENGTH} characters or bytes`);
    }
    this.#parts.push(part);
    if (part.more) {
      return undefined;
    }
    const parts = this.#parts;
    this.#parts = [];
    this.#length = 0;
    return {
      ...part,
      document: parts.map((p) => p.document).join(""),
      edit: parts.map((p) => p.edit).join(""),
      packed: Buffer.concat(parts.map((p) => p.packed)),
    };
  }
}
