import type { Clock } from "../common/lifecycle/Clock.ts";
import { Disposable } from "../common/lifecycle/Disposable.ts";
import { every } from "../common/lifecycle/every.ts";
import type { Timer } from "../common/lifecycle/Timer.ts";
import type { ProtoTypes } from "../common/rpc/ProtoTypes.ts";
import type { CrashEvidence } from "./evidence/CrashEvidence.ts";
import { EvidenceGossip } from "./evidence/EvidenceGossip.ts";
import type { EvidenceStore } from "./evidence/EvidenceStore.ts";
import type { MembershipPeers } from "./MembershipPeers.ts";
import { RumorQueue, type Distance } from "./RumorQueue.ts";
import { sampleOf } from "./sampleOf.ts";
import type { TargetTable } from "./TargetTable.ts";
import type { DocumentVersions } from "./DocumentVersions.ts";

type Member = ProtoTypes["Member"];
type GossipMessage = ProtoTypes["News"];
type View = ProtoTypes["Members"];

/** Number of members probed each round. */
const FANOUT = 2;

/**
 * Share of the rounds in which one of the probed members is from another zone. Traffic between zones is slower and
 * costs more. Updates still reach other zones soon enough, since a rumor is kept until it is known to have crossed.
 */
const FAR_ROUND_SHARE = 0.5;

/** Number of suspects probed again each round, in addition to {@link FANOUT}. */
const SUSPECTS_PER_ROUND = 2;

/**
 * Maximum number of concurrent probes. When many members are slow at the same time, such as while a fleet starts
 * on a busy machine, every failed probe causes further probes. Without a bound, this load makes yet more probes
 * fail until no member replies, and the fleet never converges.
 */
const MAX_CONCURRENT_PROBES = 6;

/** A probe that fails only after this long, ms, does not count: this process itself was paused beyond the probe's timeout. */
const STALLED_MS = 2000;

/** Number of members asked to probe a member that does not reply to this one. */
const INDIRECT_PROBES = 3;

/** Time after which a member that no probe could reach is declared dead, ms; long enough for a garbage collection pause. */
const SUSPICION_TIMEOUT_MS = 1000;

/** Maximum number of rumors per gossip message: at some 100 bytes each, one network packet or a little more. */
const RUMORS_PER_MESSAGE = 16;

/** Consecutive checksum mismatches after which updates in flight no longer explain the difference between views. */
const MISMATCHES_BEFORE_COMPARE = 3;

/** Minimum time between comparisons of views, ms; ignored after a comparison whose reply reached the entry limit. */
const MIN_COMPARE_INTERVAL_MS = 1000;

/** Average number of members per digest when views are compared; for each entry that differs, this many are sent. */
const MEMBERS_PER_DIGEST = 4;

/** Maximum number of digests in a comparison: two network packets. */
const MAX_DIGESTS = 512;

/** Maximum number of entries in the reply to a comparison: some 3 KB. */
const MAX_COMPARE_ENTRIES = 32;

/** Once in this many rounds, a dead member or an unknown seed is contacted too, to find the other side of a healed partition. */
const RECONNECT_EVERY_ROUNDS = 5;

/**
 * Minimum time from a round to one that is started early for a new rumor, ms. Each round triples the number of
 * members that know the rumor, so hundreds of members receive it within a second.
 */
const MIN_ROUND_INTERVAL_MS = 100;

interface MembershipDeps {
  readonly table: TargetTable;
  readonly peers: MembershipPeers;
  /** Current addresses of members to join through, host:port. */
  readonly seeds: () => readonly string[];
  readonly documents: DocumentVersions;
  /** The crash evidence that is spread with the gossip. */
  readonly evidence: EvidenceStore;
  readonly clock: Clock;
  /** Returns a number in [0, 1); seeded in tests. */
  readonly random: () => number;
  /** Called with the changed entries of other members; entries that arrived together are passed together. */
  readonly onMemberUpdates?: (members: readonly Member[]) => void;
  /** Called when another member has returned departures of local targets from before a restart of this one. */
  readonly onDeparturesRestored?: () => void;
}

