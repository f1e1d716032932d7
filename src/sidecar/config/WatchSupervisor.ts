import type bunyan from "bunyan";
import type { DocumentUpdate } from "../../common/document/DocumentUpdate.ts";
import type { Clock } from "../../common/lifecycle/Clock.ts";
import type { Timer } from "../../common/lifecycle/Timer.ts";
import type { ControlWatch } from "./ControlWatch.ts";

/** Time after which a watch that has not opened yet is raced by another one, ms. */
const RACE_STAGGER_MS = 1000;

/**
 * Maximum number of watches that are being opened at the same time; the oldest is closed to start another. Each thus
 * has 6 s to open: three round trips over a congested link.
 */
const MAX_OPENING = 6;

/** Delay before another watch is started after the current one has ended, ms. */
const REOPEN_MS = 200;

/** Delay before a replica is looked for again when there was none to choose, ms: members are known soon after a start. */
const RETRY_MS = 50;

/**
 * Interval at which a better replica than the current one is looked for, ms. The members, and so the zones of replicas, may
 * become known only after the first watches of a sidecar that has just started.
 */
const REVIEW_MS = 3000;

/** Time without a heartbeat after which a watch is raced by another one, ms; replicas send one every second. */
const HEARTBEAT_TIMEOUT_MS = 2500;

/** The events of a watch. */
type WatchEvents = Pick<
  ConstructorParameters<typeof ControlWatch>[0],
  "onUpdate" | "onHeartbeat" | "onEnd" | "onOpen"
>;

interface WatchSupervisorDeps {
  /** Chooses a replica to follow, if possible one not in `avoid`; undefined if there is none yet. */
  readonly choose: (avoid: ReadonlySet<string>) => string | undefined;
  /** Whether another replica than the one at `address` should be followed. */
  readonly hasBetter: (address: string) => boolean;
  /** Called when a watch of the replica at `address` could not be opened, has ended or has become silent. */
  readonly onFailure: (address: string) => void;
  /** Opens a watch at a replica. */
  readonly open: (address: string, events: WatchEvents) => Pick<ControlWatch, "dispose">;
  /** Applies an update from the replica at `address`; `gap` if it is not based on the version in force. */
  readonly apply: (update: DocumentUpdate, address: string) => "taken" | "stale" | "gap";
  readonly clock: Clock;
  readonly log: bunyan;
}

/** A watch that is open or being opened. */
interface WatchHandle {
  readonly address: string;
  watch: Pick<ControlWatch, "dispose"> | undefined;
  isSilent: boolean;
}

/**
 * Keeps one watch of the configuration document open. Watches are raced like connections in RFC 8305: if one is slow to
 * open, or receives no heartbeats, another is started in parallel, and the first to open is kept. If each were closed
 * before the next is started, none would ever open over a link whose delay exceeds the timeout. In the same way, a watch
 * is replaced by one of a better replica once that has opened.
 */
export class WatchSupervisor {
  readonly #deps: WatchSupervisorDeps;
  /** The open watch; it may be silent. */
  #current: WatchHandle | undefined;
  #opening: readonly WatchHandle[] = [];
  #raceTimer: Timer | undefined;
  #heartbeatTimer: Timer | undefined;
  #reviewTimer: Timer | undefined;
  #stopped = false;

  constructor(deps: WatchSupervisorDeps) {
    this.#deps = deps;
  }

