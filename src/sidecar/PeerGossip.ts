import type * as grpc from "@grpc/grpc-js";
import type bunyan from "bunyan";
import { Disposable } from "../common/Disposable.ts";
import { every } from "../common/every.ts";
import type { ProtoTypes } from "../common/ProtoTypes.ts";
import type { PeerClients } from "./PeerClients.ts";
import type { TargetTable } from "./TargetTable.ts";

/** Peers contacted each round; with push-pull, news reaches all N members in about log2(N) rounds. */
const GOSSIP_FANOUT = 2;

/** Rounds called for by news keep at least this distance, ms. */
const MIN_ROUND_GAP_MS = 40;

/** A gossip call slower than this is dropped, ms: a stuck peer must not hold a round. */
const EXCHANGE_DEADLINE_MS = 500;

/** A document takes longer than a digest: 2 MB at the two-year size, ms. */
const CONFIG_DEADLINE_MS = 3000;

/** The document in force here, and the gate for newer ones. */
interface ConfigSource {
  readonly version: number;
  offer(v: ProtoTypes["ConfigVersion"]): boolean;
}

/**
 * Membership by push-pull anti-entropy gossip (Demers et al., "Epidemic
 * Algorithms for Replicated Database Maintenance", 1987): every round the
 * sidecar raises its heartbeat and swaps its whole digest with a few random
 * peers. Seeds from the settings are tried until a live member is known.
 */
export class PeerGossip extends Disposable {
  readonly #table: TargetTable;
  readonly #seeds: readonly string[];
  readonly #clients: PeerClients;
  readonly #random: () => number;
  readonly #log: bunyan;
  readonly #config: ConfigSource;
  #fetchingConfig = false;
  #lastRoundAt = -Infinity;

  constructor(deps: {
    table: TargetTable;
    seeds: readonly string[];
    clients: PeerClients;
    random: () => number;
    log: bunyan;
    config: ConfigSource;
  }) {
    super();
    this.#table = deps.table;
    this.#seeds = deps.seeds;
    this.#clients = deps.clients;
    this.#random = deps.random;
    this.#log = deps.log;
    this.#config = deps.config;
  }

  /** The Exchange handler: merge theirs, answer with ours. */
  readonly exchange: grpc.handleUnaryCall<ProtoTypes["Digest"], ProtoTypes["Digest"]> = (
    call,
    cb,
  ) => {
    this.#table.merge(call.request);
    cb(null, this.#digest());
  };

  /** Starts a round every `intervalMs` until disposed. */
  start(intervalMs: number): void {
    this.register(
      every(intervalMs, () => {
        this.#round();
      }),
    );
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

  #round(): void {
    this.#lastRoundAt = performance.now();
    this.#table.beat();
    const digest = this.#digest();
    for (const address of this.#choosePeers()) {
      this.#clients
        .get(address)
        .Exchange(digest, { deadline: Date.now() + EXCHANGE_DEADLINE_MS }, (err, res) => {
          if (err) {
            this.#log.debug({ peer: address, err: err.message }, "gossip exchange failed");
            return;
          }
          if (res) {
            this.#table.merge(res);
            this.#catchUp(address, res.config_version);
          }
        });
    }
  }

  #digest(): ProtoTypes["Digest"] {
    return { members: this.#table.digest(), config_version: this.#config.version };
  }

  /**
   * Takes a newer document from the peer that has it. This carries an accepted
   * change to sidecars that cannot reach control, or whose replica was cut off.
   */
  #catchUp(address: string, version: number): void {
    if (version <= this.#config.version || this.#fetchingConfig) {
      return;
    }
    this.#fetchingConfig = true;
    const deadline = Date.now() + CONFIG_DEADLINE_MS;
    this.#clients.get(address).Config({}, { deadline }, (_err, res) => {
      this.#fetchingConfig = false;
      if (res) {
        this.#config.offer(res);
      }
    });
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
}
