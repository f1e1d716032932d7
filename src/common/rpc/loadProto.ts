import * as grpc from "@grpc/grpc-js";
import { BURDOCKPASS_SCHEMA } from "./proto/BURDOCKPASS_SCHEMA.ts";
import { MessageCodec } from "./proto/MessageCodec.ts";
import type { ProtoSchema } from "./proto/ProtoSchema.ts";
import { REPLICA_SCHEMA } from "./proto/REPLICA_SCHEMA.ts";

/** The gRPC packages of burdockpass: of all members, and of the control replicas among themselves. */
const SCHEMAS = { v1: BURDOCKPASS_SCHEMA, replica: REPLICA_SCHEMA } as const;

/** The services of each package. */
interface Packages {
  readonly v1: Readonly<Record<"Control" | "Peer", grpc.ServiceClientConstructor>>;
  readonly replica: Readonly<Record<"Replica", grpc.ServiceClientConstructor>>;
}

const loaded = new Map<string, Packages[keyof Packages]>();

/** Returns the services of a gRPC package, by name. */
export function loadProto<K extends keyof Packages = "v1">(name = "v1" as K): Packages[K] {
  let pkg = loaded.get(name) as Packages[K] | undefined;
  if (!pkg) {
    pkg = createPackage(SCHEMAS[name]) as Packages[K];
    loaded.set(name, pkg);
  }
  return pkg;
}

function createPackage(schema: ProtoSchema): Record<string, grpc.ServiceClientConstructor> {
  const codec = new MessageCodec(schema);
  const services = Object.entries(schema.services).map(([service, methods]) => {
    const definition = Object.fromEntries(
      methods.map((method) => [
        method.name,
        methodDefinition(codec, `${schema.package}.${service}`, method),
      ]),
    );
    return [service, grpc.makeGenericClientConstructor(definition, service)] as const;
  });
  return Object.fromEntries(services);
}

function methodDefinition(
  codec: MessageCodec,
  service: string,
  { name, request, response, streamsResponse }: ProtoSchema["services"][string][number],
): grpc.MethodDefinition<object, object> {
  return {
    path: `/${service}/${name}`,
    requestStream: false,
    responseStream: streamsResponse,
    requestSerialize: (message) => codec.encode(request, message),
    requestDeserialize: (bytes) => codec.decode(request, bytes),
    responseSerialize: (message) => codec.encode(response, message),
    responseDeserialize: (bytes) => codec.decode(response, bytes),
  };
}
