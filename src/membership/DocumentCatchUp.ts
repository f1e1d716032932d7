import type bunyan from "bunyan";
import type { Clock } from "../common/lifecycle/Clock.ts";
import type { IDisposable } from "../common/lifecycle/IDisposable.ts";
import type { Timer } from "../common/lifecycle/Timer.ts";
import type { ConfigSource } from "./ConfigSource.ts";
import type { MembershipPeers } from "./MembershipPeers.ts";

/** Control has this long to deliver a document that members have already, ms: it takes a tenth of a second. */
const BEHIND_MS = 400;

/** A fetch that is not answered within this time is raced by one from another member, ms. */
const STAGGER_MS = 400;

/** Fetches at the same time, at most: some of the members may be cut off. */
const MAX_FETCHES = 4;

interface DocumentCatchUpDeps {
  readonly peers: Pick<MembershipPeers, "config">;
  readonly config: ConfigSource;
  readonly clock: Clock;
  readonly log: bunyan;
}

/**
 * Fetches a newer document from members that report one, once control has not delivered it for a while. This takes an
 * accepted change to sidecars that cannot reach control, or whose replicas were cut off. Fetched at once, each change
 * would be fetched by most of the fleet over connections opened for it, moments before control delivers it.
 */
export class DocumentCatchUp implements IDisposable {
  readonly #deps: DocumentCatchUpDeps;
  /** Versions that members reported, newer than the one in force here, by the members' addresses. */
  readonly #reported = new Map<string, number>();
  readonly #fetching = new Set<string>();
  /** The first version that was missing here, and since when; it may have come meanwhile. */
  #missing = { version: 0, since: 0 };
  /** Set while a newer version is known. */
  #timer: Timer | undefined;
  #stopped = false;

  constructor(deps: DocumentCatchUpDeps) {
    this.#deps = deps;
  }

  /** Version in force here. */
  get version(): number {
    return this.#deps.config.version;
  }

  /** Notes that the member at `address` has `version`. */
  noteVersion(address: string, version: number): void {
    if (version <= this.version) {
      return;
    }
    this.#reported.set(address, version);
    this.#noteMissing();
    this.#timer ??= this.#after(this.#controlHasMs);
  }

  dispose(): void {
    this.#stopped = true;
    this.#timer?.cancel();
  }

  #after(ms: number): Timer {
    return this.#deps.clock.after(Math.max(0, ms), () => {
      this.#catchUp();
    });
  }

  #catchUp(): void {
    this.#timer?.cancel();
    this.#timer = undefined;
    this.#dropReported();
    if (this.#reported.size === 0 || this.#stopped) {
      return;
    }
    this.#noteMissing();
    if (this.#controlHasMs > 0) {
      this.#timer = this.#after(this.#controlHasMs);
    } else {
      this.#fetchNewest();
      this.#timer = this.#after(STAGGER_MS);
    }
  }

  /** Time that control still has to deliver what is missing here, ms. */
  get #controlHasMs(): number {
    return this.#missing.since + BEHIND_MS - this.#deps.clock.now();
  }

  /** Notes what is missing, where what was missing has come. */
  #noteMissing(): void {
    if (this.#missing.version <= this.version) {
      const version = Math.max(...this.#reported.values());
      this.#missing = { version, since: this.#deps.clock.now() };
    }
  }

  /** Drops reports of versions that have come. */
  #dropReported(): void {
    for (const [address, version] of this.#reported) {
      if (version <= this.version) {
        this.#reported.delete(address);
      }
    }
  }

  /** Fetches from one of the members with the newest version. */
  #fetchNewest(): void {
    const free = [...this.#reported].filter(([address]) => !this.#fetching.has(address));
    const [newest] = free.sort(([, a], [, b]) => b - a);
    if (newest && this.#fetching.size < MAX_FETCHES) {
      void this.#fetch(...newest);
    }
  }

  async #fetch(address: string, reported: number): Promise<void> {
    const { peers, config, log } = this.#deps;
    this.#reported.delete(address);
    this.#fetching.add(address);
    try {
      const updates = await peers.config(address, config.version);
      updates.forEach((u) => {
        config.offer(u);
      });
      log.info({ from: address, reported, version: config.version }, "document fetched");
    } catch (err) {
      // It is gone, or cut off meanwhile.
      const reason = err instanceof Error ? err.message : String(err);
      log.info({ from: address, reported, reason }, "document not fetched");
    } finally {
      this.#fetching.delete(address);
      this.#catchUp();
    }
  }
}
