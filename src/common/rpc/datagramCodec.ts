import type * as grpc from "@grpc/grpc-js";
import { loadProto } from "./loadProto.ts";
import type { ProtoTypes } from "./ProtoTypes.ts";

type Datagram = ProtoTypes["Datagram"];

let method: grpc.MethodDefinition<Datagram, Datagram> | undefined;

/** The encoding of datagrams, loaded on first use. */
function definition(): grpc.MethodDefinition<Datagram, Datagram> {
  const { service } = loadProto().Datagrams as grpc.ServiceClientConstructor;
  method ??= service.Send as grpc.MethodDefinition<Datagram, Datagram>;
  return method;
}

/** Datagrams to and from bytes, by their definition in `proto/burdockpass.proto`. */
export const datagramCodec = {
  encode: (message: Datagram): Buffer => definition().requestSerialize(message),

  /** Undefined for bytes that are no datagram of ours. */
  decode: (bytes: Buffer): Datagram | undefined => {
    try {
      return definition().requestDeserialize(bytes);
    } catch {
      return undefined;
    }
  },
};
