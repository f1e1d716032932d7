import * as grpc from "@grpc/grpc-js";
import type bunyan from "bunyan";
import { fromPromise, periodic } from "most";
import { encodedSize } from "../common/encodedSize.ts";
import type { IDisposable } from "../common/IDisposable.ts";
import type { ProtoTypes } from "../common/ProtoTypes.ts";
import type { TargetTable } from "./TargetTable.ts";

/** Peers contacted each round; with push-pull, news reaches all N members in about log2(N) rounds. */
export const GOSSIP_FANOUT = 2;

/** Rounds called for by news keep at least this distance, ms. */
const MIN_ROUND_GAP_MS = 40;

const DIGEST_TYPE = "burdockpass.v1.Digest";

/** A gossip call slower than this is dropped, ms: a stuck peer must not hold a round. */
const EXCHANGE_DEADLINE_MS = 500;

type PeerClient = grpc.Client & {
  Exchange(
    req: ProtoTypes["Digest"],
    opts: grpc.CallOptions,
    cb: (err: grpc.ServiceError | null, res?: ProtoTypes["Digest"]) => void,
  ): void;
};

/**
 * Membership by push-pull anti-entropy gossip (Demers et al., "Epidemic
 * Algorithms for Replicated Database Maintenance", 1987): every round the
 * sidecar raises its heartbeat and swaps its whole digest with a few random
 * peers. Seeds from the settings are tried until a live member is known.
 */
export class PeerGossip implements IDisposable {
  readonly #table: TargetTable;
  readonly #seeds: readonly string[];
  readonly #ctor: grpc.ServiceClientConstructor;
  readonly #random: () => number;
  readonly #log: bunyan;
  readonly #onBytes: (bytes: number) => void;
  readonly #clients = new Map<string, PeerClient>();
  #lastRoundAt = -Infinity;
  #stop: () => void = () => undefined;

  constructor(deps: {
    table: TargetTable;
    seeds: readonly string[];
    ctor: grpc.ServiceClientConstructor;
    random: () => number;
    log: bunyan;
    /** Told the encoded size of every digest sent or received, bytes. */
    onBytes: (bytes: number) => void;
  }) {
    this.#table = deps.table;
    this.#seeds = deps.seeds;
    this.#ctor = deps.ctor;
    this.#random = deps.random;
    this.#log = deps.log;
    this.#onBytes = deps.onBytes;
  }

  /** The Exchange handler: merge theirs, answer with ours. */
  readonly exchange: grpc.handleUnaryCall<ProtoTypes["Digest"], ProtoTypes["Digest"]> = (
    call,
    cb,
  ) => {
    this.#table.merge(call.request);
    const reply = this.#table.digest();
    this.#onBytes(encodedSize(DIGEST_TYPE, call.request) + encodedSize(DIGEST_TYPE, reply));
    cb(null, reply);
  };

  /** Starts a round every `intervalMs` until disposed. */
  start(intervalMs: number): void {
    const stopped = new Promise<void>((resolve) => (this.#stop = resolve));
    void periodic(intervalMs)
      .until(fromPromise(stopped))
      .observe(() => {
        this.#round();
      });
  }

  /**
   * Holds a round now, unless one was held just before: called on news that
   * cannot wait for the next period, such as a target turning gray.
   */
  nudge(): void {
    if (performance.now() - this.#lastRoundAt >= MIN_ROUND_GAP_MS) {
      this.#round();
    }
  }

  dispose(): void {
    this.#stop();
    for (const client of this.#clients.values()) {
      client.close();
    }
    this.#clients.clear();
  }

  #round(): void {
    this.#lastRoundAt = performance.now();
    this.#table.beat();
    const digest = this.#table.digest();
    const size = encodedSize(DIGEST_TYPE, digest);
    for (const address of this.#choosePeers()) {
      this.#onBytes(size);
      this.#client(address).Exchange(
        digest,
        { deadline: Date.now() + EXCHANGE_DEADLINE_MS },
        (err, res) => {
          if (err) {
            this.#log.debug({ peer: address, err: err.message }, "gossip exchange failed");
            return;
          }
          if (res) {
            this.#onBytes(encodedSize(DIGEST_TYPE, res));
            this.#table.merge(res);
          }
        },
      );
    }
  }

  #choosePeers(): string[] {
    const known = this.#table.peerAddresses();
    const pool = known.length > 0 ? known : [...this.#seeds];
    const chosen = new Set<string>();
    for (
      let i = 0;
      i < GOSSIP_FANOUT * 2 && chosen.size < Math.min(GOSSIP_FANOUT, pool.length);
      i++
    ) {
      const address = pool[Math.floor(this.#random() * pool.length)];
      if (address) {
        chosen.add(address);
      }
    }
    return [...chosen];
  }

  #client(address: string): PeerClient {
    let client = this.#clients.get(address);
    if (!client) {
      client = new this.#ctor(address, grpc.credentials.createInsecure()) as unknown as PeerClient;
      this.#clients.set(address, client);
    }
    return client;
  }
}
