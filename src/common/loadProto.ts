import { fileURLToPath } from "node:url";
import * as grpc from "@grpc/grpc-js";
import * as protoLoader from "@grpc/proto-loader";

const PROTO_PATH = fileURLToPath(new URL("../../proto/burdockpass.proto", import.meta.url));

/** The gRPC package `burdockpass.v1`, loaded from the committed .proto at run time. */
export function loadProto(): grpc.GrpcObject {
  const def = protoLoader.loadSync(PROTO_PATH, {
    keepCase: true,
    longs: Number,
    defaults: true,
    arrays: true,
  });
  const root = grpc.loadPackageDefinition(def);
  const pkg = (root.burdockpass as grpc.GrpcObject).v1;
  return pkg as grpc.GrpcObject;
}
