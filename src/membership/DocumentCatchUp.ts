import type { Clock } from "../common/lifecycle/Clock.ts";
import type { IDisposable } from "../common/lifecycle/IDisposable.ts";
import type { Timer } from "../common/lifecycle/Timer.ts";
import type { ConfigSource } from "./ConfigSource.ts";
import type { MembershipPeers } from "./MembershipPeers.ts";

/** Control has this long to bring a document that members have already, ms: it takes a tenth of a second. */
const BEHIND_MS = 400;

/** Members of which the document is taken at the same time, at most: one of them may be cut off. */
const MAX_FETCHES = 2;

interface DocumentCatchUpDeps {
  readonly peers: Pick<MembershipPeers, "config">;
  readonly config: ConfigSource;
  readonly clock: Clock;
}

/**
 * Takes a newer document from members that have it, once control has not brought it for a while. This carries an
 * accepted change to sidecars that cannot reach control, or whose replicas were cut off. Fetched at once, each change
 * would be fetched by most of the fleet over connections opened for it, moments before control brings it.
 */
export class DocumentCatchUp implements IDisposable {
  readonly #deps: DocumentCatchUpDeps;
  /** When a newer document than the one in force here was first heard of. */
  #behindSince: number | undefined;
  /** The newest version that was heard of. */
  #heardVersion = 0;
  #timer: Timer | undefined;
  /** Members of which the document is being taken. */
  readonly #fetching = new Set<string>();

  constructor(deps: DocumentCatchUpDeps) {
    this.#deps = deps;
  }

  /** Notes the version that the member at `address` has. */
  noteVersion(address: string, version: number): void {
    const { clock, config } = this.#deps;
    if (this.#heardVersion <= config.version) {
      this.#behindSince = undefined;
    }
    if (version <= config.version) {
      return;
    }
    this.#heardVersion = Math.max(this.#heardVersion, version);
    this.#behindSince ??= clock.now();
    const waitMs = this.#behindSince + BEHIND_MS - clock.now();
    if (waitMs <= 0) {
      void this.#fetch(address);
      return;
    }
    this.#timer?.cancel();
    this.#timer = clock.after(waitMs, () => {
      if (version > config.version) {
        void this.#fetch(address);
      }
    });
  }

  dispose(): void {
    this.#timer?.cancel();
  }

  async #fetch(address: string): Promise<void> {
    const { peers, config } = this.#deps;
    if (this.#fetching.has(address) || this.#fetching.size >= MAX_FETCHES) {
      return;
    }
    this.#fetching.add(address);
    try {
      const updates = await peers.config(address, config.version);
      updates.forEach((u) => {
        config.offer(u);
      });
    } catch {
      // It is gone, or cut off meanwhile; the next member that tells of a newer version is asked.
    } finally {
      this.#fetching.delete(address);
    }
  }
}
