import type * as grpc from "@grpc/grpc-js";
import { documentCodec } from "../common/rpc/documentCodec.ts";
import type { ProtoTypes } from "../common/rpc/ProtoTypes.ts";
import type { ConfigSource } from "./ConfigSource.ts";
import type { Membership } from "./Membership.ts";

/** The gRPC handlers that exchange whole membership views and serve the configuration document in force. */
export function peerHandlers(
  membership: Membership,
  source: Pick<ConfigSource, "since">,
): grpc.UntypedServiceImplementation {
  const sync: grpc.handleUnaryCall<ProtoTypes["Members"], ProtoTypes["Members"]> = (call, cb) => {
    cb(null, membership.onSync(call.request));
  };
  const config: grpc.handleUnaryCall<ProtoTypes["WatchRequest"], ProtoTypes["ConfigVersions"]> = (
    call,
    cb,
  ) => {
    const { have_version: version, accepts_packed: acceptsPacked } = call.request;
    const updates = source.since(version);
    cb(null, { versions: updates.map((u) => documentCodec.encode(u, acceptsPacked)) });
  };
  return { Sync: sync, Config: config };
}
