import * as grpc from "@grpc/grpc-js";
import type { IDisposable } from "../common/lifecycle/IDisposable.ts";
import { RenewedClient } from "../common/rpc/RenewedClient.ts";
import type { PeerClient } from "./PeerClient.ts";

/**
 * A connection that was not used for this long is closed, ms. Any member may be called at some time; with each of
 * hundreds kept open, a sidecar held more memory for connections than for all else.
 */
const IDLE_MS = 3000;

/** Calls that fail in a row before a connection is opened afresh, at most. */
const MOST_FAILURES = 4;

const OPTIONS = { idleMs: IDLE_MS, mostFailures: MOST_FAILURES };

/** One gRPC client per peer address, shared by all that talk to that peer. */
export class PeerClients implements IDisposable {
  readonly #ctor: grpc.ServiceClientConstructor;
  readonly #clients = new Map<string, RenewedClient<PeerClient>>();

  /** `service` is the Peer service's definition, metered or not. */
  constructor(service: grpc.ServiceDefinition) {
    this.#ctor = grpc.makeGenericClientConstructor(service, "Peer");
  }

  /** The client of the member at `address` (host:port), opened on first use. */
  get(address: string): RenewedClient<PeerClient> {
    let client = this.#clients.get(address);
    if (!client) {
      client = new RenewedClient<PeerClient>(this.#ctor, address, OPTIONS);
      this.#clients.set(address, client);
    }
    return client;
  }

  dispose(): void {
    for (const client of this.#clients.values()) {
      client.dispose();
    }
    this.#clients.clear();
  }
}
