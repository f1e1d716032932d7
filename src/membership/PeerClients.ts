import * as grpc from "@grpc/grpc-js";
import type { IDisposable } from "../common/lifecycle/IDisposable.ts";
import type { MessageSizeListener } from "../common/rpc/MessageSizeListener.ts";
import { meterService } from "../common/rpc/meterService.ts";
import { ReconnectingClient } from "../common/rpc/ReconnectingClient.ts";
import type { PeerClient } from "./PeerClient.ts";

/**
 * Idle time after which a connection is closed, ms. Any member may be called at some point; when the connections to
 * hundreds of members were all kept open, they took more of a sidecar's memory than everything else.
 */
const IDLE_TIMEOUT_MS = 3000;

/** Upper limit of the number of consecutive failed calls after which a connection is replaced; see {@link ReconnectingClient}. */
const MAX_CONSECUTIVE_FAILURES = 4;

const OPTIONS = { idleMs: IDLE_TIMEOUT_MS, maxFailures: MAX_CONSECUTIVE_FAILURES };

/** One gRPC client per peer address, shared by all callers in this process. */
export class PeerClients implements IDisposable {
  readonly #service: grpc.ServiceDefinition;
  readonly #onMessage: MessageSizeListener | undefined;
  readonly #clients = new Map<string, ReconnectingClient<PeerClient>>();

  /**
   * @param service definition of the Peer service
   * @param onMessage called for every message sent or received
   */
  constructor(service: grpc.ServiceDefinition, onMessage?: MessageSizeListener) {
    this.#service = service;
    this.#onMessage = onMessage;
  }

  /** The client of the member at `address` (host:port), opened on first use. */
  get(address: string): ReconnectingClient<PeerClient> {
    let client = this.#clients.get(address);
    if (!client) {
      client = new ReconnectingClient<PeerClient>(this.#createCtor(address), address, OPTIONS);
      this.#clients.set(address, client);
    }
    return client;
  }

  #createCtor(address: string): grpc.ServiceClientConstructor {
    const service = this.#onMessage
      ? meterService(this.#service, address, this.#onMessage)
      : this.#service;
    return grpc.makeGenericClientConstructor(service, "Peer");
  }

  dispose(): void {
    for (const client of this.#clients.values()) {
      client.dispose();
    }
    this.#clients.clear();
  }
}
