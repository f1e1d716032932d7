import * as grpc from "@grpc/grpc-js";
import { CHANNEL_OPTIONS } from "./CHANNEL_OPTIONS.ts";
import { loadProto } from "./loadProto.ts";
import { meterService } from "./meterService.ts";
import type { MessageSizeListener } from "./MessageSizeListener.ts";
import type { ProtoTypes } from "./ProtoTypes.ts";

type Unary<Req, Res> = (
  req: Req,
  cb: (err: grpc.ServiceError | null, res?: Res) => void,
) => grpc.ClientUnaryCall;

/** A typed gRPC client of the Control service. */
export type ControlClient = grpc.Client & {
  Apply: Unary<ProtoTypes["ApplyRequest"], ProtoTypes["ApplyReply"]>;
  Current: Unary<object, ProtoTypes["ConfigVersion"]>;
  Watch(req: ProtoTypes["WatchRequest"]): grpc.ClientReadableStream<ProtoTypes["ConfigVersion"]>;
};

/** Creates a client of the control replica at `address` (host:port, no TLS); `onMessage` is called for every message. */
export const ControlClient = (address: string, onMessage?: MessageSizeListener): ControlClient => {
  const { service } = loadProto().Control;
  const meteredService = onMessage ? meterService(service, address, onMessage) : service;
  const ctor = grpc.makeGenericClientConstructor(meteredService, "Control");
  return new ctor(address, grpc.credentials.createInsecure(), {
    ...CHANNEL_OPTIONS,
    // Otherwise channels to one address share a connection, even one that has become silent.
    "grpc.use_local_subchannel_pool": 1,
  }) as unknown as ControlClient;
};
