import type { ProtoTypes } from "../common/rpc/ProtoTypes.ts";
import type { TargetId } from "../common/ids/TargetId.ts";

type Target = ProtoTypes["Target"];

/** What is remembered of targets that were here, at most: one for each of the last so many restarts. */
const REMEMBERED = 64;

/** One target beside this sidecar, or one that was. */
interface Known {
  /** As it announced itself last; undefined for one that was only heard to leave. */
  target: Target | undefined;
  /** The life that this is known of: see `Target.born`. */
  readonly born: number;
  announcedAt: number;
  /** Number of the newest announcement of this life. */
  sequence: number;
  /** `replaced`: another target announced itself at its address. `left`: it said goodbye. */
  state: "here" | "replaced" | "left";
  /** Announcements since it was replaced. */
  comebacks: number;
}

/** A replaced target is believed to be back after this many new announcements: one may have been on its way for long. */
const COMEBACKS_BELIEVED = 2;

/**
 * A target that said goodbye without telling its life is believed to have started again after this
 * many announcements: two may have been on their way when it left.
 */
const RESTART_BELIEVED = 3;

/**
 * The targets beside this sidecar, from their announcements. Announcements may arrive
 * late, after their sender has ended and another target, or another life of the same
 * one, has taken its address: the newest life of each target counts, and its newest
 * number; a life that has left never comes back, and a target whose address has gone to
 * another must be heard of twice to be believed.
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
    const isSameLife = known?.born === target.born;
    if (known && !isSameLife && this.#isOlderLife(target, known)) {
      return false;
    }
    if (known && isSameLife && (known.state === "left" || sequence < known.sequence)) {
      return false;
    }
    const isDoubtful =
      known && !isSameLife ? isUnnamedGoodbye(known) : !this.#isBelieved(target, sequence, known);
    if (isDoubtful) {
      return false;
    }
    this.#replaceOthersAt(target);
    this.#remember(target.target_id, {
      target,
      born: target.born,
      announcedAt: this.#now(),
      sequence,
      state: "here",
      comebacks: 0,
    });
    return true;
  }

  /** Records that a target has said goodbye, in the life that began at `born`; 0 where it does not tell. */
  withdraw(id: TargetId, born = 0): void {
    const known = this.#known.get(id);
    if (known && (born === 0 || born === known.born)) {
      known.state = "left";
      return;
    }
    if (known && born < known.born) {
      return; // Of a life before the one that is here.
    }
    // A goodbye may be the first that a restarted sidecar hears of a target: without this
    // entry, an announcement that was held up on its way would bring the target back.
    this.#remember(id, {
      target: undefined,
      born,
      announcedAt: this.#now(),
      sequence: Infinity,
      state: "left",
      comebacks: 0,
    });
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
    return [...this.#known.values()]
      .filter((k) => k.state === "here" && this.#isFresh(k))
      .flatMap(({ target }) => target ?? []);
  }

  /** Forgets every target: this sidecar is being stopped. */
  clear(): void {
    for (const known of this.#known.values()) {
      known.state = "left";
    }
  }

  #isFresh({ announcedAt }: Known): boolean {
    return announcedAt >= this.#now() - this.#timeoutMs;
  }

  /**
   * Whether an announcement is of a life before the one that is known. Starts are told
   * by a clock that may be set back between two lives, so once the later one has been
   * silent for as long as takes a target as gone, whichever speaks is here.
   */
  #isOlderLife(target: Target, known: Known): boolean {
    if (target.born === 0) {
      return known.state === "left" || this.#isFresh(known);
    }
    return target.born < known.born && this.#isFresh(known);
  }

  /** Whether an announcement is to be acted on; where its address is another's, only once it is repeated. */
  #isBelieved(target: Target, sequence: number, known: Known | undefined): boolean {
    if (known?.state === "replaced" && ++known.comebacks < COMEBACKS_BELIEVED) {
      known.sequence = sequence;
      return false;
    }
    if (!known && this.#isHeldByLater(target)) {
      this.#remember(target.target_id, {
        target,
        born: target.born,
        announcedAt: this.#now(),
        sequence,
        state: "replaced",
        comebacks: 0,
      });
      return false;
    }
    return true;
  }

  /** A target that started later announces itself at the same address: this one has likely ended. */
  #isHeldByLater({ url, born, target_id: id }: Target): boolean {
    return [...this.#known.values()].some(
      ({ target: other, ...known }) =>
        known.state === "here" &&
        other?.url === url &&
        other.target_id !== id &&
        born > 0 &&
        known.born > born &&
        known.announcedAt >= this.#now() - this.#timeoutMs,
    );
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

  #remember(id: string, known: Known): void {
    this.#known.set(id, known);
    for (const [old, { state }] of this.#known) {
      if (this.#known.size <= REMEMBERED) {
        return;
      }
      if (state !== "here") {
        this.#known.delete(old);
      }
    }
  }
}

/** Whether only a goodbye is known, of whatever life; an announcement may be of the same one, held up. */
function isUnnamedGoodbye(known: Known): boolean {
  return known.state === "left" && known.born === 0 && ++known.comebacks < RESTART_BELIEVED;
}
