import type { ProtoTypes } from "../common/rpc/ProtoTypes.ts";
import { ServiceName } from "../common/ids/ServiceName.ts";
import type { SidecarId } from "../common/ids/SidecarId.ts";
import { TargetId } from "../common/ids/TargetId.ts";
import { ZoneName } from "../common/ids/ZoneName.ts";
import { entryDigest } from "./entryDigest.ts";
import { memberAddress } from "./memberAddress.ts";
import { hash32 } from "./hash32.ts";
import { LocalTargets } from "./LocalTargets.ts";
import { TargetIndex } from "./TargetIndex.ts";
import type { TargetInfo } from "./TargetInfo.ts";
import { TargetState } from "./TargetState.ts";

type Member = ProtoTypes["Member"];

/**
 * A target that has not re-announced itself for this long is taken as gone, ms.
 * Targets announce every 500 ms, so three are missed first.
 */
const ANNOUNCE_TIMEOUT_MS = 1500;

/**
 * A member found dead stays in the pool of record keepers for this long, ms. Cut
 * off is not gone: while it may still hold records, and may still be asked for
 * claims on its side of a cut, quorums must go on counting it. Long enough for
 * a cut to be noticed and callers' quick resends to end; short enough that a
 * lost machine's share of keys is at full strength again soon.
 */
const RECORD_MEMBER_TIMEOUT_MS = 30_000;

/** A sidecar as a keeper of records. */
interface RecordMember {
  readonly id: string;
  readonly zone: string;
  readonly peerAddress: string;
  /** Rises with each start of its process: a restarted keeper may have lost its records. */
  readonly incarnation: number;
}

/** This process as a member. */
interface Self {
  readonly id: SidecarId;
  /** Where other members reach it: gRPC, and datagrams at the same port. */
  readonly peerAddress: string;
  /** Where other sidecars reach the gate to its target; left out for a control replica. */
  readonly hopAddress?: string;
  readonly zone: ZoneName;
  readonly incarnation: number;
}

interface Known {
  readonly member: Member;
  readonly digest: number;
  /** Local time at which it was last known to be alive. */
  readonly aliveAt: number;
}

/** A member found dead is remembered for this long, so that late news does not bring it back, ms. */
const GONE_MEMORY_MS = 600_000;

/**
 * The fleet's members as one sidecar sees them: its own targets from their
 * announcements, and other sidecars' entries from their news. Entries are
 * versioned by (incarnation, revision), so the newest always wins; a revision
 * rises only when the entry's content changes, so a quiet fleet has no news.
 */
export class TargetTable {
  readonly #self: Member;
  readonly #now: () => number;
  readonly #local: LocalTargets;
  readonly #remote = new Map<string, Known>();
  #ownContent = "[]";
  #leaving = false;
  #checksum: number;
  readonly #index = new TargetIndex();
  /** Live members other than this one; drawn up afresh after a change. */
  #live: readonly Member[] | undefined;

