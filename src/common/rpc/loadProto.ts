import { existsSync } from "node:fs";
import { fileURLToPath } from "node:url";
import * as grpc from "@grpc/grpc-js";
import * as protoLoader from "@grpc/proto-loader";

/** The committed .proto files, by the gRPC package that each defines. */
const FILES = {
  /** Between members, and from sidecars and the CLI to control; fields keep their proto names. */
  v1: { file: "burdockpass.proto", path: ["burdockpass", "v1"], keepCase: true },
  /** Between control replicas; fields in camel case, as in `ReplicaProto`. */
  replica: { file: "replica.proto", path: ["burdockpass", "replica", "v1"], keepCase: false },
} as const;

const loaded = new Map<string, grpc.GrpcObject>();

/** A gRPC package of ours, loaded from its committed .proto on first use. */
export function loadProto(name: keyof typeof FILES = "v1"): grpc.GrpcObject {
  let pkg = loaded.get(name);
  if (!pkg) {
    const { file, path, keepCase } = FILES[name];
    const options = { keepCase, longs: Number, defaults: true, arrays: true };
    const def = protoLoader.loadSync(protoPath(file), options);
    pkg = path.reduce((at, part) => at[part] as grpc.GrpcObject, grpc.loadPackageDefinition(def));
    loaded.set(name, pkg);
  }
  return pkg;
}

/** Compiled programs have the definitions beside them, the sources at the root of the repository. */
function protoPath(file: string): string {
  const beside = fileURLToPath(new URL(`./proto/${file}`, import.meta.url));
  return existsSync(beside)
    ? beside
    : fileURLToPath(new URL(`../../../proto/${file}`, import.meta.url));
}
