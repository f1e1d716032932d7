import type bunyan from "bunyan";
import type { DocumentUpdate } from "../../common/document/DocumentUpdate.ts";
import type { Clock } from "../../common/lifecycle/Clock.ts";
import type { Timer } from "../../common/lifecycle/Timer.ts";
import type { ControlWatch } from "./ControlWatch.ts";

/** A watch that has not opened after this long is raced by another one, ms. */
const STAGGER_MS = 1000;

/**
 * Watches that are being opened at the same time, at most; the oldest is given up for the next. Each then has 6 s: three
 * round trips over a congested link.
 */
const MAX_OPENING = 6;

/** Wait before another replica is followed after one went away, ms. */
const REOPEN_MS = 200;

/** A watch without a heartbeat for this long is raced by another one, ms; heartbeats come every second. */
const SILENCE_MS = 2500;

/** What a watch reports. */
type WatchEvents = Pick<
  ConstructorParameters<typeof ControlWatch>[0],
  "onUpdate" | "onHeartbeat" | "onEnd" | "onOpen"
>;

interface WatchSlotDeps {
  /** A replica to follow, other than those in `avoid` if possible; undefined where none is known. */
  readonly choose: (avoid: ReadonlySet<string>) => string | undefined;
  /** Opens a watch at a replica. */
  readonly open: (address: string, events: WatchEvents) => Pick<ControlWatch, "dispose">;
  /** Takes an update; `gap` where it does not follow the version in force. */
  readonly take: (update: DocumentUpdate) => "taken" | "stale" | "gap";
  readonly clock: Clock;
  readonly log: bunyan;
}

/** One watch, open or being opened. */
interface Watched {
  readonly address: string;
  watch: Pick<ControlWatch, "dispose"> | undefined;
}

/**
 * Keeps one watch of the document open. Watches are raced, as connections are in RFC 8305: where one is slow to open, or
 * falls silent, another is started beside it, and the first to open is kept. Given up one by one, none would open over
 * a link whose delay exceeds the timeout.
 */
export class WatchSupervisor {
  readonly #deps: WatchSlotDeps;
  #current: Watched | undefined;
  #opening: readonly Watched[] = [];
  #raceTimer: Timer | undefined;
  #silenceTimer: Timer | undefined;
  #stopped = false;

  constructor(deps: WatchSlotDeps) {
    this.#deps = deps;
  }

  /** Replicas that are followed, or about to be. */
  get addresses(): readonly string[] {
    return [...(this.#current ? [this.#current] : []), ...this.#opening].map((w) => w.address);
  }

  /** Opens a watch; the one that is open, if there is one, is kept until another has opened. */
  start(): void {
    if (this.#stopped) {
      return;
    }
    const address = this.#deps.choose(new Set(this.addresses));
    if (address !== undefined) {
      this.#openAt(address);
    }
    this.#raceAfter(address === undefined ? REOPEN_MS : STAGGER_MS);
  }

  dispose(): void {
    this.#stopped = true;
    this.#silenceTimer?.cancel();
    this.#endRace();
    this.#current?.watch?.dispose();
  }

  #openAt(address: string): void {
    const [oldest] = this.#opening;
    if (this.#opening.length >= MAX_OPENING) {
      oldest?.watch?.dispose();
    }
    const watched: Watched = { address, watch: undefined };
    this.#opening = [...this.#opening, watched];
    watched.watch = this.#deps.open(address, {
      onOpen: () => {
        this.#adopt(watched);
      },
      onUpdate: (update) => {
        this.#onUpdate(watched, update);
      },
      onHeartbeat: () => {
        this.#onHeard(watched);
      },
      onEnd: (reason) => {
        this.#onEnd(watched, reason);
      },
    });
  }

  #adopt(watched: Watched): void {
    const before = this.#current;
    this.#current = watched;
    this.#silenceTimer?.cancel();
    this.#opening = this.#opening.filter((w) => w !== watched);
    this.#endRace();
    before?.watch?.dispose();
    this.#deps.log.info({ replica: watched.address }, "following control");
  }

  #onUpdate(watched: Watched, update: DocumentUpdate): void {
    if (this.#deps.take(update) === "gap") {
      // A new watch starts with what is missing here.
      watched.watch?.dispose();
    }
  }

  #onHeard(watched: Watched): void {
    if (watched !== this.#current) {
      return;
    }
    this.#endRace();
    this.#silenceTimer?.cancel();
    this.#silenceTimer = this.#deps.clock.after(SILENCE_MS, () => {
      this.#deps.log.info({ replica: watched.address, ms: SILENCE_MS }, "control silent");
      this.start();
    });
  }

  #onEnd(watched: Watched, reason: string): void {
    const { address: replica } = watched;
    if (this.#opening.includes(watched)) {
      this.#opening = this.#opening.filter((w) => w !== watched);
      this.#deps.log.info({ replica, reason }, "replica not followed");
    } else if (this.#current === watched) {
      this.#current = undefined;
      this.#silenceTimer?.cancel();
      this.#deps.log.info({ replica, reason }, "no longer following control");
      this.#raceAfter(REOPEN_MS);
    }
  }

  /** Ends every watch that is being opened. */
  #endRace(): void {
    this.#raceTimer?.cancel();
    const losers = this.#opening;
    this.#opening = [];
    losers.forEach((w) => w.watch?.dispose());
  }

  #raceAfter(ms: number): void {
    this.#raceTimer?.cancel();
    if (!this.#stopped) {
      this.#raceTimer = this.#deps.clock.after(ms, () => {
        this.start();
      });
    }
  }
}