  /**
   * @param self this member; its incarnation is the time of day of its start, ms
   * @param now monotonic clock, ms
   * @param announceTimeoutMs a target silent for this long is taken as gone
   */
  constructor(self: Self, now: () => number, announceTimeoutMs = ANNOUNCE_TIMEOUT_MS) {
    this.#now = now;
    this.#local = new LocalTargets(now, announceTimeoutMs);
    this.#self = {
      sidecar_id: self.id,
      peer_address: self.peerAddress,
      zone: self.zone,
      revision: 0,
      incarnation: self.incarnation,
      targets: [],
      gone: false,
      hop_address: memberAddress.shorten(self.hopAddress ?? "", self.peerAddress),
      control: self.hopAddress === undefined,
      stopping: false,
    };
    this.#checksum = entryDigest(this.#self);
  }

  /** Id of this sidecar. */
  get selfId(): string {
    return this.#self.sidecar_id;
  }

  /** Address at which peers reach this sidecar. */
  get selfAddress(): string {
    return this.#self.peer_address;
  }

  /** This sidecar's own entry. */
  get own(): Member {
    return this.#self;
  }

  /** Availability zone of this sidecar. */
  get selfZone(): string {
    return this.#self.zone;
  }

  /** Digest of every live entry's version: equal views have equal checksums. */
  get checksum(): number {
    return this.#checksum;
  }

  /**
   * Records an announcement by a target beside this sidecar; false for one that says
   * nothing new. `sequence` rises with each of the target's announcements.
   */
  announce(target: ProtoTypes["Target"], sequence = 0): boolean {
    if (this.#leaving || !this.#local.announce(target, sequence)) {
      return false;
    }
    this.#indexOwn();
    return true;
  }

  /** Forgets a target beside this sidecar that has said goodbye, in the life that began at `born`. */
  withdraw(targetId: TargetId, born = 0): void {
    this.#local.withdraw(targetId, born);
    this.#indexOwn();
  }

  /** Records that another target answers at the address of one beside this sidecar. */
  noteReplaced(targetId: TargetId): void {
    this.#local.noteReplaced(targetId);
    this.#indexOwn();
  }

  /** Live targets beside this sidecar. */
  localTargets(): TargetInfo[] {
    return this.#local.live().map((t) => toTargetInfo(t, this.#self));
  }

  /** Brings our own entry up to date; true when it changed, which peers should hear. */
  refreshOwn(): boolean {
    const targets = this.#leaving ? [] : this.#local.live();
    const content = JSON.stringify(targets);
    if (content === this.#ownContent) {
      return false;
    }
    this.#ownContent = content;
    this.#indexOwn();
    this.#reviseOwn({ targets: targets.map(published), revision: this.#self.revision + 1 });
    return true;
  }

  /** Declares that this member is being stopped; its targets take work until it leaves. */
  beginStop(): void {
    this.#reviseOwn({ stopping: true, revision: this.#self.revision + 1 });
  }

  /** Declares this member gone, before it ends; it announces nothing from here on. */
  leave(): void {
    this.#leaving = true;
    this.#local.clear();
    this.#indexOwn();
    this.#reviseOwn({ targets: [], gone: true, revision: this.#self.revision + 1 });
  }

  /** Digests of every live entry's version, put together in so many buckets by the members' ids. */
  digests(buckets: number): number[] {
    const sums = new Array<number>(buckets).fill(0);
    const add = (id: string, digest: number) => {
      const at = bucketOf(id, buckets);
      sums[at] = ((sums[at] ?? 0) ^ digest) >>> 0;
    };
    add(this.#self.sidecar_id, entryDigest(this.#self));
    this.#remote.forEach(({ digest }, id) => {
      add(id, digest);
    });
    return sums;
  }

  /** Entries, the dead ones included, in the buckets in which a peer's digests differ from those here. */
  differing(theirs: readonly number[]): Member[] {
    const own = this.digests(theirs.length);
    const differs = own.map((digest, at) => digest !== theirs[at]);
    return this.entries().filter((m) => differs[bucketOf(m.sidecar_id, theirs.length)]);
  }

  /** Every entry, the dead ones included, for a peer's whole view. */
  entries(): Member[] {
    return [this.#self, ...[...this.#remote.values()].map((k) => k.member)];
  }

  /** The entry of one member. */
  entry(id: string): Member | undefined {
    return id === this.#self.sidecar_id ? this.#self : this.#remote.get(id)?.member;
  }

  /** Whether an entry that came says just what is known here. */
  isKnown(member: Member): boolean {
    const known = this.entry(member.sidecar_id);
    return known !== undefined && !isNewer(member, known) && !isNewer(known, member);
  }

  /** Takes in entries; returns those that were news here, to be passed on. */
  merge(members: readonly Member[]): Member[] {
    return members.filter((m) =>
      m.sidecar_id === this.#self.sidecar_id ? this.#refute(m) : this.#take(m),
    );
  }

  /** Notes that a member was heard just now. */
  noteAlive(id: string): void {
    const known = this.#remote.get(id);
    if (known && !known.member.gone) {
      this.#remote.set(id, { ...known, aliveAt: this.#now() });
    }
  }

  /** Declares a member dead; true when that is news. */
  declareGone(id: string): boolean {
    const known = this.#remote.get(id);
    return known !== undefined && this.#take({ ...known.member, gone: true });
  }

  /** Live members other than this one. */
  liveMembers(): readonly Member[] {
    this.#live ??= [...this.#remote.values()].map((k) => k.member).filter((m) => !m.gone);
    return this.#live;
  }

  /** Members found dead and not forgotten yet: a healed partition is found by trying them. */
  goneMembers(): Member[] {
    const cutoff = this.#now() - GONE_MEMORY_MS;
    for (const [id, known] of this.#remote) {
      if (known.member.gone && known.aliveAt < cutoff) {
        this.#remote.delete(id);
      }
    }
    return [...this.#remote.values()].map((k) => k.member).filter((m) => m.gone);
  }

  /** Where control replicas that are members are reached. */
  controlAddresses(): string[] {
    return this.liveMembers()
      .filter((m) => m.control)
      .map((m) => m.peer_address);
  }

  /** Sidecars that keep records of non-idempotent requests, this one included; not those that are being stopped. */
  recordPool(): RecordMember[] {
    const cutoff = this.#now() - RECORD_MEMBER_TIMEOUT_MS;
    const heard = [...this.#remote.values()].filter((k) => !k.member.gone || k.aliveAt >= cutoff);
    const sidecars = [this.#self, ...heard.map((k) => k.member)].filter(
      (m) => !m.control && !m.stopping,
    );
    return sidecars.map((m) => ({
      id: m.sidecar_id,
      zone: m.zone,
      peerAddress: m.peer_address,
      incarnation: m.incarnation,
    }));
  }

  /** Every live target of `service`, in any state; the same array until one of them changes. */
  targetsOf(service: ServiceName): readonly TargetInfo[] {
    return this.#index.of(service);
  }

  /** Every live target the sidecar knows of. */
  allTargets(): readonly TargetInfo[] {
    return this.#index.all();
  }

  /** One live target, by id. */
  target(id: TargetId): TargetInfo | undefined {
    return this.#index.get(id);
  }

  /** Number of live members, this one included. */
  get memberCount(): number {
    return 1 + this.liveMembers().length;
  }

  /** Members, this one included, and those found dead that are remembered still. */
  get knownCount(): number {
    return 1 + this.#remote.size;
  }

  #indexOwn(): void {
    this.#index.set(this.#self.sidecar_id, this.localTargets());
  }

  #take(member: Member): boolean {
    const known = this.#remote.get(member.sidecar_id);
    if (known && !isNewer(member, known.member)) {
      return false;
    }
    const digest = entryDigest(member);
    this.#remote.set(member.sidecar_id, { member, digest, aliveAt: this.#now() });
    this.#live = undefined;
    this.#index.set(member.sidecar_id, targetsBeside(member));
    this.#checksum = (this.#checksum ^ (known?.digest ?? 0) ^ digest) >>> 0;
    return true;
  }

  /**
   * Contradicts news of ourselves that we did not give: a word that we are dead, or an
   * entry from before a restart whose incarnation is higher than ours, since the
   * time of day has been set back in between.
   */
  #refute(said: Member): boolean {
    if (this.#leaving || !isNewer(said, this.#self)) {
      return false;
    }
    const stale = said.incarnation > this.#self.incarnation;
    const incarnation = stale ? said.incarnation + 1 : this.#self.incarnation;
    this.#reviseOwn({ incarnation, revision: said.revision + 1 });
    return true;
  }

  #reviseOwn(change: Partial<Member>): void {
    const before = entryDigest(this.#self);
    Object.assign(this.#self, change);
    this.#checksum = (this.#checksum ^ before ^ entryDigest(this.#self)) >>> 0;
  }
}

