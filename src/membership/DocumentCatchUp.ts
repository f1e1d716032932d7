import type bunyan from "bunyan";
import type { Clock } from "../common/lifecycle/Clock.ts";
import type { IDisposable } from "../common/lifecycle/IDisposable.ts";
import type { Timer } from "../common/lifecycle/Timer.ts";
import type { ConfigSource } from "./ConfigSource.ts";
import type { MembershipPeers } from "./MembershipPeers.ts";

/** How long control may take to deliver a version that other members already have, ms; it usually takes 100 ms. */
const CONTROL_GRACE_MS = 400;

/** Time after which a fetch without a response is raced by a fetch from another member, ms. */
const FETCH_STAGGER_MS = 400;

/** Most concurrent fetches; there are several because some of the members may be unreachable. */
const MAX_CONCURRENT_FETCHES = 4;

/** A newer version that a member or a control replica has. */
interface VersionReport {
  readonly version: number;
  /** Whether a control replica has announced it on a watch. */
  readonly isByControl: boolean;
}

interface DocumentCatchUpDeps {
  readonly peers: Pick<MembershipPeers, "config">;
  readonly config: ConfigSource;
  readonly clock: Clock;
  readonly log: bunyan;
}

/**
 * Fetches a newer configuration document from members or control replicas that report one, if the watch of updates has not
 * delivered it within {@link CONTROL_GRACE_MS}. This brings accepted changes to sidecars that have lost that watch, that
 * cannot reach control, or that follow only replicas cut off by a network partition. Without the delay, most of the fleet would open connections to fetch each
 * change moments before control delivers it.
 */
export class DocumentCatchUp implements IDisposable {
  readonly #deps: DocumentCatchUpDeps;
  /** Reports of versions that are newer than the one received last, by the address of the member or control replica. */
  readonly #reported = new Map<string, VersionReport>();
  readonly #fetching = new Set<string>();
  /** The first version found missing, and when that was; it may have arrived meanwhile. */
  #missing = { version: 0, since: 0 };
  /** Set while a newer version is known to exist. */
  #timer: Timer | undefined;
  #stopped = false;

  constructor(deps: DocumentCatchUpDeps) {
    this.#deps = deps;
  }

  /** Version in force at this sidecar. */
  get version(): number {
    return this.#deps.config.version;
  }

  /** Records that the member at `address` has `version`. */
  noteVersion(address: string, version: number): void {
    this.#note(address, {
      version,
      isByControl: this.#reported.get(address)?.isByControl ?? false,
    });
  }

  /** Records that the control replica at `address`, from which no updates are received, has announced `version`. */
  noteAnnounced(address: string, version: number): void {
    this.#note(address, { version, isByControl: true });
  }

  #note(address: string, report: VersionReport): void {
    if (report.version <= this.#received) {
      return;
    }
    this.#reported.set(address, report);
    this.#updateMissing();
    this.#timer ??= this.#scheduleCatchUp(this.#graceLeftMs);
  }

  get #received(): number {
    return this.#deps.config.receivedVersion;
  }

  dispose(): void {
    this.#stopped = true;
    this.#timer?.cancel();
  }

  #scheduleCatchUp(ms: number): Timer {
    return this.#deps.clock.timeout(Math.max(0, ms), () => {
      this.#catchUp();
    });
  }

  #catchUp(): void {
    this.#timer?.cancel();
    this.#timer = undefined;
    this.#dropObsoleteReports();
    if (this.#reported.size === 0 || this.#stopped) {
      return;
    }
    this.#updateMissing();
    if (this.#graceLeftMs > 0) {
      this.#timer = this.#scheduleCatchUp(this.#graceLeftMs);
    } else {
      this.#fetchNewest();
      this.#timer = this.#scheduleCatchUp(FETCH_STAGGER_MS);
    }
  }

  /** Time left for control to deliver the missing version, ms. */
  get #graceLeftMs(): number {
    return this.#missing.since + CONTROL_GRACE_MS - this.#deps.clock.now();
  }

  /** Starts a new grace period with the newest reported version, if the previously missing version has arrived. */
  #updateMissing(): void {
    if (this.#missing.version <= this.#received) {
      const version = Math.max(...[...this.#reported.values()].map((r) => r.version));
      this.#missing = { version, since: this.#deps.clock.now() };
    }
  }

  /** Drops reports of versions that have arrived. */
  #dropObsoleteReports(): void {
    for (const [address, { version }] of this.#reported) {
      if (version <= this.#received) {
        this.#reported.delete(address);
      }
    }
  }

  /**
   * Fetches from one of those that reported the newest version, preferably a control replica that announced it, unless too
   * many fetches are running.
   */
  #fetchNewest(): void {
    const candidates = [...this.#reported].filter(([address]) => !this.#fetching.has(address));
    const [newest] = candidates.sort(
      ([, a], [, b]) => b.version - a.version || Number(b.isByControl) - Number(a.isByControl),
    );
    if (newest && this.#fetching.size < MAX_CONCURRENT_FETCHES) {
      const [address, { version }] = newest;
      void this.#fetch(address, version);
    }
  }

  async #fetch(address: string, reported: number): Promise<void> {
    const { peers, config, log } = this.#deps;
    this.#reported.delete(address);
    this.#fetching.add(address);
    try {
      const updates = await peers.config(address, config.receivedVersion);
      updates.forEach((u) => {
        config.offer(u, address);
      });
      log.info(
        { from: address, reported, version: config.receivedVersion },
        "fetched configuration document from a member",
      );
    } catch (err) {
      // The member has left or is unreachable; another one is tried.
      const reason = err instanceof Error ? err.message : String(err);
      log.info(
        { from: address, reported, reason },
        "could not fetch configuration document from a member",
      );
    } finally {
      this.#fetching.delete(address);
      this.#catchUp();
    }
  }
}
