import type { ProtoTypes } from "../common/rpc/ProtoTypes.ts";
import { TargetId } from "../common/ids/TargetId.ts";
import type { AnnouncedTarget } from "./AnnouncedTarget.ts";
import { MAX_ANNOUNCEMENT_DELAY_MS } from "./departures/MAX_ANNOUNCEMENT_DELAY_MS.ts";
import type { TargetInfo } from "./TargetInfo.ts";
import { TargetState } from "./TargetState.ts";

type Target = ProtoTypes["Target"];
type Departure = ProtoTypes["Departure"];

/** Number of entries above which former targets are dropped: room for one per restart, over this many restarts. */
const MAX_ENTRIES = 64;

/**
 * Time for which a target's withdrawal or draining is published, ms. Announcements that are delayed for longer than that
 * over a restart of this sidecar are not guarded against.
 */
const DEPARTURE_RETENTION_MS = 60_000;

/** Maximum number of published departures, some 40 bytes each, so that an entry fits into a datagram; the newest count. */
const MAX_PUBLISHED_DEPARTURES = 16;

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
   * was withdrawn. `held`: it may have left before this sidecar was restarted; see {@link LocalTargets.beginRecovery}.
   */
  state: "here" | "replaced" | "left" | "held";
  /** Announcements received since it was replaced. */
  repeats: number;
  /** That it has withdrawn or announces itself as draining; undefined while it does neither. */
  departure: (Pick<Departure, "sequence" | "left"> & { readonly at: number }) | undefined;
  /** When it last said in a response that it is leaving, ms; undefined if it did not. */
  leavingAt: number | undefined;
  /** See `Target.resumed`. */
  resumed: number;
}

/** An incarnation that has not said that it is leaving. */
const NEVER_LEFT = { leavingAt: undefined, resumed: 0 } as const;

/** Identifies an incarnation of a target. */
type TargetRef = Pick<TargetInfo, "id" | "born">;

/** A replaced target is live after this many new announcements, since a single one may have been delayed. */
const RETURN_AFTER_REPEATS = 2;

/**
 * The targets on this sidecar's VM, from their announcements. An announcement may arrive
 * late, after its sender has ended and another target, or a new incarnation of the same
 * one, uses its address. So only the newest incarnation of each target counts, and its newest
 * sequence number. An incarnation that has left never comes back, and a target whose address
 * was taken by another one must announce itself twice to be live again.
 *
 * A restarted sidecar does not know which targets have left before. It therefore holds targets that announce themselves as
 * ready, however often, until other members have shown which departures its earlier incarnations have acknowledged, or
 * until no announcement from before its start can be on its way any more: see docs/design/departures.md.
 */
export class LocalTargets {
  readonly #now: () => number;
  readonly #timeoutMs: number;
  readonly #known = new Map<string, TargetEntry>();
  readonly #startedAt: number;
  #isRecovering = false;

  /**
   * @param now monotonic clock, ms
   * @param timeoutMs a target that has not announced itself for this long is considered gone
   */
  constructor(now: () => number, timeoutMs: number) {
    this.#now = now;
    this.#timeoutMs = timeoutMs;
    this.#startedAt = now();
  }

  /** Whether it is still unknown which targets have left before this sidecar was restarted. */
  get isRecovering(): boolean {
    return this.#isRecovering;
  }

  /** Time since this process was started, without times in which it was stalled, ms. */
  get runningMs(): number {
    return this.#now() - this.#startedAt;
  }

  /** Holds targets that announce themselves as ready until {@link endRecovery} or {@link expireRecovery}. */
  beginRecovery(): void {
    this.#isRecovering = true;
  }

  /**
   * Ends the recovery without knowledge of the departures before the start, once {@link MAX_ANNOUNCEMENT_DELAY_MS} have
   * passed. A held target may be one that has left, so only its next announcement makes it live.
   */
  expireRecovery(): void {
    this.#isRecovering = false;
    for (const [id, { state }] of this.#known) {
      if (state === "held") {
        this.#known.delete(id);
      }
    }
  }

  /** Makes the held targets live: all departures that were acknowledged before the start are known. */
  endRecovery(): void {
    this.#isRecovering = false;
    for (const known of this.#known.values()) {
      if (known.state === "held" && known.target) {
        this.#replaceOthersAt(known.target);
        known.state = "here";
      }
    }
  }

