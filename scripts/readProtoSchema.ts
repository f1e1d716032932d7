import { readFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import protobuf from "protobufjs";
import type { FieldSchema, ProtoSchema } from "../src/common/rpc/proto/ProtoSchema.ts";

/** The .proto files of the repository, and the constants that hold their schemas. */
export const PROTO_FILES = [
  /** Messages between members, and from sidecars and the CLI to control; fields keep their names. */
  { name: "burdockpass.proto", constant: "BURDOCKPASS_SCHEMA", keepCase: true },
  /** Messages between control replicas; fields are in camel case, as in `ReplicaProto`. */
  { name: "replica.proto", constant: "REPLICA_SCHEMA", keepCase: false },
] as const;

/** Parses a .proto file into a schema. */
export function readProtoSchema({
  name,
  keepCase,
}: Pick<(typeof PROTO_FILES)[number], "name" | "keepCase">): ProtoSchema {
  const path = fileURLToPath(new URL(`../proto/${name}`, import.meta.url));
  const { package: packageName, root } = protobuf.parse(readFileSync(path, "utf8"), { keepCase });
  const nested = root.lookup(packageName ?? "") as protobuf.Namespace;
  const types = nested.nestedArray.filter((n) => n instanceof protobuf.Type);
  const services = nested.nestedArray.filter((n) => n instanceof protobuf.Service);
  return {
    package: packageName ?? "",
    messages: Object.fromEntries(types.map((t) => [t.name, t.fieldsArray.map(schemaOfField)])),
    services: Object.fromEntries(services.map((s) => [s.name, s.methodsArray.map(schemaOfMethod)])),
  };
}

function schemaOfField(field: protobuf.Field): FieldSchema {
  const { name, id, type, repeated } = field;
  const keyType = field instanceof protobuf.MapField ? field.keyType : undefined;
  return { name, id, type, ...(repeated && { repeated }), ...(keyType && { keyType }) };
}

function schemaOfMethod({ name, requestType, responseType, responseStream }: protobuf.Method) {
  return {
    name,
    request: requestType,
    response: responseType,
    streamsResponse: responseStream ?? false,
  };
}
