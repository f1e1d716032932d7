import type { ProtoTypes } from "../common/rpc/ProtoTypes.ts";
import type { TargetId } from "../common/ids/TargetId.ts";
import type { AnnouncedTarget } from "./AnnouncedTarget.ts";
import type { TargetInfo } from "./TargetInfo.ts";
import { TargetState } from "./TargetState.ts";

type Target = ProtoTypes["Target"];

/** Number of entries above which former targets are dropped: room for one per restart, over this many restarts. */
const MAX_ENTRIES = 64;

/** What is known of one current or former target on this VM. */
interface TargetEntry {
  /** Its last announcement; undefined if only its withdrawal was received. */
  target: AnnouncedTarget | undefined;
  /** Start time of the incarnation described here; see `Target.born`. */
  readonly born: number;
  /** Time of its last announcement, ms. */
  announcedAt: number;
  /** Sequence number of the newest announcement of this incarnation. */
  sequence: number;
  /**
   * `here`: live while it announces itself in time. `replaced`: another target uses its address, or none does. `left`: it
   * was withdrawn.
   */
  state: "here" | "replaced" | "left";
  /** Announcements received since it was replaced or withdrawn. */
  repeats: number;
  /** When it last said in a response that it is leaving, ms; undefined if it did not. */
  leavingAt: number | undefined;
  /** See `Target.resumed`. */
  resumed: number;
}

/** An incarnation that has not said that it is leaving. */
const NEVER_LEFT = { leavingAt: undefined, resumed: 0 } as const;

/** Identifies an incarnation of a target. */
type TargetRef = Pick<TargetInfo, "id" | "born">;

/** A replaced target is live again after this many new announcements, since a single one may have been delayed. */
const RETURN_AFTER_REPEATS = 2;

/**
 * A target that was withdrawn without its start time is considered restarted after this many announcements,
 * since two may have been in flight when it left.
 */
const RESTART_AFTER_REPEATS = 3;

/**
 * The targets on this sidecar's VM, from their announcements. An announcement may arrive
 * late, after its sender has ended and another target, or a new incarnation of the same
 * one, uses its address. So only the newest incarnation of each target counts, and its newest
 * sequence number. An incarnation that has left never comes back, and a target whose address
 * was taken by another one must announce itself twice to be live again.
 */
export class LocalTargets {
  readonly #now: () => number;
  readonly #timeoutMs: number;
  readonly #known = new Map<string, TargetEntry>();

  /**
   * @param now monotonic clock, ms
   * @param timeoutMs a target that has not announced itself for this long is considered gone
   */
  constructor(now: () => number, timeoutMs: number) {
    this.#now = now;
    this.#timeoutMs = timeoutMs;
  }

