import * as grpc from "@grpc/grpc-js";
import type { IDisposable } from "../lifecycle/IDisposable.ts";
import { CHANNEL_OPTIONS } from "./CHANNEL_OPTIONS.ts";

/** Calls that fail in a row before the connection is taken for dead. */
const FAILURES_TO_RENEW = 2;

/** How a client treats its connection. */
interface RenewedClientOptions {
  /** The connection is closed when no call was made for this long, ms, and opened again by the next. */
  readonly idleMs?: number;
  /**
   * Failures in a row before the connection is taken for dead are doubled with each connection on which no call
   * succeeds, up to this many: a slow link needs more time to open a connection than calls on it need.
   */
  readonly mostFailures?: number;
}

/**
 * A gRPC client that is opened afresh when calls fail in a row. A connection that
 * something in between has lost track of, or one whose opening packets went into a
 * cut, can stay stuck for tens of seconds after the path is good again; a new one
 * works at once.
 */
export class RenewedClient<T extends grpc.Client> implements IDisposable {
  readonly #open: () => T;
  readonly #idleMs: number;
  readonly #mostFailures: number;
  #client: T | undefined;
  #failures = 0;
  #failuresToRenew = FAILURES_TO_RENEW;
  #underWay = 0;
  #idleTimer: NodeJS.Timeout | undefined;

  constructor(
    ctor: grpc.ServiceClientConstructor,
    address: string,
    { idleMs = Infinity, mostFailures = FAILURES_TO_RENEW }: RenewedClientOptions = {},
  ) {
    this.#idleMs = idleMs;
    this.#mostFailures = mostFailures;
    this.#open = () =>
      new ctor(address, grpc.credentials.createInsecure(), {
        ...CHANNEL_OPTIONS,
        // Channels to one address share a connection otherwise, the stuck one too.
        "grpc.use_local_subchannel_pool": 1,
      }) as unknown as T;
  }

  /** The client, opened on first use. */
  get client(): T {
    this.#client ??= this.#open();
    return this.#client;
  }

  /** Runs one call on the client, and notes how it went. */
  async call<Res>(act: (client: T) => Promise<Res>): Promise<Res> {
    const { client } = this;
    clearTimeout(this.#idleTimer);
    this.#underWay += 1;
    try {
      const res = await act(client);
      this.#failures = 0;
      this.#failuresToRenew = FAILURES_TO_RENEW;
      return res;
    } catch (err) {
      this.#failures += 1;
      if (this.#failures >= this.#failuresToRenew && this.#client === client) {
        this.#failuresToRenew = Math.min(this.#mostFailures, this.#failuresToRenew * 2);
        this.renew();
      }
      throw err;
    } finally {
      this.#underWay -= 1;
      this.#closeWhenIdle();
    }
  }

  #closeWhenIdle(): void {
    if (this.#underWay === 0 && this.#idleMs < Infinity) {
      clearTimeout(this.#idleTimer);
      this.#idleTimer = setTimeout(() => {
        this.dispose();
      }, this.#idleMs).unref();
    }
  }

  /** Leaves the connection behind; calls under way on it end as they may. */
  renew(): void {
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
