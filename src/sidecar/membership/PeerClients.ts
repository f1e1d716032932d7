import * as grpc from "@grpc/grpc-js";
import { CHANNEL_OPTIONS } from "../../common/rpc/CHANNEL_OPTIONS.ts";
import type { IDisposable } from "../../common/lifecycle/IDisposable.ts";
import type { PeerClient } from "./PeerClient.ts";

/** One gRPC client per peer address, shared by all that talk to that peer. */
export class PeerClients implements IDisposable {
  readonly #ctor: grpc.ServiceClientConstructor;
  readonly #clients = new Map<string, PeerClient>();

  /** `service` is the Peer service's definition, metered or not. */
  constructor(service: grpc.ServiceDefinition) {
    this.#ctor = grpc.makeGenericClientConstructor(service, "Peer");
  }

  /** The client of the sidecar at `address` (host:port), opened on first use. */
  get(address: string): PeerClient {
    let client = this.#clients.get(address);
    if (!client) {
      client = new this.#ctor(
        address,
        grpc.credentials.createInsecure(),
        CHANNEL_OPTIONS,
      ) as unknown as PeerClient;
      this.#clients.set(address, client);
    }
    return client;
  }

  dispose(): void {
    for (const client of this.#clients.values()) {
      client.close();
    }
    this.#clients.clear();
  }
}