  /** Records an announcement; false if it is outdated or not yet to be trusted. */
  announce(target: AnnouncedTarget, sequence: number): boolean {
    const known = this.#known.get(target.target_id);
    const isSameIncarnation = known?.born === target.born;
    if (known && !isSameIncarnation && this.#isOlderIncarnation(target, known)) {
      return false;
    }
    if (known && isSameIncarnation && (known.state === "left" || sequence < known.sequence)) {
      return false;
    }
    const isUnconfirmed =
      known && !isSameIncarnation
        ? isUnconfirmedRestart(known)
        : !this.#isConfirmed(target, sequence, known);
    if (isUnconfirmed) {
      return false;
    }
    this.#replaceOthersAt(target);
    const { leavingAt, resumed } = isSameIncarnation ? known : NEVER_LEFT;
    this.#store(target.target_id, {
      target,
      born: target.born,
      announcedAt: this.#now(),
      sequence,
      state: "here",
      repeats: 0,
      leavingAt,
      resumed,
    });
    return true;
  }

  /** Records that a target has left. `born` is the start time of the incarnation that left; 0 if not given. */
  withdraw(id: TargetId, born = 0): void {
    const known = this.#known.get(id);
    if (known && (born === 0 || born === known.born)) {
      known.state = "left";
      return;
    }
    if (known && born < known.born) {
      return; // From an incarnation before the known one.
    }
    // After a restart of this sidecar, a withdrawal may be the first message about a target. Without
    // this entry, an announcement delayed on its way would bring the target back.
    this.#store(id, {
      target: undefined,
      born,
      announcedAt: this.#now(),
      sequence: Infinity,
      state: "left",
      repeats: 0,
      ...NEVER_LEFT,
    });
  }

  /** Records that another target responds at the address of `id`. */
  noteReplaced(id: TargetId): void {
    const known = this.#known.get(id);
    if (known?.state === "here") {
      known.state = "replaced";
    }
  }

  /**
   * Records that the process of target `id` has ended. A process that is started again under the same id counts its
   * announcements anew.
   */
  noteEnded(id: TargetId): void {
    const known = this.#known.get(id);
    if (known?.state === "here") {
      known.state = "replaced";
      known.repeats = 0;
      known.sequence = 0;
    }
  }

  /**
   * Records that an incarnation of a target has said in a response that it is leaving. It gets no new requests from then
   * on, whatever it announces; true if that is new.
   */
  noteLeaving({ id, born }: TargetRef): boolean {
    const known = this.#incarnation(id, born);
    const isNew = known !== undefined && known.leavingAt === undefined;
    if (known) {
      known.leavingAt = this.#now();
    }
    return isNew;
  }

  /**
   * Records that an incarnation of a target has said in a health check that it is not leaving; true if that is new.
   *
   * @param resumed a value that has not been used for this target; see `Target.resumed`
   */
  noteResumed({ id, born }: TargetRef, resumed: number): boolean {
    const known = this.#incarnation(id, born);
    if (!known || (known.leavingAt === undefined && known.resumed !== 0)) {
      return false;
    }
    known.leavingAt = undefined;
    known.resumed = resumed;
    return true;
  }

  /** When a target last said in a response that it is leaving, ms; undefined if it did not. */
  leavingAt({ id, born }: TargetRef): number | undefined {
    return this.#incarnation(id, born)?.leavingAt;
  }

  /** The state in a target's last announcement. */
  announcedState({ id, born }: TargetRef): string | undefined {
    return this.#incarnation(id, born)?.target?.state;
  }

  #incarnation(id: string, born: number): TargetEntry | undefined {
    const known = this.#known.get(id);
    return known?.born === born ? known : undefined;
  }

  /** The live targets. */
  live(): Target[] {
    return [...this.#known.values()]
      .filter((k) => k.state === "here" && this.#isFresh(k))
      .flatMap(({ target, leavingAt, resumed }) => {
        const leaving = leavingAt === undefined ? {} : { state: TargetState.Draining };
        return target ? [{ ...target, ...leaving, resumed }] : [];
      });
  }

  /** Marks every target as left, because this sidecar is being stopped. */
  clear(): void {
    for (const known of this.#known.values()) {
      known.state = "left";
    }
  }

  #isFresh({ announcedAt }: TargetEntry): boolean {
    return announcedAt >= this.#now() - this.#timeoutMs;
  }

  /**
   * Whether an announcement comes from an incarnation before the known one. Start times come
   * from a clock that may be set back between two incarnations. So once the seemingly later one has
   * been silent for the timeout, the one that announces itself is accepted.
   */
  #isOlderIncarnation(target: AnnouncedTarget, known: TargetEntry): boolean {
    if (target.born === 0) {
      return known.state === "left" || this.#isFresh(known);
    }
    return target.born < known.born && this.#isFresh(known);
  }

  /** Whether to accept an announcement; if another target uses its address, it must be repeated first. */
  #isConfirmed(target: AnnouncedTarget, sequence: number, known: TargetEntry | undefined): boolean {
    if (known?.state === "replaced" && ++known.repeats < RETURN_AFTER_REPEATS) {
      known.sequence = sequence;
      return false;
    }
    if (!known && this.#isAddressUsedByNewer(target)) {
      this.#store(target.target_id, {
        target,
        born: target.born,
        announcedAt: this.#now(),
        sequence,
        state: "replaced",
        repeats: 0,
        ...NEVER_LEFT,
      });
      return false;
    }
    return true;
  }

  /** Whether a target that started later is live at the same address, so that this one has likely ended. */
  #isAddressUsedByNewer({ url, born, target_id: id }: AnnouncedTarget): boolean {
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

  #replaceOthersAt(target: AnnouncedTarget): void {
    for (const other of this.#known.values()) {
      const isSameAddress = other.target?.url === target.url;
      if (isSameAddress && other.target?.target_id !== target.target_id && other.state === "here") {
        other.state = "replaced";
        other.repeats = 0;
      }
    }
  }

  #store(id: string, known: TargetEntry): void {
    this.#known.set(id, known);
    for (const [old, { state }] of this.#known) {
      if (this.#known.size <= MAX_ENTRIES) {
        return;
      }
      if (state !== "here") {
        this.#known.delete(old);
      }
    }
  }
}

/**
 * Counts an announcement after a withdrawal without a start time; true while it may be a delayed one of the
 * incarnation that left.
 */
function isUnconfirmedRestart(known: TargetEntry): boolean {
  return known.state === "left" && known.born === 0 && ++known.repeats < RESTART_AFTER_REPEATS;
}