/**
 * Group membership by the SWIM protocol (Das, Gupta, Motivala, "SWIM: Scalable
 * Weakly-consistent Infection-style Process Group Membership Protocol", 2002):
 * each round probes a few random members, asks others to probe those that do not
 * reply (so that one broken network path does not pass for a dead member), and piggybacks
 * membership updates. Without updates, the cost per sidecar does not grow with the fleet.
 */
export class Membership extends Disposable {
  readonly #deps: MembershipDeps;
  readonly #rumors = new RumorQueue();
  readonly #evidence: EvidenceGossip;
  /** Times at which members became suspect, by id. */
  readonly #suspects = new Map<string, number>();
  /** Ids of the members whose probes are in flight. */
  readonly #probing = new Set<string>();
  #rounds = 0;
  /**
   * Consecutive checksum mismatches, separately for members of the own zone and of others: where a whole zone has missed
   * an update, the views within it match.
   */
  readonly #mismatches: Record<Distance, number> = { near: 0, far: 0 };
  /** Time of the last comparison of views; -Infinity if the next one need not wait. */
  #comparedAt = -Infinity;
  #lastRoundAt = -Infinity;
  #started = false;
  #earlyRoundScheduled = false;
  /** Whether it is joining through a member that has probed it. */
  #isJoining = false;
  #earlyRoundTimer: Timer | undefined;
  #zoneSplit: { live: readonly Member[] } & Record<Distance, readonly Member[]> = {
    live: [],
    near: [],
    far: [],
  };

  constructor(deps: MembershipDeps) {
    super();
    this.#deps = deps;
    const { evidence: store, clock, random } = deps;
    this.#evidence = new EvidenceGossip({
      store,
      clock,
      random,
      others: () => this.#otherCounts,
      onNews: () => {
        this.#scheduleEarlyRound();
      },
    });
    this.register({
      dispose: () => {
        this.#earlyRoundTimer?.cancel();
      },
    });
    this.#spread([deps.table.own]);
  }

  /** Starts a round every `intervalMs`, and earlier when there are new rumors, until disposed. */
  start(intervalMs: number): void {
    this.#started = true;
    this.register(every(intervalMs, () => void this.round()));
  }

  /** Spreads a change of the local targets at once, since a drain cannot wait for the next round. */
  noteLocalChange(): void {
    if (this.#deps.table.refreshOwn()) {
      this.#spread([this.#deps.table.own]);
    }
  }

  /** Spreads crash evidence that this member has found. */
  addEvidence(evidence: CrashEvidence): void {
    this.#evidence.add(evidence);
  }

  /** Spreads that this member is being stopped. */
  beginStop(): void {
    this.#deps.table.beginStop();
    this.#spread([this.#deps.table.own]);
  }

  /** Spreads that this member is gone, before its process exits. */
  async leave(): Promise<void> {
    this.#deps.table.leave();
    this.#spread([this.#deps.table.own]);
    await this.round();
  }

  /** One round: probes a few members and spreads rumors; resolves when all have replied or timed out. */
  async round(): Promise<void> {
    this.#lastRoundAt = this.#deps.clock.now();
    this.#rounds += 1;
    if (this.#deps.table.refreshOwn()) {
      this.#spread([this.#deps.table.own]);
    }
    await Promise.all([
      ...this.#membersToProbe().map((m) => this.#probeMember(m)),
      ...this.#seedsToJoin().map((address) => this.#tryJoin(address)),
      ...this.#addressesToReconnect().map((address) => this.#tryReconnect(address)),
    ]);
  }

  /**
   * Handles a probe by another member; returns the reply.
   *
   * @param from address of that member; this one joins through it if it knows no other, as when all its seeds are down
   */
  onExchange(gossip: GossipMessage, from?: string): GossipMessage {
    const { fresh, stale } = this.#applyGossip(gossip);
    if (from !== undefined && this.#deps.table.memberCount === 1 && !this.#isJoining) {
      this.#isJoining = true;
      void this.#tryJoin(from).finally(() => (this.#isJoining = false));
    }
    const sender = this.#deps.table.entry(gossip.sender);
    if (sender) {
      this.#deps.documents.noteVersion(sender.peer_address, gossip.config_version);
    }
    const known = gossip.members.flatMap((m, index) => (fresh.has(m.sidecar_id) ? [] : [index]));
    const theirs = new Set(gossip.members.map((m) => m.sidecar_id));
    const known_evidence = this.#evidence.receive(gossip.evidence);
    const evidence = this.#evidence.take(gossip.evidence);
    const { table } = this.#deps;
    return this.#message(this.#entriesToSend(stale, theirs), {
      known,
      evidence,
      known_evidence,
      predecessor: table.predecessorOf(gossip.sender),
      running_ms: theirs.has(gossip.sender) ? Math.floor(table.runningMs) : 0,
    });
  }

  /** Returns local entries where this member's view differs from the view with these digests. */
  onCompare(digests: readonly number[]): GossipMessage {
    const differing = this.#deps.table.differing(digests);
    return this.#message(sampleOf(differing, MAX_COMPARE_ENTRIES, this.#deps.random));
  }

  /** Merges another member's whole view; returns the view of this member. */
  onSync({ members, evidence }: View): View {
    this.#spread(this.#deps.table.merge(members));
    this.#evidence.receive(evidence);
    return this.#view;
  }

  /** Sends this member's own entry to the member at `address`; resolves with its reply, which shows that it has the entry. */
  sendOwnEntry(address: string): Promise<GossipMessage> {
    return this.#exchange(address, [this.#deps.table.selfId]);
  }

  /** Probes the member at `address` on behalf of another member; rejects when it does not reply. */
  async onProbe(address: string): Promise<void> {
    await this.#exchange(address);
  }

  /**
   * Exchanges gossip with the member at `address`; rumors that it had already are sent less often from then on.
   *
   * @param corrections ids of entries of which the member has an older version, sent before any rumors
   */
  async #exchange(address: string, corrections: string[] = []): Promise<GossipMessage> {
    const evidence = this.#evidence.take();
    const sent = this.#message(this.#entriesToSend(corrections), { evidence });
    const reply = await this.#deps.peers.exchange(address, sent);
    this.#applyGossip(reply);
    const distance = this.#distanceOf(reply.sender);
    for (const index of reply.known) {
      this.#rumors.noteKnown(sent.members[index]?.sidecar_id ?? "", distance);
    }
    for (const index of reply.known_evidence) {
      this.#evidence.noteKnown(evidence[index], distance);
    }
    this.#evidence.receive(reply.evidence);
    if (this.#deps.table.restoreDepartures(reply.predecessor?.departed ?? [])) {
      this.#deps.onDeparturesRestored?.();
    }
    return reply;
  }

  async #probeMember(member: Member): Promise<void> {
    const { peer_address: address, sidecar_id: id } = member;
    const startedAt = this.#deps.clock.now();
    this.#probing.add(id);
    try {
      const reply = await this.#exchange(address);
      if (reply.sender !== id) {
        // Another member uses its address now, so it has ended.
        this.#declareGone(id);
      }
      this.#deps.documents.noteVersion(address, reply.config_version);
      await this.#compareIfDiverged(member, reply.checksum);
    } catch {
      if (await this.#probeIndirectly(address)) {
        this.#clearSuspicion(id);
      } else if (this.#deps.clock.now() - startedAt < STALLED_MS) {
        this.#suspect(id);
      }
    } finally {
      this.#probing.delete(id);
    }
  }

  /** Joins the fleet through a seed, by exchanging whole views with it. */
  async #tryJoin(address: string): Promise<void> {
    const { table, peers } = this.#deps;
    try {
      const { members, evidence } = await peers.sync(address, this.#view);
      this.#evidence.receive(evidence);
      const isJoining = table.memberCount === 1;
      const fresh = table.merge(members);
      if (isJoining) {
        // Entries learned from a join are not spread as rumors, or every joining member would send all of them again.
        this.#notifyListener(fresh);
      } else {
        this.#spread(fresh);
      }
    } catch {
      // The seed is not up yet; a later round tries again.
    }
  }

  /** Tries to reach a separated part of the fleet through a dead member or an unknown seed at `address`. */
  async #tryReconnect(address: string): Promise<void> {
    try {
      // The member there may not know this one; it spreads this member's entry in its part of the fleet.
      await this.#exchange(address, [this.#deps.table.selfId]);
      await this.#compare(address);
    } catch {
      // It is still down or unreachable; a later round tries another.
    }
  }

  async #probeIndirectly(address: string): Promise<boolean> {
    const { table, random } = this.#deps;
    const others = table.liveMembers().filter((m) => m.peer_address !== address);
    const helpers = sampleOf(others, INDIRECT_PROBES, random);
    const probes = helpers.map((h) => this.#deps.peers.probe(h.peer_address, address));
    const results = await Promise.allSettled(probes);
    return results.some((r) => r.status === "fulfilled");
  }

  #suspect(id: string): void {
    const since = this.#suspects.get(id);
    if (since === undefined) {
      this.#suspects.set(id, this.#deps.clock.now());
    } else if (this.#deps.clock.now() - since >= SUSPICION_TIMEOUT_MS) {
      this.#declareGone(id);
    }
  }

  #declareGone(id: string): void {
    this.#suspects.delete(id);
    if (this.#deps.table.declareGone(id)) {
      this.#queueRumor(id);
      const member = this.#deps.table.entry(id);
      if (member) {
        this.#notifyListener([member]);
      }
    }
  }

  #clearSuspicion(id: string): void {
    this.#suspects.delete(id);
    this.#deps.table.noteAlive(id);
  }

  /** Merges a gossip message; returns the ids of entries that were new here, and of those older than the local ones. */
  #applyGossip({ sender, members }: GossipMessage): { fresh: Set<string>; stale: string[] } {
    const { table } = this.#deps;
    this.#clearSuspicion(sender);
    const merged = table.merge(members);
    const fresh = new Set(merged.map((m) => m.sidecar_id));
    const old = members.filter((m) => !fresh.has(m.sidecar_id));
    const distance = this.#distanceOf(sender);
    for (const { sidecar_id: id } of old.filter((m) => table.hasSameVersion(m))) {
      this.#rumors.noteKnown(id, distance);
    }
    this.#spread(merged);
    if (table.entry(sender)?.gone) {
      // The sender was declared dead but is alive: the rumor lets it refute that.
      this.#queueRumor(sender);
    }
    const stale = old.filter((m) => !table.hasSameVersion(m)).map((m) => m.sidecar_id);
    return { fresh, stale };
  }

  #distanceOf(id: string): Distance {
    const { table } = this.#deps;
    return table.entry(id)?.zone === table.selfZone ? "near" : "far";
  }

  /** Compares views if their checksums differ for longer than updates in flight explain. */
  async #compareIfDiverged(
    { sidecar_id: id, peer_address: address }: Member,
    checksum: number,
  ): Promise<void> {
    const { table, clock } = this.#deps;
    const distance = this.#distanceOf(id);
    const count = checksum === table.checksum ? 0 : this.#mismatches[distance] + 1;
    this.#mismatches[distance] = count;
    if (
      count >= MISMATCHES_BEFORE_COMPARE &&
      clock.now() - this.#comparedAt >= MIN_COMPARE_INTERVAL_MS
    ) {
      await this.#compare(address);
    }
  }

  /** Merges the entries that differ at the member at `address`, and sends it those that are outdated there. */
  async #compare(address: string): Promise<void> {
    const { table, peers, clock } = this.#deps;
    this.#mismatches.near = 0;
    this.#mismatches.far = 0;
    this.#comparedAt = clock.now();
    const count = Math.ceil(table.memberCount / MEMBERS_PER_DIGEST);
    const reply = await peers.compare(address, table.digests(Math.min(count, MAX_DIGESTS)));
    if (reply.members.length >= MAX_COMPARE_ENTRIES) {
      this.#comparedAt = -Infinity;
    }
    const { stale } = this.#applyGossip(reply);
    if (stale.length > 0) {
      await this.#exchange(address, stale);
    }
  }

  #membersToProbe(): Member[] {
    const { table, random } = this.#deps;
    const { near, far } = this.#liveByDistance;
    const farCount = Math.min(
      far.length,
      Math.max(FANOUT - near.length, random() < FAR_ROUND_SHARE ? 1 : 0),
    );
    const suspects = table.liveMembers().filter((m) => this.#suspects.has(m.sidecar_id));
    const chosen = [
      ...sampleOf(near, FANOUT - farCount, random),
      ...sampleOf(far, farCount, random),
      ...sampleOf(suspects, SUSPECTS_PER_ROUND, random),
    ].filter((m) => !this.#probing.has(m.sidecar_id));
    return [...new Set(chosen)].slice(0, Math.max(0, MAX_CONCURRENT_PROBES - this.#probing.size));
  }

  /** The live members in the own zone and in others; cached until they change. */
  get #liveByDistance(): Record<Distance, readonly Member[]> {
    const { table } = this.#deps;
    const live = table.liveMembers();
    if (this.#zoneSplit.live !== live) {
      const near = live.filter((m) => m.zone === table.selfZone);
      const far = live.filter((m) => m.zone !== table.selfZone);
      this.#zoneSplit = { live, near, far };
    }
    return this.#zoneSplit;
  }

  /** Seeds to join through, while no other member is known. */
  #seedsToJoin(): string[] {
    return this.#deps.table.memberCount > 1 ? [] : this.#unknownSeeds();
  }

  /** Every few rounds, one address that may lead to a separated part of the fleet. */
  #addressesToReconnect(): string[] {
    const { table, random } = this.#deps;
    if (table.memberCount === 1 || this.#rounds % RECONNECT_EVERY_ROUNDS !== 0) {
      return [];
    }
    const gone = table.goneMembers().map((m) => m.peer_address);
    return sampleOf([...this.#unknownSeeds(), ...gone], 1, random);
  }

  #unknownSeeds(): string[] {
    const { table, seeds } = this.#deps;
    const live = new Set(table.liveMembers().map((m) => m.peer_address));
    return seeds().filter((s) => s !== table.selfAddress && !live.has(s));
  }

  #message(
    members: Member[],
    {
      known = [],
      evidence = [],
      known_evidence = [],
      predecessor = null,
      running_ms = 0,
    }: Partial<
      Pick<GossipMessage, "known" | "evidence" | "known_evidence" | "predecessor" | "running_ms">
    > = {},
  ): GossipMessage {
    const { table, documents } = this.#deps;
    const { selfId: sender, checksum } = table;
    const config_version = documents.version;
    const gossip = { sender, members, checksum, config_version };
    return { ...gossip, known, evidence, known_evidence, predecessor, running_ms };
  }

  /** This member's whole view. */
  get #view(): View {
    return { members: this.#deps.table.entries(), evidence: this.#evidence.all() };
  }

  get #otherCounts(): Record<Distance, number> {
    const { near, far } = this.#liveByDistance;
    return { near: near.length, far: far.length };
  }

  /** Entries to send now: `first`, and rumors that the receiver is not `known` to have. */
  #entriesToSend(first: readonly string[], known?: ReadonlySet<string>): Member[] {
    const ids = [...first, ...this.#rumors.take(RUMORS_PER_MESSAGE, known)];
    return ids.flatMap((id) => this.#deps.table.entry(id) ?? []);
  }

  /** Queues rumors about `members`, and reports them to the listener. */
  #spread(members: readonly Member[]): void {
    for (const m of members) {
      this.#queueRumor(m.sidecar_id);
    }
    this.#notifyListener(members);
  }

  #notifyListener(members: readonly Member[]): void {
    const others = members.filter((m) => m.sidecar_id !== this.#deps.table.selfId);
    if (others.length > 0) {
      this.#deps.onMemberUpdates?.(others);
    }
  }

  #queueRumor(id: string): void {
    this.#rumors.add(id, this.#otherCounts);
    this.#scheduleEarlyRound();
  }

  /** Starts the next round early, so that new rumors do not wait for it. */
  #scheduleEarlyRound(): void {
    if (!this.#started || this.#earlyRoundScheduled) {
      return;
    }
    this.#earlyRoundScheduled = true;
    const { clock } = this.#deps;
    const delay = this.#lastRoundAt + MIN_ROUND_INTERVAL_MS - clock.now();
    this.#earlyRoundTimer = clock.after(Math.max(0, delay), () => {
      this.#earlyRoundScheduled = false;
      void this.round();
    });
  }
}
