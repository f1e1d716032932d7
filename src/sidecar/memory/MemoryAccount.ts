import type { MemoryHold } from "./MemoryHold.ts";
import { MemoryHolder } from "./MemoryHolder.ts";

/**
 * Shares of the limit from which each measure applies, in the order in which memory is freed:
 *
 * 1. new requests are refused as not run, which leaves a quarter for the responses to those that are running;
 * 2. nested calls are refused, which fails the runs that make them;
 * 3. responses that would be buffered whole are streamed, so that their senders can no longer reattach to the runs;
 * 4. retained responses are dropped, so that a sender which has lost its connection finds its outcome unknown.
 *
 * A response that is ready is always delivered.
 */
const SHARES = { refuseNew: 0.75, refuseNested: 0.85, stream: 0.9, dropRetained: 1 } as const;

/** Share of the limit that retained responses may take, so that they alone cause no refusal. */
const RETAINED_SHARE = 0.25;

interface MemoryAccountDeps {
  /** The limit on the bytes held, which may change; undefined for none. */
  readonly maxHeldBytes: () => number | undefined;
  /** Called when the account begins to refuse new requests, and when it no longer does. */
  readonly onChange?: (isRefusing: boolean, heldBytes: Readonly<Record<string, number>>) => void;
}

/**
 * Counts the bytes that a sidecar holds for others, by holder, and says which measures apply at that level. Without a
 * limit it only counts.
 */
export class MemoryAccount {
  readonly #deps: MemoryAccountDeps;
  readonly #byHolder = new Map<MemoryHolder, number>(
    Object.values(MemoryHolder).map((holder) => [holder, 0]),
  );
  #dropRetained: () => void = () => undefined;
  #total = 0;
  #isRefusing = false;

  constructor(deps: MemoryAccountDeps = { maxHeldBytes: () => undefined }) {
    this.#deps = deps;
  }

  /** Counts `bytes` for `holder` until the hold is released. Never refuses: its callers ask before they accept work. */
  hold(holder: MemoryHolder, bytes = 0): MemoryHold {
    let held = 0;
    let isReleased = false;
    const add = (more: number) => {
      if (!isReleased) {
        held += more;
        this.#add(holder, more);
      }
    };
    add(bytes);
    return {
      add,
      release: () => {
        add(-held);
        isReleased = true;
      },
    };
  }

  /** Bytes held, by holder. */
  get heldBytes(): Readonly<Record<string, number>> {
    return Object.fromEntries(this.#byHolder);
  }

  /** Whether a new request must be refused as not run. */
  refuses({ isNestedCall }: { readonly isNestedCall: boolean }): boolean {
    return this.#exceeds(isNestedCall ? SHARES.refuseNested : SHARES.refuseNew);
  }

  /** Whether responses must be streamed that would otherwise be buffered whole. */
  get mustStream(): boolean {
    return this.#exceeds(SHARES.stream);
  }

  /** Whether the oldest retained response must be dropped. */
  get mustDropRetained(): boolean {
    const retained = this.#byHolder.get(MemoryHolder.Retained) ?? 0;
    return (
      retained > 0 && (this.#exceeds(SHARES.dropRetained) || retained > this.#max * RETAINED_SHARE)
    );
  }

  /** Sets what drops retained responses while {@link mustDropRetained}. */
  onFull(dropRetained: () => void): void {
    this.#dropRetained = dropRetained;
  }

  get #max(): number {
    return this.#deps.maxHeldBytes() ?? Infinity;
  }

  #exceeds(share: number): boolean {
    return this.#total > this.#max * share;
  }

  #add(holder: MemoryHolder, bytes: number): void {
    this.#total += bytes;
    this.#byHolder.set(holder, (this.#byHolder.get(holder) ?? 0) + bytes);
    if (bytes > 0 && this.mustDropRetained) {
      this.#dropRetained();
    }
    const isRefusing = this.refuses({ isNestedCall: false });
    if (isRefusing !== this.#isRefusing) {
      this.#isRefusing = isRefusing;
      this.#deps.onChange?.(isRefusing, this.heldBytes);
    }
  }
}
