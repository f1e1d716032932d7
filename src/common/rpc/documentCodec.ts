import { deflateSync, inflateSync } from "node:zlib";
import type { DocumentEdit } from "../document/DocumentEdit.ts";
import type { DocumentUpdate } from "../document/DocumentUpdate.ts";
import type { OperatorDocument } from "../document/OperatorDocument.ts";
import type { ProtoTypes } from "./ProtoTypes.ts";

type ConfigVersion = ProtoTypes["ConfigVersion"];

/** Length below which JSON is sent uncompressed, characters: it shrinks by too little to be worth the processor time. */
const MIN_PACKED_LENGTH = 256;

/**
 * Maximum length of a decompressed text, bytes, so that a faulty message cannot fill a sidecar's memory. A document of the
 * size planned for in two years has 60 MB.
 */
const MAX_UNPACKED_BYTES = 128 * 1024 * 1024;

const EMPTY: ConfigVersion = {
  version: 0,
  document: "",
  base: 0,
  edit: "",
  more: false,
  age: 0,
  packed: Buffer.alloc(0),
};

/** Messages by the update that they encode: as text, and compressed. All receivers of an update are sent the same one. */
const texts = new WeakMap<DocumentUpdate, ConfigVersion>();
const packed = new WeakMap<DocumentUpdate, ConfigVersion>();

/**
 * Encodes and decodes document versions as the messages of `proto/burdockpass.proto`.
 * Documents that control has accepted are not validated again: a sidecar takes 1 ms to
 * parse 350 routes as JSON, and about 60 ms to parse them as YAML and validate them.
 */
export const documentCodec = {
  /** Encodes `update`, compressed if the receiver accepts that; each form is made once for all receivers. */
  encode: (update: DocumentUpdate, acceptsPacked = false): ConfigVersion =>
    acceptsPacked ? remember(packed, update, pack) : remember(texts, update, encodeText),

  /**
   * The message that shows a follower that its watch is alive, with the replica's version and an upper bound of its age,
   * ms.
   */
  heartbeat: (version: number, ageMs: number | undefined): ConfigVersion => ({
    ...EMPTY,
    version,
    age: ageMs === undefined ? 0 : Math.ceil(ageMs) + 1,
  }),

  /** Upper bound of the age that a heartbeat states, ms; undefined if it states none. */
  heartbeatAgeMs: ({ age }: ConfigVersion): number | undefined => (age > 0 ? age - 1 : undefined),

  isHeartbeat: ({ document, edit, packed }: ConfigVersion): boolean =>
    document === "" && edit === "" && packed.length === 0,

  /** Throws an error if the content is not JSON, or not compressed JSON. */
  decode: (message: ConfigVersion): DocumentUpdate => {
    const { version, base } = message;
    const { document, edit } = message.packed.length > 0 ? unpack(message) : message;
    return document !== ""
      ? { kind: "whole", version, document: JSON.parse(document) as OperatorDocument }
      : { kind: "edit", base, version, edit: JSON.parse(edit) as DocumentEdit };
  },
};

function remember(
  known: WeakMap<DocumentUpdate, ConfigVersion>,
  update: DocumentUpdate,
  make: (update: DocumentUpdate) => ConfigVersion,
): ConfigVersion {
  const message = known.get(update) ?? make(update);
  known.set(update, message);
  return message;
}

function encodeText(update: DocumentUpdate): ConfigVersion {
  const { version } = update;
  return update.kind === "whole"
    ? { ...EMPTY, version, document: JSON.stringify(update.document) }
    : { ...EMPTY, version, base: update.base, edit: JSON.stringify(update.edit) };
}

/** The compressed form; the text if that is short, or an edit of version 0, which would be read as a document. */
function pack(update: DocumentUpdate): ConfigVersion {
  const message = encodeText(update);
  const text = message.document + message.edit;
  const isAmbiguous = update.kind === "edit" && update.base === 0;
  return isAmbiguous || text.length < MIN_PACKED_LENGTH
    ? message
    : { ...message, document: "", edit: "", packed: deflateSync(text) };
}

function unpack({ packed, base }: ConfigVersion): Pick<ConfigVersion, "document" | "edit"> {
  const text = inflateSync(packed, { maxOutputLength: MAX_UNPACKED_BYTES }).toString();
  return base === 0 ? { document: text, edit: "" } : { document: "", edit: text };
}
