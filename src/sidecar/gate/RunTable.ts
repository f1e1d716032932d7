import type { GrantId } from "../../common/ids/GrantId.ts";
import type { Clock } from "../../common/lifecycle/Clock.ts";
import type { ForwardResult } from "../forwarding/ForwardResult.ts";

/** How a run stands that someone asks for again. */
export type RunState =
  | { readonly kind: "running"; readonly result: Promise<ForwardResult> }
  | { readonly kind: "ended"; readonly result: ForwardResult }
  /** It ended, and its answer is not kept (any more). */
  | { readonly kind: "forgotten" }
  | { readonly kind: "unknown" };

/** Answers kept for those whose connection was lost, all together, bytes: a tenth of the process's memory. */
const MAX_RETAINED_BYTES = 32 << 20;

/**
 * How long a run is remembered after its end and its request's deadline, ms: so that a request delayed in a cut is
 * known when it arrives, also one from a machine that was suspended.
 */
const RETENTION_MS = 60_000;

/** How often old runs are dropped, ms. */
const SWEEP_MS = 10_000;

interface Entry {
  /** Set while it runs. */
  running: Promise<ForwardResult> | undefined;
  result: ForwardResult | undefined;
  /** Its end, or its request's deadline if that is later; by the clock, ms. */
  closedAt: number;
}

/**
 * Every run at the target beside this sidecar, and its answer for a
 * while. Whoever asked for it may ask again over a new connection and gets the same
 * answer: a connection lost between two sidecars then leaves no request in doubt, and
 * none runs twice.
 */
export class RunTable {
  readonly #clock: Clock;
  readonly #entries = new Map<GrantId, Entry>();
  #retainedBytes = 0;
  #sweptAt = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * Notes a run from its start to its end.
   *
   * @param deadlineAt whoever sent it may ask for its result until then, by the clock, ms
   */
  track(grant: GrantId, run: Promise<ForwardResult>, deadlineAt: number): void {
    this.#sweep();
    const entry: Entry = { running: run, result: undefined, closedAt: Infinity };
    this.#entries.set(grant, entry);
    void run.then((result) => {
      entry.running = undefined;
      entry.closedAt = Math.max(this.#clock.now(), deadlineAt);
      this.#retainResult(entry, result);
    });
  }

  /** How the run stands that took `grant`. */
  state(grant: GrantId): RunState {
    const entry = this.#entries.get(grant);
    if (!entry) {
      return { kind: "unknown" };
    }
    if (entry.running) {
      return { kind: "running", result: entry.running };
    }
    return entry.result ? { kind: "ended", result: entry.result } : { kind: "forgotten" };
  }

  /** Runs remembered. */
  get size(): number {
    return this.#entries.size;
  }

  #retainResult(entry: Entry, result: ForwardResult): void {
    const bytes = replayableBytes(result);
    if (bytes === undefined) {
      return; // A streamed answer went out once and cannot be given again.
    }
    entry.result = result;
    this.#retainedBytes += bytes;
    for (const old of this.#entries.values()) {
      if (this.#retainedBytes <= MAX_RETAINED_BYTES) {
        return;
      }
      this.#dropResult(old);
    }
  }

  #dropResult(entry: Entry): void {
    if (entry.result) {
      this.#retainedBytes -= replayableBytes(entry.result) ?? 0;
      entry.result = undefined;
    }
  }

  #sweep(): void {
    const now = this.#clock.now();
    if (now - this.#sweptAt < SWEEP_MS) {
      return;
    }
    this.#sweptAt = now;
    for (const [grant, entry] of this.#entries) {
      if (now - entry.closedAt > RETENTION_MS) {
        this.#dropResult(entry);
        this.#entries.delete(grant);
      }
    }
  }
}

/** Bytes of an answer that can be given again; undefined for one that cannot. */
function replayableBytes(result: ForwardResult): number | undefined {
  if (!("body" in result)) {
    return 0;
  }
  return Buffer.isBuffer(result.body) ? result.body.length : undefined;
}
