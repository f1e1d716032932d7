import type { ProtoTypes } from "../common/rpc/ProtoTypes.ts";
import { ServiceName } from "../common/ids/ServiceName.ts";
import type { SidecarId } from "../common/ids/SidecarId.ts";
import { TargetId } from "../common/ids/TargetId.ts";
import { ZoneName } from "../common/ids/ZoneName.ts";
import type { AnnouncedTarget } from "./AnnouncedTarget.ts";
import { Predecessors } from "./departures/Predecessors.ts";
import { entryDigest } from "./entryDigest.ts";
import { memberAddress } from "./memberAddress.ts";
import { memberTargets } from "./memberTargets.ts";
import { hash32 } from "../common/hash32.ts";
import { LocalTargets } from "./LocalTargets.ts";
import { TargetIndex } from "./TargetIndex.ts";
import type { TargetInfo } from "./TargetInfo.ts";
import { TargetState } from "./TargetState.ts";

type Member = ProtoTypes["Member"];
type Departure = ProtoTypes["Departure"];
type Predecessor = ProtoTypes["Predecessor"];

/**
 * Time after which a target that has not announced itself again is considered gone, ms.
 * Targets announce themselves every 500 ms, so three announcements must be missed.
 */
const ANNOUNCE_TIMEOUT_MS = 1500;

/**
 * Time for which a member found dead remains in the pool of record holders, ms. It may be cut
 * off by a partition rather than gone. While it may still hold records, and may still receive claims
 * on its side of the partition, quorums must count it. The time is long enough for a partition
 * to be noticed and for callers' quick resends to end, and short enough that the keys of a lost
 * machine soon have their full number of record holders again.
 */
const RECORD_HOLDER_TIMEOUT_MS = 30_000;

/** A sidecar that can be chosen as a record holder. */
interface RecordHolder {
  readonly id: string;
  readonly zone: string;
  readonly peerAddress: string;
  /** It is held for dead, and counted as a record holder for a while. */
  readonly isGone: boolean;
  /** Rises with each start of its process; a restarted record holder may have lost its records. */
  readonly incarnation: number;
}

/** The member that this process is. */
interface Self {
  readonly id: SidecarId;
  /** Address for other members, host:port; gRPC and datagrams use the same port number. */
  readonly peerAddress: string;
  /** Address at which other sidecars send requests for its targets, host:port; undefined for a control replica. */
  readonly hopAddress?: string;
  readonly zone: ZoneName;
  readonly incarnation: number;
}

/** Another member, with what this process records about it. */
interface KnownMember {
  readonly member: Member;
  /** Digest of the entry's version. */
  readonly digest: number;
  /** Local time at which it was last known to be alive, ms. */
  readonly aliveAt: number;
}

/** Factor that leaves room for the values of `Target.resumed` between two incarnations. */
const RESUMED_PER_INCARNATION = 1000;

/** Time for which a dead member's entry is kept, ms, so that outdated rumors do not bring it back. */
const GONE_RETENTION_MS = 600_000;

/**
 * One member's view of the fleet: its local targets, from their announcements, and the
 * entries of other members, from gossip. Entries are versioned by (incarnation, revision),
 * so the newest always wins. A revision rises only when the entry's content changes, so a
 * fleet without changes sends no membership updates.
 */
export class TargetTable {
  readonly #self: Member;
  readonly #now: () => number;
  readonly #local: LocalTargets;
  readonly #remote = new Map<string, KnownMember>();
  readonly #predecessors: Predecessors;
  #ownContent = "[[],[]]";
  #leaving = false;
  #resumedCount = 0;
  #checksum: number;
  readonly #index = new TargetIndex();
  /** Live members other than this one; rebuilt on first use after a change. */
  #live: readonly Member[] | undefined;

