import * as grpc from "@grpc/grpc-js";
import { CHANNEL_OPTIONS } from "./CHANNEL_OPTIONS.ts";
import { loadProto } from "./loadProto.ts";
import { meterService } from "./meterService.ts";
import type { NoteBytes } from "./NoteBytes.ts";
import type { ProtoTypes } from "./ProtoTypes.ts";

type Callback<T> = (err: grpc.ServiceError | null, res?: T) => void;

/** A typed gRPC client of the Control service. */
export type ControlClient = grpc.Client & {
  Apply(
    req: ProtoTypes["ApplyRequest"],
    opts: grpc.CallOptions,
    cb: Callback<ProtoTypes["ApplyReply"]>,
  ): void;
  Current(req: object, opts: grpc.CallOptions, cb: Callback<ProtoTypes["ConfigVersion"]>): void;
  Watch(req: ProtoTypes["WatchRequest"]): grpc.ClientReadableStream<ProtoTypes["ConfigVersion"]>;
};

/** Opens a client to the control replica at `address` (host:port, no TLS); `note` hears of every message. */
export const ControlClient = (address: string, note?: NoteBytes): ControlClient => {
  const { service } = loadProto().Control as grpc.ServiceClientConstructor;
  const metered = note ? meterService(service, note) : service;
  const ctor = grpc.makeGenericClientConstructor(metered, "Control");
  return new ctor(
    address,
    grpc.credentials.createInsecure(),
    CHANNEL_OPTIONS,
  ) as unknown as ControlClient;
};
