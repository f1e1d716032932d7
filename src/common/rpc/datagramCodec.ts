import type * as grpc from "@grpc/grpc-js";
import { loadProto } from "./loadProto.ts";
import type { ProtoTypes } from "./ProtoTypes.ts";

type Datagram = ProtoTypes["Datagram"];

let sendMethod: grpc.MethodDefinition<Datagram, Datagram> | undefined;

/** The method definition whose serializers encode and decode datagrams, loaded on first use. */
function loadSendMethod(): grpc.MethodDefinition<Datagram, Datagram> {
  const { service } = loadProto().Datagrams as grpc.ServiceClientConstructor;
  sendMethod ??= service.Send as grpc.MethodDefinition<Datagram, Datagram>;
  return sendMethod;
}

/** Encodes and decodes datagrams, as defined in `proto/burdockpass.proto`. */
export const datagramCodec = {
  encode: (message: Datagram): Buffer => loadSendMethod().requestSerialize(message),

  /** Returns undefined for bytes that cannot be decoded as a datagram. */
  decode: (bytes: Buffer): Datagram | undefined => {
    try {
      return loadSendMethod().requestDeserialize(bytes);
    } catch {
      return undefined;
    }
  },
};
