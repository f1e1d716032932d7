import { fileURLToPath } from "node:url";
import * as grpc from "@grpc/grpc-js";
import * as protoLoader from "@grpc/proto-loader";

/** The committed .proto files, by the gRPC package that each defines. */
const FILES = {
  /** Between sidecars, and from sidecars and the CLI to control; fields keep their proto names. */
  v1: { file: "burdockpass.proto", path: ["burdockpass", "v1"], keepCase: true },
  /** Between control replicas; fields in camel case, as in `ReplicaMessages`. */
  replica: { file: "replica.proto", path: ["burdockpass", "replica", "v1"], keepCase: false },
} as const;

/** A gRPC package of ours, loaded from its committed .proto at run time. */
export function loadProto(name: keyof typeof FILES = "v1"): grpc.GrpcObject {
  const { file, path, keepCase } = FILES[name];
  const def = protoLoader.loadSync(
    fileURLToPath(new URL(`../../../proto/${file}`, import.meta.url)),
    {
      keepCase,
      longs: Number,
      defaults: true,
      arrays: true,
    },
  );
  return path.reduce((pkg, part) => pkg[part] as grpc.GrpcObject, grpc.loadPackageDefinition(def));
}
