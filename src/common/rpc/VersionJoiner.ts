import type { ProtoTypes } from "./ProtoTypes.ts";

type ConfigVersion = ProtoTypes["ConfigVersion"];

/** Joins the parts of a document version, made by {@link splitVersion}, as they arrive. */
export class VersionJoiner {
  #documents: string[] = [];
  #edits: string[] = [];

  /** Adds the next part; returns the whole version once its last part was added. */
  add(part: ConfigVersion): ConfigVersion | undefined {
    this.#documents.push(part.document);
    this.#edits.push(part.edit);
    if (part.more) {
      return undefined;
    }
    const whole = { ...part, document: this.#documents.join(""), edit: this.#edits.join("") };
    this.#documents = [];
    this.#edits = [];
    return whole;
  }
}