  /** Addresses of the replicas whose watches are open or being opened. */
  get addresses(): readonly string[] {
    return [...(this.#current ? [this.#current] : []), ...this.#opening].map((w) => w.address);
  }

  /** Starts to open another watch; the current one, if any, is kept until another has opened. */
  start(): void {
    if (this.#stopped) {
      return;
    }
    const address = this.#deps.choose(new Set(this.addresses));
    if (address !== undefined) {
      this.#openAt(address);
    }
    this.#scheduleStart(address === undefined ? RETRY_MS : RACE_STAGGER_MS);
  }

  dispose(): void {
    this.#stopped = true;
    this.#heartbeatTimer?.cancel();
    this.#reviewTimer?.cancel();
    this.#endRace();
    this.#current?.watch?.dispose();
  }

  #openAt(address: string): void {
    const [oldest] = this.#opening;
    if (this.#opening.length >= MAX_OPENING) {
      oldest?.watch?.dispose();
    }
    const handle: WatchHandle = { address, watch: undefined, isSilent: false };
    this.#opening = [...this.#opening, handle];
    handle.watch = this.#deps.open(address, {
      onOpen: () => {
        this.#onOpen(handle);
      },
      onUpdate: (update) => {
        this.#onUpdate(handle, update);
      },
      onHeartbeat: () => {
        this.#onHeartbeat(handle);
      },
      onEnd: (reason) => {
        this.#onEnd(handle, reason);
      },
    });
  }

  #onOpen(handle: WatchHandle): void {
    const previous = this.#current;
    this.#current = handle;
    this.#heartbeatTimer?.cancel();
    this.#opening = this.#opening.filter((w) => w !== handle);
    this.#endRace();
    previous?.watch?.dispose();
    if (previous?.isSilent) {
      this.#deps.onFailure(previous.address);
    }
    this.#deps.log.info({ replica: handle.address }, "following control");
    this.#scheduleReview();
  }

  /** Opens a watch at a better replica than the current one, if there is one; the current one is kept until then. */
  #review(): void {
    const { choose, hasBetter } = this.#deps;
    if (this.#current && this.#opening.length === 0 && hasBetter(this.#current.address)) {
      const address = choose(new Set(this.addresses));
      if (address !== undefined) {
        this.#openAt(address);
      }
    }
    this.#scheduleReview();
  }

  #scheduleReview(): void {
    this.#reviewTimer?.cancel();
    if (!this.#stopped) {
      this.#reviewTimer = this.#deps.clock.timeout(REVIEW_MS, () => {
        this.#review();
      });
    }
  }

  #onUpdate(handle: WatchHandle, update: DocumentUpdate): void {
    if (this.#deps.apply(update, handle.address) === "gap") {
      // The watch opened next begins with the missing updates.
      this.#replaceAfterGap(handle);
    }
  }

  #replaceAfterGap(handle: WatchHandle): void {
    if (handle === this.#current) {
      this.#current = undefined;
      this.#heartbeatTimer?.cancel();
      const { address: replica } = handle;
      this.#deps.log.info({ replica, reason: "missed an update" }, "no longer following control");
      this.#scheduleStart(REOPEN_MS);
    }
    handle.watch?.dispose();
  }

  #onHeartbeat(handle: WatchHandle): void {
    if (handle !== this.#current) {
      return;
    }
    handle.isSilent = false;
    this.#endRace();
    this.#heartbeatTimer?.cancel();
    this.#heartbeatTimer = this.#deps.clock.timeout(HEARTBEAT_TIMEOUT_MS, () => {
      this.#deps.log.info(
        { replica: handle.address, ms: HEARTBEAT_TIMEOUT_MS },
        "no heartbeats from control replica",
      );
      handle.isSilent = true;
      this.start();
    });
  }

  #onEnd(handle: WatchHandle, reason: string): void {
    const { address: replica } = handle;
    if (this.#opening.includes(handle)) {
      this.#deps.onFailure(replica);
      this.#opening = this.#opening.filter((w) => w !== handle);
      this.#deps.log.info({ replica, reason }, "watch of control replica ended before it opened");
    } else if (this.#current === handle) {
      this.#current = undefined;
      this.#heartbeatTimer?.cancel();
      this.#deps.onFailure(replica);
      this.#deps.log.info({ replica, reason }, "no longer following control");
      this.#scheduleStart(REOPEN_MS);
    }
  }

  /** Closes all watches that are being opened. */
  #endRace(): void {
    this.#raceTimer?.cancel();
    const pending = this.#opening;
    this.#opening = [];
    pending.forEach((w) => w.watch?.dispose());
  }

  #scheduleStart(ms: number): void {
    this.#raceTimer?.cancel();
    if (!this.#stopped) {
      this.#raceTimer = this.#deps.clock.timeout(ms, () => {
        this.start();
      });
    }
  }
}
