import { BURDOCKPASS_SCHEMA } from "./proto/BURDOCKPASS_SCHEMA.ts";
import { MessageCodec } from "./proto/MessageCodec.ts";
import type { ProtoTypes } from "./ProtoTypes.ts";

type Datagram = ProtoTypes["Datagram"];

const codec = new MessageCodec(BURDOCKPASS_SCHEMA);

/** Encodes and decodes datagrams, as defined in `proto/burdockpass.proto`. */
export const datagramCodec = {
  encode: (message: Datagram): Buffer => codec.encode("Datagram", message),

  /** Returns undefined for bytes that cannot be decoded as a datagram. */
  decode: (bytes: Buffer): Datagram | undefined => {
    try {
      return codec.decode("Datagram", bytes) as Datagram;
    } catch {
      return undefined;
    }
  },
};