  /** Records an announcement; false if it is outdated or not yet to be trusted. */
  announce(target: AnnouncedTarget, sequence: number): boolean {
    const known = this.#known.get(target.target_id);
    const isSameIncarnation = known?.born === target.born;
    if (known && !isSameIncarnation && this.#isOlderIncarnation(target, known)) {
      return false;
    }
    if (
      known &&
      isSameIncarnation &&
      (known.state === "left" || this.#isOutdated(known, sequence))
    ) {
      return false;
    }
    const isUnconfirmed =
      known && !isSameIncarnation
        ? known.born === 0 && this.#hasLeftLately(known)
        : !this.#isConfirmed(target, sequence, known);
    if (isUnconfirmed) {
      return false;
    }
    const same = isSameIncarnation ? known : undefined;
    const { leavingAt, resumed } = same ?? NEVER_LEFT;
    const entry = {
      target,
      born: target.born,
      announcedAt: this.#now(),
      sequence,
      departure: this.#departureIn(target, sequence, same),
      leavingAt,
      resumed,
    };
    if (this.#mustHold(target, same)) {
      this.#store(target.target_id, { ...entry, state: "held", repeats: 0 });
      return false;
    }
    this.#replaceOthersAt(target);
    this.#store(target.target_id, { ...entry, state: "here", repeats: 0 });
    return true;
  }

  /** Records that a target has left. `born` is the start time of the incarnation that left; 0 if not given. */
  withdraw(id: TargetId, born = 0): void {
    const known = this.#known.get(id);
    const departure = { sequence: 0, left: true, at: this.#now() };
    if (known && (born === 0 || born === known.born)) {
      known.state = "left";
      known.departure = departure;
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
      departure,
      ...NEVER_LEFT,
    });
  }

  /** The targets that have lately withdrawn, or that are draining. */
  departed(): Departure[] {
    const cutoff = this.#now() - DEPARTURE_RETENTION_MS;
    return [...this.#known]
      .flatMap(([target_id, { born, departure }]) =>
        departure && departure.at >= cutoff ? [{ target_id, born, ...departure }] : [],
      )
      .sort((a, b) => b.at - a.at)
      .slice(0, MAX_PUBLISHED_DEPARTURES)
      .map(({ target_id, born, sequence, left }) => ({ target_id, born, sequence, left }));
  }

  /**
   * Records the departures that this sidecar's earlier incarnation has published; true if that changes anything. Those
   * that arrive after the recovery are ignored, since a target may have started again under its id.
   */
  restore(departures: readonly Departure[]): boolean {
    return this.#isRecovering && departures.filter((d) => this.#restoreOne(d)).length > 0;
  }

  #restoreOne({ target_id: id, born, sequence, left }: Departure): boolean {
    const known = this.#known.get(id);
    if (left && born === 0 && known?.state === "held") {
      this.#known.delete(id); // It withdrew without its start time, so the announcement may be an older one.
    } else if (known && (known.born > born || (known.born === born && known.state === "left"))) {
      return false;
    }
    if (left) {
      this.withdraw(TargetId(id), born);
      return true;
    }
    if (known?.born === born) {
      return this.#restoreDraining(known, sequence);
    }
    this.#store(id, {
      target: undefined,
      born,
      announcedAt: this.#now(),
      sequence,
      state: "here",
      repeats: 0,
      departure: { sequence, left: false, at: this.#now() },
      ...NEVER_LEFT,
    });
    return true;
  }

  /** Marks a target as draining unless it has announced something newer. */
  #restoreDraining(known: TargetEntry, sequence: number): boolean {
    if (known.sequence >= sequence) {
      return false;
    }
    known.sequence = sequence;
    known.target = known.target && { ...known.target, state: TargetState.Draining };
    known.departure = { sequence, left: false, at: this.#now() };
    known.state = known.state === "held" ? "here" : known.state;
    return true;
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

  /** The departure that an announcement contains. */
  #departureIn(
    { state }: AnnouncedTarget,
    sequence: number,
    same: TargetEntry | undefined,
  ): TargetEntry["departure"] {
    const isDraining = state === (TargetState.Draining as string);
    return isDraining
      ? { sequence: same?.departure?.sequence ?? sequence, left: false, at: this.#now() }
      : undefined;
  }

  /** Whether a target that announces itself may be one that has left before this sidecar was restarted. */
  #mustHold({ state }: AnnouncedTarget, same: TargetEntry | undefined): boolean {
    const isDraining = state === (TargetState.Draining as string);
    return this.#isRecovering && !isDraining && (!same || same.state === "held");
  }

  /**
   * Whether an announcement is older than the newest one. Of a target whose draining is known from before a restart of
   * this sidecar, nothing shows that its process has ended; if it is started again, its sequence numbers begin at 1 again.
   */
  #isOutdated(known: TargetEntry, sequence: number): boolean {
    const isFromBefore = known.target === undefined;
    return (
      sequence < known.sequence && !(isFromBefore && this.runningMs >= MAX_ANNOUNCEMENT_DELAY_MS)
    );
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
    return target.born < known.born && (this.#isFresh(known) || this.#hasLeftLately(known));
  }

  /** Whether a target has withdrawn so lately that announcements from before may be on their way. */
  #hasLeftLately({ state, departure }: TargetEntry): boolean {
    const cutoff = this.#now() - MAX_ANNOUNCEMENT_DELAY_MS;
    return state === "left" && departure !== undefined && departure.at >= cutoff;
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
        departure: undefined,
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
