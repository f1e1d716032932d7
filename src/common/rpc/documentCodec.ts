import type { DocumentEdit } from "../document/DocumentEdit.ts";
import type { DocumentUpdate } from "../document/DocumentUpdate.ts";
import type { OperatorDocument } from "../document/OperatorDocument.ts";
import type { ProtoTypes } from "./ProtoTypes.ts";

const EMPTY: ProtoTypes["ConfigVersion"] = {
  version: 0,
  document: "",
  base: 0,
  edit: "",
  more: false,
  age: 0,
};

/**
 * Encodes and decodes document versions as the messages of `proto/burdockpass.proto`.
 * Documents that control has accepted are not validated again: a sidecar takes 1 ms to
 * parse 350 routes as JSON, and about 60 ms to parse them as YAML and validate them.
 */
export const documentCodec = {
  encode: (update: DocumentUpdate): ProtoTypes["ConfigVersion"] =>
    update.kind === "whole"
      ? { ...EMPTY, version: update.version, document: JSON.stringify(update.document) }
      : {
          ...EMPTY,
          version: update.version,
          base: update.base,
          edit: JSON.stringify(update.edit),
        },

  /**
   * The message that shows a follower that its watch is alive, with the replica's version and an upper bound of its age,
   * ms.
   */
  heartbeat: (version: number, ageMs: number | undefined): ProtoTypes["ConfigVersion"] => ({
    ...EMPTY,
    version,
    age: ageMs === undefined ? 0 : Math.ceil(ageMs) + 1,
  }),

  /** Upper bound of the age that a heartbeat states, ms; undefined if it states none. */
  heartbeatAgeMs: ({ age }: ProtoTypes["ConfigVersion"]): number | undefined =>
    age > 0 ? age - 1 : undefined,

  isHeartbeat: ({ document, edit }: ProtoTypes["ConfigVersion"]): boolean =>
    document === "" && edit === "",

  decode: ({ version, document, base, edit }: ProtoTypes["ConfigVersion"]): DocumentUpdate =>
    document !== ""
      ? { kind: "whole", version, document: JSON.parse(document) as OperatorDocument }
      : { kind: "edit", base, version, edit: JSON.parse(edit) as DocumentEdit },
};
