import * as grpc from "@grpc/grpc-js";
import type { IDisposable } from "../lifecycle/IDisposable.ts";
import { CHANNEL_OPTIONS } from "./CHANNEL_OPTIONS.ts";

/** Consecutive failed calls after which the connection is considered dead. */
const FAILURES_BEFORE_RECONNECT = 2;

/** When a client closes or replaces its connection. */
interface ReconnectingClientOptions {
  /** The connection is closed after this long without a call, ms, and opened again by the next call. */
  readonly idleMs?: number;
  /**
   * Upper limit of the consecutive failures after which the connection is considered dead. The number doubles with
   * each connection on which no call succeeds, because on a slow link, opening a connection takes longer than a call.
   */
  readonly maxFailures?: number;
}

/**
 * A gRPC client that opens a new connection after consecutive failed calls. When a
 * device on the path has lost the state of a connection, or its first packets were
 * lost in a network partition, the connection can stay stuck for tens of seconds
 * after the network has recovered; a new connection works at once.
 */
export class ReconnectingClient<T extends grpc.Client> implements IDisposable {
  readonly #createClient: () => T;
  readonly #idleMs: number;
  readonly #maxFailures: number;
  #client: T | undefined;
  #failures = 0;
  #failuresBeforeReconnect = FAILURES_BEFORE_RECONNECT;
  #callsInFlight = 0;
  #idleTimer: NodeJS.Timeout | undefined;

  constructor(
    ctor: grpc.ServiceClientConstructor,
    address: string,
    { idleMs = Infinity, maxFailures = FAILURES_BEFORE_RECONNECT }: ReconnectingClientOptions = {},
  ) {
    this.#idleMs = idleMs;
    this.#maxFailures = maxFailures;
    this.#createClient = () =>
      new ctor(address, grpc.credentials.createInsecure(), {
        ...CHANNEL_OPTIONS,
        // Otherwise channels to one address share a connection, even a stuck one.
        "grpc.use_local_subchannel_pool": 1,
      }) as unknown as T;
  }

  /** The gRPC client, created on first use. */
  get client(): T {
    this.#client ??= this.#createClient();
    return this.#client;
  }

  /** Makes one call on the client, and counts its success or failure. */
  async call<Res>(makeCall: (client: T) => Promise<Res>): Promise<Res> {
    const { client } = this;
    clearTimeout(this.#idleTimer);
    this.#callsInFlight += 1;
    try {
      const res = await makeCall(client);
      this.#failures = 0;
      this.#failuresBeforeReconnect = FAILURES_BEFORE_RECONNECT;
      return res;
    } catch (err) {
      this.#failures += 1;
      if (this.#failures >= this.#failuresBeforeReconnect && this.#client === client) {
        this.#failuresBeforeReconnect = Math.min(
          this.#maxFailures,
          this.#failuresBeforeReconnect * 2,
        );
        this.reconnect();
      }
      throw err;
    } finally {
      this.#callsInFlight -= 1;
      this.#closeWhenIdle();
    }
  }

  #closeWhenIdle(): void {
    if (this.#callsInFlight === 0 && this.#idleMs < Infinity) {
      clearTimeout(this.#idleTimer);
      this.#idleTimer = setTimeout(() => {
        this.dispose();
      }, this.#idleMs).unref();
    }
  }

  /**
   * Closes the client, so that the next call opens a new connection. Calls in flight on the old connection are left to
   * end on their own.
   */
  reconnect(): void {
    this.#failures = 0;
    this.#client?.close();
    this.#client = undefined;
  }

  dispose(): void {
    clearTimeout(this.#idleTimer);
    this.#client?.close();
    this.#client = undefined;
  }
}
