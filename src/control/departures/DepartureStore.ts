import type bunyan from "bunyan";
import type { Clock } from "../../common/lifecycle/Clock.ts";
import type { IDisposable } from "../../common/lifecycle/IDisposable.ts";
import type { Timer } from "../../common/lifecycle/Timer.ts";
import type { ProtoTypes } from "../../common/rpc/ProtoTypes.ts";
import type { SyncedJournal } from "../../common/storage/SyncedJournal.ts";
import { MAX_ANNOUNCEMENT_DELAY_MS } from "../../membership/departures/MAX_ANNOUNCEMENT_DELAY_MS.ts";

type Departure = ProtoTypes["Departure"];

/** Time for which departures are kept, ms; also from a restart of this replica on, as wall clocks may be set. */
const RETENTION_MS = 60_000;

/** Number of lines above which the file is rewritten without the departures that are past their time. */
const MAX_LINES = 1000;

/** A line of the file: a departure of a sidecar's target, or that this disk has all departures that matter. */
type Line =
  | { readonly kind: "departure"; readonly sidecar: string; readonly departure: Departure }
  | { readonly kind: "complete" };

interface Entry {
  readonly sidecar: string;
  readonly departure: Departure;
  readonly at: number;
}

interface DepartureStoreDeps {
  readonly journal: SyncedJournal<Line>;
  /** Whether no departure can have been sent to the replica that it is part of before. */
  readonly isFirstStart: boolean;
  readonly clock: Clock;
  readonly log: bunyan;
}

/**
 * The departures of targets that sidecars have sent to this control replica, on its disk, so that they outlive a kill of
 * all processes. A replica whose disk was lost may lack some: it is not complete until those no longer matter.
 */
export class DepartureStore implements IDisposable {
  readonly #deps: DepartureStoreDeps;
  readonly #startedAt: number;
  readonly #entries = new Map<string, Entry>();
  /** Whether the file says that this disk has all departures that matter. */
  #isMarked: boolean;
  #lines = 0;
  #timer: Timer | undefined;

  /** @throws StorageError if the file can't be read */
  constructor(deps: DepartureStoreDeps) {
    this.#deps = deps;
    this.#startedAt = deps.clock.now();
    const { entries, corruptLines } = deps.journal.read();
    if (corruptLines > 0) {
      deps.log.error({ corruptLines }, "departures: the file is damaged");
    }
    for (const line of entries) {
      if (line.kind === "departure") {
        this.#add(line.sidecar, line.departure);
      }
    }
    const wasComplete = corruptLines === 0 && entries.some((line) => line.kind === "complete");
    this.#isMarked = wasComplete || deps.isFirstStart;
  }

  /** Whether this replica has all departures that it was ever sent and that still matter. */
  get isComplete(): boolean {
    return this.#isMarked || this.#deps.clock.now() - this.#startedAt >= MAX_ANNOUNCEMENT_DELAY_MS;
  }

  /** What it has of the departures of a sidecar's targets. */
  of(sidecar: string): Departure[] {
    const cutoff = this.#deps.clock.now() - RETENTION_MS;
    return [...this.#entries.values()]
      .filter((e) => e.sidecar === sidecar && e.at >= cutoff)
      .map((e) => e.departure);
  }

  /** Stores departures; rejects with a StorageError if they are not on disk. */
  async store(sidecar: string, departed: readonly Departure[]): Promise<void> {
    const { journal } = this.#deps;
    const due = departed.filter((d) => !this.#isStored(sidecar, d));
    if (due.length === 0) {
      return;
    }
    if (journal.needsRewrite || this.#lines > MAX_LINES || this.isComplete !== this.#isMarked) {
      this.#rewrite();
    }
    this.#lines += due.length;
    await Promise.all(
      due.map((departure) => journal.append({ kind: "departure", sidecar, departure })),
    );
    for (const departure of due) {
      this.#add(sidecar, departure);
    }
  }

  /** Writes the file, and once more when this replica becomes complete. */
  open(): void {
    const { clock, log } = this.#deps;
    log.info({ isComplete: this.isComplete, departures: this.#entries.size }, "departures loaded");
    this.#tryRewrite();
    if (!this.#isMarked) {
      this.#timer = clock.after(MAX_ANNOUNCEMENT_DELAY_MS, () => {
        this.#tryRewrite();
      });
    }
  }

  dispose(): Promise<void> {
    this.#timer?.cancel();
    return this.#deps.journal.dispose();
  }

  /** If the file can't be written, the next departure tries it again. */
  #tryRewrite(): void {
    try {
      this.#rewrite();
    } catch (err) {
      this.#deps.log.warn({ err }, "departures: the file can't be written");
    }
  }

  #rewrite(): void {
    const cutoff = this.#deps.clock.now() - RETENTION_MS;
    for (const [key, { at }] of this.#entries) {
      if (at < cutoff) {
        this.#entries.delete(key);
      }
    }
    const { isComplete } = this;
    const lines = [...this.#entries.values()].map(({ sidecar, departure }): Line => ({
      kind: "departure",
      sidecar,
      departure,
    }));
    this.#deps.journal.rewrite([...lines, ...(isComplete ? [{ kind: "complete" } as const] : [])]);
    this.#isMarked = isComplete;
    this.#lines = lines.length + 1;
  }

  /** Whether a departure is on disk, and is kept for as long as announcements from before it can arrive. */
  #isStored(sidecar: string, departure: Departure): boolean {
    const { at = -Infinity } = this.#entries.get(keyOf(sidecar, departure)) ?? {};
    return at >= this.#deps.clock.now() - RETENTION_MS + MAX_ANNOUNCEMENT_DELAY_MS;
  }

  #add(sidecar: string, departure: Departure): void {
    const key = keyOf(sidecar, departure);
    this.#entries.set(key, { sidecar, departure, at: this.#deps.clock.now() });
  }
}

function keyOf(sidecar: string, { target_id: id, born, sequence, left }: Departure): string {
  return JSON.stringify([sidecar, id, born, sequence, left]);
}
