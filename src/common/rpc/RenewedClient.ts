import * as grpc from "@grpc/grpc-js";
import type { IDisposable } from "../lifecycle/IDisposable.ts";
import { CHANNEL_OPTIONS } from "./CHANNEL_OPTIONS.ts";

/** Calls that fail in a row before the connection is taken for dead. */
const FAILURES_TO_RENEW = 2;

/**
 * A gRPC client that is opened afresh when calls fail in a row. A connection that
 * something in between has lost track of, or one whose opening packets went into a
 * cut, can stay stuck for tens of seconds after the path is good again; a new one
 * works at once.
 */
export class RenewedClient<T extends grpc.Client> implements IDisposable {
  readonly #open: () => T;
  readonly #idleMs: number;
  #client: T | undefined;
  #failures = 0;
  #underWay = 0;
  #idleTimer: NodeJS.Timeout | undefined;

  /** @param idleMs the connection is closed when no call was made for this long, and opened again by the next */
  constructor(ctor: grpc.ServiceClientConstructor, address: string, idleMs = Infinity) {
    this.#idleMs = idleMs;
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
      return res;
    } catch (err) {
      this.#failures += 1;
      if (this.#failures >= FAILURES_TO_RENEW && this.#client === client) {
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
