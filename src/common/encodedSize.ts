import { fileURLToPath } from "node:url";
import protobuf from "protobufjs";

const PROTO_PATH = fileURLToPath(new URL("../../proto/burdockpass.proto", import.meta.url));

let root: protobuf.Root | undefined;

/**
 * Bytes that `message` takes on the wire as the protobuf type `typeName`
 * (such as `burdockpass.v1.Digest`), for the traffic metrics. gRPC adds 5
 * bytes of framing per message and HTTP/2 a few more, not counted here.
 */
export function encodedSize(typeName: string, message: object): number {
  root ??= protobuf.loadSync(PROTO_PATH);
  const type = root.lookupType(typeName);
  return type.encode(type.fromObject(message)).finish().length;
}
