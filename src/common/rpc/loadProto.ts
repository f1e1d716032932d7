import { existsSync } from "node:fs";
import { fileURLToPath } from "node:url";
import * as grpc from "@grpc/grpc-js";
import * as protoLoader from "@grpc/proto-loader";

/** The .proto files of the repository, and the gRPC package that each defines. */
const FILES = {
  /** Messages between members, and from sidecars and the CLI to control; fields keep their proto names. */
  v1: { file: "burdockpass.proto", path: ["burdockpass", "v1"], keepCase: true },
  /** Messages between control replicas; fields are in camel case, as in `ReplicaProto`. */
  replica: { file: "replica.proto", path: ["burdockpass", "replica", "v1"], keepCase: false },
} as const;

const loaded = new Map<string, grpc.GrpcObject>();

/** Returns a gRPC package of burdockpass, loaded from its .proto file on first use. */
export function loadProto(name: keyof typeof FILES = "v1"): grpc.GrpcObject {
  let pkg = loaded.get(name);
  if (!pkg) {
    const { file, path, keepCase } = FILES[name];
    const options = { keepCase, longs: Number, defaults: true, arrays: true };
    const def = protoLoader.loadSync(protoPath(file), options);
    pkg = path.reduce(
      (scope, part) => scope[part] as grpc.GrpcObject,
      grpc.loadPackageDefinition(def),
    );
    loaded.set(name, pkg);
  }
  return pkg;
}

/** Compiled programs have the .proto files next to them; when run from source, they are at the repository's root. */
function protoPath(file: string): string {
  const bundled = fileURLToPath(new URL(`./proto/${file}`, import.meta.url));
  return existsSync(bundled)
    ? bundled
    : fileURLToPath(new URL(`../../../proto/${file}`, import.meta.url));
}
