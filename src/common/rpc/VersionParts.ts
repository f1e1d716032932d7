import type { ProtoTypes } from "./ProtoTypes.ts";

type ConfigVersion = ProtoTypes["ConfigVersion"];

/** Joins the parts that {@link splitVersion} made of versions, as they arrive. */
export class VersionParts {
  #documents: string[] = [];
  #edits: string[] = [];

  /** Takes a part; returns the whole version with its last one. */
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