function bucketOf(id: string, buckets: number): number {
  return hash32(id) % buckets;
}

function isNewer(a: Member, b: Member): boolean {
  if (a.incarnation !== b.incarnation) {
    return a.incarnation > b.incarnation;
  }
  if (a.revision !== b.revision) {
    return a.revision > b.revision;
  }
  return a.gone && !b.gone;
}

/** What other members are told of a target: its address is of use only to those who look at its health themselves. */
function published(target: ProtoTypes["Target"]): ProtoTypes["Target"] {
  return target.health_path === "" ? { ...target, url: "" } : target;
}

/** The targets that a member's entry tells of; none where it is gone. */
function targetsBeside(member: Member): TargetInfo[] {
  return member.gone ? [] : member.targets.map((t) => toTargetInfo(t, member));
}

function toTargetInfo(t: ProtoTypes["Target"], beside: Member): TargetInfo {
  return {
    id: TargetId(t.target_id),
    service: ServiceName(t.service),
    url: t.url,
    slots: t.slots,
    state: toTargetState(t.state),
    zone: ZoneName(beside.zone),
    hopAddress: memberAddress.expand(beside.hop_address, beside.peer_address),
    askAddress: beside.peer_address,
    healthPath: t.health_path,
    born: t.born,
  };
}

/** A state name from the wire; an unknown one (a newer peer's) counts as cold, so it gets no work. */
function toTargetState(raw: string): TargetState {
  switch (raw) {
    case "ready":
      return TargetState.Ready;
    case "draining":
      return TargetState.Draining;
    default:
      return TargetState.Cold;
  }
}
