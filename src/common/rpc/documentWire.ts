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
};

/**
 * Versions of the document to and from their form in `proto/burdockpass.proto`. What
 * control has accepted is not checked again: 350 routes cost a sidecar 1 ms to read
 * as JSON, and about 60 ms as YAML through the schema.
 */
export const documentWire = {
  encode: (update: DocumentUpdate): ProtoTypes["ConfigVersion"] =>
    update.kind === "whole"
      ? { ...EMPTY, version: update.version, document: JSON.stringify(update.document) }
      : {
          ...EMPTY,
          version: update.version,
          base: update.base,
          edit: JSON.stringify(update.edit),
        },

  /** What tells a follower that its watch is alive. */
  heartbeat: (version: number): ProtoTypes["ConfigVersion"] => ({ ...EMPTY, version }),

  isHeartbeat: ({ document, edit }: ProtoTypes["ConfigVersion"]): boolean =>
    document === "" && edit === "",

  decode: ({ version, document, base, edit }: ProtoTypes["ConfigVersion"]): DocumentUpdate =>
    document !== ""
      ? { kind: "whole", version, document: JSON.parse(document) as OperatorDocument }
      : { kind: "edit", base, version, edit: JSON.parse(edit) as DocumentEdit },
};
