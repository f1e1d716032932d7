import type { ProtoTypes } from "../common/rpc/ProtoTypes.ts";
import type { TargetId } from "../common/ids/TargetId.ts";

type Target = ProtoTypes["Target"];

/** What is remembered of targets that were here, at most: one for each of the last so many restarts. */
const REMEMBERED = 64;

/** One target beside this sidecar, or one that was. */
interface Known {
  /** As it announced itself last; undefined for one that was only heard to leave. */
  target: Target | undefined;
  announcedAt: number;
  /** Number of its newest announcement. */
  sequence: number;
  /** `replaced`: another target announced itself at its address. `left`: it said goodbye. */
  state: "here" | "replaced" | "left";
  /** Announcements since it was replaced. */
  comebacks: number;
}

/** A replaced target is believed to be back after this many new announcements: one may have been on its way for long. */
const COMEBACKS_BELIEVED = 2;

/**
 * The targets beside this sidecar, from their announcements. Announcements may arrive
 * late, after their sender has ended and another target has taken its address: the
 * newest number of each target counts, one that has left never comes back, and one
 * whose address has gone to another must be heard of twice to be believed.
 */
export class LocalTargets {
  readonly #now: () => number;
  readonly #timeoutMs: number;
  readonly #known = new Map<string, Known>();

  /**
   * @param now steady clock, ms
   * @param timeoutMs a target silent for this long is taken as gone
   */
  constructor(now: () => number, timeoutMs: number) {
    this.#now = now;
    this.#timeoutMs = timeoutMs;
  }

  /** Records an announcement; false for one that says nothing new. */
  announce(target: Target, sequence: number): boolean {
    const known = this.#known.get(target.target_id);
    if (known && (known.state === "left" || sequence < known.sequence)) {
      return false;
    }
    if (known?.state === "replaced" && ++known.comebacks < COMEBACKS_BELIEVED) {
      known.sequence = sequence;
      return false;
    }
    this.#replaceOthersAt(target);
    this.#known.set(target.target_id, {
      target,
      announcedAt: this.#now(),
      sequence,
      state: "here",
      comebacks: 0,
    });
    this.#forgetOldest();
    return true;
  }

  /** Records that a target has said goodbye. */
  withdraw(id: TargetId): void {
    const known = this.#known.get(id);
    if (known) {
      known.state = "left";
      return;
    }
    // A goodbye may be the first that a restarted sidecar hears of a target: without this
    // entry, an announcement that was held up on its way would bring the target back.
    this.#known.set(id, {
      target: undefined,
      announcedAt: this.#now(),
      sequence: Infinity,
      state: "left",
      comebacks: 0,
    });
    this.#forgetOldest();
  }

  /** Another target answers at the address of `id`. */
  noteReplaced(id: TargetId): void {
    const known = this.#known.get(id);
    if (known?.state === "here") {
      known.state = "replaced";
    }
  }

  /** Targets here now. */
  live(): Target[] {
    const cutoff = this.#now() - this.#timeoutMs;
    return [...this.#known.values()]
      .filter((k) => k.state === "here" && k.announcedAt >= cutoff)
      .flatMap(({ target }) => target ?? []);
  }

  /** Forgets every target: this sidecar is being stopped. */
  clear(): void {
    for (const known of this.#known.values()) {
      known.state = "left";
    }
  }

  #replaceOthersAt(target: Target): void {
    for (const other of this.#known.values()) {
      const sameAddress = other.target?.url === target.url;
      if (sameAddress && other.target?.target_id !== target.target_id && other.state === "here") {
        other.state = "replaced";
        other.comebacks = 0;
      }
    }
  }

  #forgetOldest(): void {
    for (const [id, { state }] of this.#known) {
      if (this.#known.size <= REMEMBERED) {
        return;
      }
      if (state !== "here") {
        this.#known.delete(id);
      }
    }
  }
}
