import type { ProtoTypes } from "./ProtoTypes.ts";

type ConfigVersion = ProtoTypes["ConfigVersion"];

/** Joins the parts of a document version, made by {@link splitVersion}, as they arrive. */
export class VersionJoiner {
  #parts: ConfigVersion[] = [];

  /** Adds the next part; returns the whole version once its last part was added. */
  add(part: ConfigVersion): ConfigVersion | undefined {
    this.#parts.push(part);
    if (part.more) {
      return undefined;
    }
    const parts = this.#parts;
    this.#parts = [];
    return {
      ...part,
      document: parts.map((p) => p.document).join(""),
      edit: parts.map((p) => p.edit).join(""),
      packed: Buffer.concat(parts.map((p) => p.packed)),
    };
  }
}