  /**
   * @param self this member; its incarnation is its start time by the wall clock, ms
   * @param now monotonic clock, ms
   * @param announceTimeoutMs a target that has not announced itself for this long is considered gone
   * @param stalledMs total time for which this process was stalled, in which it has read no announcements, ms
   */
  constructor(
    self: Self,
    now: () => number,
    announceTimeoutMs = ANNOUNCE_TIMEOUT_MS,
    stalledMs: () => number = () => 0,
  ) {
    this.#now = now;
    this.#local = new LocalTargets(() => now() - stalledMs(), announceTimeoutMs);
    this.#predecessors = new Predecessors(now);
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
      departed: [],
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

  /** XOR of the digests of all live entries' versions; equal views have equal checksums. */
  get checksum(): number {
    return this.#checksum;
  }

  /**
   * Records an announcement by a local target; false if it was ignored as outdated or not yet
   * to be trusted.
   *
   * @param sequence rises with each of the target's announcements
   */
  announce(target: AnnouncedTarget, sequence = 0): boolean {
    if (this.#leaving || !this.#local.announce(target, sequence)) {
      return false;
    }
    this.#indexOwn();
    return true;
  }

  /** Removes a local target that has left; `born` is the start time of the incarnation that left, 0 if not given. */
  withdraw(targetId: TargetId, born = 0): void {
    this.#local.withdraw(targetId, born);
    this.#indexOwn();
  }

  /** Holds local targets that announce themselves as ready until the recovery ends; see {@link LocalTargets}. */
  beginRecovery(): void {
    this.#local.beginRecovery();
  }

  /** Ends the recovery after its longest time; see {@link LocalTargets.expireRecovery}. */
  expireRecovery(): void {
    this.#local.expireRecovery();
  }

  /** Time since this process was started, without times in which it was stalled, ms. */
  get runningMs(): number {
    return this.#local.runningMs;
  }

  /** Makes the held local targets live. */
  endRecovery(): void {
    this.#local.endRecovery();
    this.#indexOwn();
  }

  /** Whether it is still unknown which local targets have left before this process was started. */
  get isRecovering(): boolean {
    return this.#local.isRecovering;
  }

  /** Whether this member is leaving, so that announcements are no longer recorded. */
  get isLeaving(): boolean {
    return this.#leaving;
  }

  /** The local targets that have lately withdrawn, or that are draining. */
  departed(): Departure[] {
    return this.#local.departed();
  }

  /** Records departures that earlier incarnations of this member have published; true if that changes anything. */
  restoreDepartures(departures: readonly Departure[]): boolean {
    const isChanged = this.#local.restore(departures);
    this.#indexOwn();
    return isChanged;
  }

  /** What is known of the incarnations of member `id` before its present one. */
  predecessorOf(id: string): Predecessor | null {
    return this.#predecessors.of(id);
  }

  /** Records that another target responds at the address of a local one. */
  noteReplaced(targetId: TargetId): void {
    this.#local.noteReplaced(targetId);
    this.#indexOwn();
  }

  /** Records that the process of a local target has ended. */
  noteEnded(targetId: TargetId): void {
    this.#local.noteEnded(targetId);
    this.#indexOwn();
  }

  /** Records that a local target has said in a response that it is leaving; true if that is new. */
  noteLeaving(target: TargetInfo): boolean {
    const isNew = this.#local.noteLeaving(target);
    this.#indexOwn();
    return isNew;
  }

  /** Records that a local target has said in a health check that it is not leaving; true if that is new. */
  noteResumed(target: TargetInfo): boolean {
    const isNew = this.#local.noteResumed(target, this.#nextResumed());
    this.#indexOwn();
    return isNew;
  }

  /** Time since a local target last said in a response that it is leaving, ms; undefined if it did not. */
  leavingForMs(target: TargetInfo): number | undefined {
    const at = this.#local.leavingAt(target);
    return at === undefined ? undefined : this.#now() - at;
  }

  /** The live local targets whose last announcement said that they are ready, whatever their responses say. */
  announcedReady(): TargetInfo[] {
    return this.localTargets().filter(
      (t) => this.#local.announcedState(t) === (TargetState.Ready as string),
    );
  }

  /** Live local targets. */
  localTargets(): TargetInfo[] {
    return this.#local.live().map((t) => memberTargets.toInfo(t, this.#self));
  }

  /** Updates this member's own entry; true if it changed, so that peers must be informed. */
  refreshOwn(): boolean {
    const targets = this.#leaving ? [] : this.#local.live();
    const departed = this.#local.departed();
    const content = JSON.stringify([targets, departed]);
    if (content === this.#ownContent) {
      return false;
    }
    this.#ownContent = content;
    this.#indexOwn();
    this.#reviseOwn({
      targets: targets.map(memberTargets.publish),
      departed,
      revision: this.#self.revision + 1,
    });
    return true;
  }

  /** Marks this member as being stopped; its targets accept requests until it leaves. */
  beginStop(): void {
    this.#reviseOwn({ stopping: true, revision: this.#self.revision + 1 });
  }

  /** Marks this member as gone before its process exits; local targets are no longer recorded from then on. */
  leave(): void {
    this.#leaving = true;
    this.#local.clear();
    this.#indexOwn();
    this.#reviseOwn({ targets: [], gone: true, revision: this.#self.revision + 1 });
  }

  /** The digests of all live entries' versions, combined by XOR into this many buckets by member id. */
  digests(buckets: number): number[] {
    const sums = new Array<number>(buckets).fill(0);
    const add = (id: string, digest: number) => {
      const bucket = bucketOf(id, buckets);
      sums[bucket] = ((sums[bucket] ?? 0) ^ digest) >>> 0;
    };
    add(this.#self.sidecar_id, entryDigest(this.#self));
    this.#remote.forEach(({ digest }, id) => {
      add(id, digest);
    });
    return sums;
  }

  /** Entries, dead ones included, of the buckets whose digests differ from a peer's. */
  differing(theirs: readonly number[]): Member[] {
    const own = this.digests(theirs.length);
    const differs = own.map((digest, bucket) => digest !== theirs[bucket]);
    return this.entries().filter((m) => differs[bucketOf(m.sidecar_id, theirs.length)]);
  }

  /** The whole view: all entries, dead ones included. */
  entries(): Member[] {
    return [this.#self, ...[...this.#remote.values()].map((k) => k.member)];
  }

  /** The entry of one member. */
  entry(id: string): Member | undefined {
    return id === this.#self.sidecar_id ? this.#self : this.#remote.get(id)?.member;
  }

  /** Whether a received entry has the same version as the local one. */
  hasSameVersion(member: Member): boolean {
    const known = this.entry(member.sidecar_id);
    return known !== undefined && !isNewer(member, known) && !isNewer(known, member);
  }

  /** Merges received entries; returns those that were new here, to be spread further. */
  merge(members: readonly Member[]): Member[] {
    return members.filter((m) =>
      m.sidecar_id === this.#self.sidecar_id ? this.#refute(m) : this.#mergeRemote(m),
    );
  }

  /** Records that a member was reached just now. */
  noteAlive(id: string): void {
    const known = this.#remote.get(id);
    if (known && !known.member.gone) {
      this.#remote.set(id, { ...known, aliveAt: this.#now() });
    }
  }

  /** Declares a member dead; true if it was not known to be dead yet. */
  declareGone(id: string): boolean {
    const known = this.#remote.get(id);
    return known !== undefined && this.#mergeRemote({ ...known.member, gone: true });
  }

  /** Live members other than this one. */
  liveMembers(): readonly Member[] {
    this.#live ??= [...this.#remote.values()].map((k) => k.member).filter((m) => !m.gone);
    return this.#live;
  }

  /** Dead members whose entries are still kept; contacting them finds the other side of a healed partition. */
  goneMembers(): Member[] {
    const cutoff = this.#now() - GONE_RETENTION_MS;
    for (const [id, known] of this.#remote) {
      if (known.member.gone && known.aliveAt < cutoff) {
        this.#remote.delete(id);
      }
    }
    return [...this.#remote.values()].map((k) => k.member).filter((m) => m.gone);
  }

  /** Peer addresses and zones of the live control replicas. */
  controlReplicas(): { address: string; zone: string }[] {
    return this.liveMembers()
      .filter((m) => m.control)
      .map((m) => ({ address: m.peer_address, zone: m.zone }));
  }

  /** Sidecars eligible as record holders, this one included; without those that are being stopped. */
  recordHolderPool(): RecordHolder[] {
    const cutoff = this.#now() - RECORD_HOLDER_TIMEOUT_MS;
    const candidates = [...this.#remote.values()].filter(
      (k) => !k.member.gone || k.aliveAt >= cutoff,
    );
    const sidecars = [this.#self, ...candidates.map((k) => k.member)].filter(
      (m) => !m.control && !m.stopping,
    );
    return sidecars.map((m) => ({
      id: m.sidecar_id,
      zone: m.zone,
      peerAddress: m.peer_address,
      isGone: m.gone,
      incarnation: m.incarnation,
    }));
  }

  /** All live targets of `service`, in any state; the same array until one of them changes. */
  targetsOf(service: ServiceName): readonly TargetInfo[] {
    return this.#index.of(service);
  }

  /** All known live targets. */
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

  /** Number of members, this one included, and of dead ones whose entries are still kept. */
  get knownCount(): number {
    return 1 + this.#remote.size;
  }

  /** A value of `Target.resumed` that no incarnation of this process has used. */
  #nextResumed(): number {
    this.#resumedCount += 1;
    return this.#self.incarnation * RESUMED_PER_INCARNATION + this.#resumedCount;
  }

  #indexOwn(): void {
    this.#index.set(this.#self.sidecar_id, this.localTargets());
  }

  #mergeRemote(member: Member): boolean {
    const known = this.#remote.get(member.sidecar_id);
    if (known && !isNewer(member, known.member)) {
      return false;
    }
    if (known && member.incarnation > known.member.incarnation) {
      this.#predecessors.note(known.member);
    }
    const digest = entryDigest(member);
    this.#remote.set(member.sidecar_id, { member, digest, aliveAt: this.#now() });
    this.#live = undefined;
    this.#index.set(member.sidecar_id, memberTargets.of(member));
    this.#checksum = (this.#checksum ^ (known?.digest ?? 0) ^ digest) >>> 0;
    return true;
  }

  /**
   * Refutes a newer entry about this member that it did not publish: one that declares it dead, or one
   * from before a restart whose incarnation is higher, since the wall clock was set back in between.
   */
  #refute(claimed: Member): boolean {
    if (this.#leaving || !isNewer(claimed, this.#self)) {
      return false;
    }
    const wasSetBack = claimed.incarnation > this.#self.incarnation;
    const incarnation = wasSetBack ? claimed.incarnation + 1 : this.#self.incarnation;
    this.#reviseOwn({ incarnation, revision: claimed.revision + 1 });
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
