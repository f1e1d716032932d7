import type { AttemptId } from "../../common/ids/AttemptId.ts";
import type { GrantId } from "../../common/ids/GrantId.ts";
import type { Clock } from "../../common/lifecycle/Clock.ts";
import type { ForwardResult } from "../forwarding/ForwardResult.ts";
import { MemoryAccount } from "../memory/MemoryAccount.ts";
import type { MemoryHold } from "../memory/MemoryHold.ts";
import { MemoryHolder } from "../memory/MemoryHolder.ts";

/** State of a run, as reported to a sender that reattaches to it. */
export type RunState =
  | { readonly kind: "running"; readonly result: Promise<ForwardResult> }
  | { readonly kind: "ended"; readonly result: ForwardResult }
  /** It ended, and its result is not retained, or no longer. */
  | { readonly kind: "forgotten" }
  | { readonly kind: "unknown" };

/** Total size of the responses retained for reattaching senders, bytes: a tenth of the process's memory. */
const MAX_RETAINED_BYTES = 32 << 20;

/**
 * How long a run is retained after its end or its request's deadline, whichever is later, ms. A request that was
 * delayed by a network partition or by a suspended VM is then still recognized when it arrives.
 */
const RETENTION_MS = 60_000;

/** Least interval between removals of old runs, ms. */
const SWEEP_MS = 10_000;

/** Identifies a run. */
interface RunRef {
  readonly attempt: AttemptId;
  readonly grant: GrantId;
}

interface Entry {
  readonly attempt: AttemptId;
  /** Set while the run is in progress. */
  running: Promise<ForwardResult> | undefined;
  result: ForwardResult | undefined;
  /** Later of the end of the run and the deadline of its request, by the clock, ms; infinite while it runs. */
  closedAt: number;
}

/**
 * Records every run at the local targets, and retains its result for a while. A sender that lost its connection can
 * reattach over a new one and gets the same result, so that a broken connection between two sidecars neither leaves
 * the outcome of a request unknown nor makes it run twice.
 */
export class RunTable {
  readonly #clock: Clock;
  readonly #entries = new Map<GrantId, Entry>();
  readonly #memory: MemoryAccount;
  readonly #hold: MemoryHold;
  #retainedBytes = 0;
  #sweptAt = 0;

  /** @param memory counts the retained responses, and has them dropped when it is full; by default it does neither */
  constructor(clock: Clock, memory = new MemoryAccount()) {
    this.#clock = clock;
    this.#memory = memory;
    this.#hold = memory.hold(MemoryHolder.Retained);
    memory.onFull(() => {
      this.#dropOldest();
    });
  }

  /**
   * Tracks a run from its start to its end.
   *
   * @param deadlineAt until when the sender may reattach, by the clock, ms
   */
  track({ attempt, grant }: RunRef, run: Promise<ForwardResult>, deadlineAt: number): void {
    this.#sweep();
    const entry: Entry = { attempt, running: run, result: undefined, closedAt: Infinity };
    this.#entries.set(grant, entry);
    void run.then((result) => {
      entry.running = undefined;
      entry.closedAt = Math.max(this.#clock.now(), deadlineAt);
      this.#retainResult(entry, result);
    });
  }

  /** State of the run of `attempt` that used `grant`; that of another attempt is unknown. */
  state({ attempt, grant }: RunRef): RunState {
    const entry = this.#entries.get(grant);
    if (entry?.attempt !== attempt) {
      return { kind: "unknown" };
    }
    if (entry.running) {
      return { kind: "running", result: entry.running };
    }
    return entry.result ? { kind: "ended", result: entry.result } : { kind: "forgotten" };
  }

  /** Number of runs retained. */
  get size(): number {
    return this.#entries.size;
  }

  #retainResult(entry: Entry, result: ForwardResult): void {
    const bytes = replayableBytes(result);
    if (bytes === undefined) {
      return; // A streamed response has been consumed and cannot be sent again.
    }
    entry.result = result;
    this.#retainedBytes += bytes;
    this.#hold.add(bytes);
    this.#dropOldest();
  }

  /** Drops the oldest results while there are too many. */
  #dropOldest(): void {
    for (const old of this.#entries.values()) {
      if (this.#retainedBytes <= MAX_RETAINED_BYTES && !this.#memory.mustDropRetained) {
        return;
      }
      this.#dropResult(old);
    }
  }

  #dropResult(entry: Entry): void {
    if (entry.result) {
      const bytes = replayableBytes(entry.result) ?? 0;
      this.#retainedBytes -= bytes;
      this.#hold.add(-bytes);
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

/** Size of a response that can be sent again, bytes; undefined for a streamed one, which cannot. */
function replayableBytes(result: ForwardResult): number | undefined {
  if (!("body" in result)) {
    return 0;
  }
  return Buffer.isBuffer(result.body) ? result.body.length : undefined;
}
