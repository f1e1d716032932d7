import type { Clock } from "../common/lifecycle/Clock.ts";
import { Disposable } from "../common/lifecycle/Disposable.ts";
import { every } from "../common/lifecycle/every.ts";
import type { Timer } from "../common/lifecycle/Timer.ts";
import type { ProtoTypes } from "../common/rpc/ProtoTypes.ts";
import type { MembershipPeers } from "./MembershipPeers.ts";
import { RumorQueue, type Distance } from "./RumorQueue.ts";
import { sampleOf } from "./sampleOf.ts";
import type { TargetTable } from "./TargetTable.ts";
import type { VersionWatch } from "./VersionWatch.ts";

type Member = ProtoTypes["Member"];
type News = ProtoTypes["News"];

/** Members probed each round. */
const FANOUT = 2;

/**
 * Share of the rounds in which one of the members probed is of another zone. Bytes between zones are
 * slower and cost more; news crosses often enough, since it does not end before it is known to have crossed.
 */
const FAR_SHARE = 0.5;

/** Suspects probed again each round, besides. */
const SUSPECTS_PER_ROUND = 2;

/**
 * Probes under way at once, at most. When many members are slow at the same time
 * (a fleet starting on a busy machine) every failed probe calls for more; without
 * a bound they feed on each other until nobody answers, and the fleet never settles.
 */
const MAX_PROBES = 6;

/** A probe that failed only after this long failed here: this process stood still past its deadline, ms. */
const STALLED_MS = 2000;

/** Members asked to probe one that does not answer us. */
const INDIRECT_PROBES = 3;

/** A member that nobody asked could reach is dead after this long, ms: a pause for garbage collection is not death. */
const SUSPECT_MS = 1000;

/** Entries of news per message: some 100 bytes each, one packet of the network or a little more. */
const NEWS_PER_MESSAGE = 16;

/** Checksums that differ this often in a row are no news in flight but a gap. */
const GAP_AFTER = 3;

/** Views that differ are compared at most this often, ms; sooner where more differed than one message holds. */
const COMPARE_GAP_MS = 1000;

/** Members whose entries share a digest when views are compared, on average: so many are sent for each one that differs. */
const MEMBERS_PER_DIGEST = 4;

/** Digests in a comparison, at most: two packets of the network. */
const MAX_DIGESTS = 512;

/** Entries that answer a comparison, at most: some 3 KB. */
const MAX_COMPARED = 32;

/** One round in this many also tries a member found dead or a seed, to find the other side of a healed partition. */
const RETRY_GONE_EVERY = 5;

/** Rounds called for by news keep at least this distance, ms: each triples those who know, so hundreds hear of it within a second. */
const NEWS_ROUND_GAP_MS = 100;

interface MembershipDeps {
  readonly table: TargetTable;
  readonly peers: MembershipPeers;
  /** Members to join through at the moment, host:port. */
  readonly seeds: () => readonly string[];
  readonly documents: VersionWatch;
  readonly clock: Clock;
  /** In [0, 1); tests pass a seeded one. */
  readonly random: () => number;
  /** Told of every change in what is believed of other members, of those together that came together. */
  readonly onNews?: (members: readonly Member[]) => void;
}

/**
 * Membership in the manner of SWIM (Das, Gupta, Motivala, "SWIM: Scalable
 * Weakly-consistent Infection-style Process Group Membership Protocol", 2002):
 * each round probes a few random members, asks others to probe those that do not
 * answer (so one cut path is not taken for a death), and carries changes along.
 * A quiet fleet costs each sidecar the same whatever its size.
 */
export class Membership extends Disposable {
  readonly #deps: MembershipDeps;
  readonly #rumors = new RumorQueue();
  readonly #suspects = new Map<string, number>();
  readonly #probing = new Set<string>();
  #rounds = 0;
  #gaps = 0;
  #comparedAt = -Infinity;
  #lastRoundAt = -Infinity;
  #started = false;
  #hastened = false;
  #newsTimer: Timer | undefined;
  #divided: { live: readonly Member[] } & Record<Distance, readonly Member[]> = {
    live: [],
    near: [],
    far: [],
  };

  constructor(deps: MembershipDeps) {
    super();
    this.#deps = deps;
    this.register({
      dispose: () => {
        this.#newsTimer?.cancel();
      },
    });
    this.#pass([deps.table.own]);
  }

  /** Starts a round every `intervalMs`, and sooner when there is news, until disposed. */
  start(intervalMs: number): void {
    this.#started = true;
    this.register(every(intervalMs, () => void this.round()));
  }

  /** Passes on at once what has changed beside this sidecar: a drain cannot wait for the next round. */
  noteLocalChange(): void {
    if (this.#deps.table.refreshOwn()) {
      this.#pass([this.#deps.table.own]);
    }
  }

  /** Tells the others that this member is being stopped. */
  beginStop(): void {
    this.#deps.table.beginStop();
    this.#pass([this.#deps.table.own]);
  }

  /** Tells the others that this member is gone, before it ends. */
  async leave(): Promise<void> {
    this.#deps.table.leave();
    this.#pass([this.#deps.table.own]);
    await this.round();
  }

  /** One round: probes a few members and passes news on; resolves when all have answered or not. */
  async round(): Promise<void> {
    this.#lastRoundAt = this.#deps.clock.now();
    this.#rounds += 1;
    if (this.#deps.table.refreshOwn()) {
      this.#pass([this.#deps.table.own]);
    }
    await Promise.all([
      ...this.#probeList().map((m) => this.#probeMember(m)),
      ...this.#seedList().map((address) => this.#tryJoin(address)),
      ...this.#lostList().map((address) => this.#tryLost(address)),
    ]);
  }

  /** Answers another sidecar's probe. */
  onExchange(news: News): News {
    const { fresh, stale } = this.#takeIn(news);
    const from = this.#deps.table.entry(news.sender);
    if (from) {
      this.#deps.documents.noteVersion(from.peer_address, news.config_version);
    }
    const known = news.members.flatMap((m, at) => (fresh.has(m.sidecar_id) ? [] : [at]));
    const theirs = new Set(news.members.map((m) => m.sidecar_id));
    return this.#message(this.#hot(stale, theirs), known);
  }

  /** Answers digests of another sidecar's view with entries of ours where they differ. */
  onCompare(digests: readonly number[]): News {
    const differing = this.#deps.table.differing(digests);
    return this.#message(sampleOf(differing, MAX_COMPARED, this.#deps.random));
  }

  /** Answers another sidecar's whole view with ours. */
  onSync(members: readonly Member[]): Member[] {
    this.#pass(this.#deps.table.merge(members));
    return this.#deps.table.entries();
  }

  /** Probes a member on behalf of a sidecar that cannot reach it; rejects when it does not answer. */
  async onProbe(address: string): Promise<void> {
    await this.#exchange(address);
  }

  /** Trades news with the member at `address`; what it had already is passed on less. */
  async #exchange(address: string, corrections: string[] = []): Promise<News> {
    const sent = this.#message(this.#hot(corrections));
    const reply = await this.#deps.peers.exchange(address, sent);
    this.#takeIn(reply);
    const from = this.#distanceOf(reply.sender);
    for (const at of reply.known) {
      this.#rumors.noteKnown(sent.members[at]?.sidecar_id ?? "", from);
    }
    return reply;
  }

  async #probeMember(member: Member): Promise<void> {
    const { peer_address: address, sidecar_id: id } = member;
    const startedAt = this.#deps.clock.now();
    this.#probing.add(id);
    try {
      const news = await this.#exchange(address);
      if (news.sender !== id) {
        // Its address has gone to another member, so it is not there any more.
        this.#declareGone(id);
      }
      this.#deps.documents.noteVersion(address, news.config_version);
      await this.#closeGap(address, news.checksum);
    } catch {
      if (await this.#reachedByOthers(address)) {
        this.#clear(id);
      } else if (this.#deps.clock.now() - startedAt < STALLED_MS) {
        this.#suspect(id);
      }
    } finally {
      this.#probing.delete(id);
    }
  }

  /** Joins through a seed, whose whole view tells of all the others. */
  async #tryJoin(address: string): Promise<void> {
    const { table, peers } = this.#deps;
    try {
      const members = await peers.sync(address, table.entries());
      const isNewcomer = table.memberCount === 1;
      const fresh = table.merge(members);
      if (isNewcomer) {
        // Does not gossip entries learned from a join, which every newcomer would otherwise resend.
        this.#tell(fresh);
      } else {
        this.#pass(fresh);
      }
    } catch {
      // Not up yet; a later round tries again.
    }
  }

  /** Finds a lost part of the fleet again, through a member found dead or a seed that is not known. */
  async #tryLost(address: string): Promise<void> {
    try {
      // It may never have heard of this one, and tells the others there.
      await this.#exchange(address, [this.#deps.table.selfId]);
      await this.#compare(address);
    } catch {
      // Still down or cut off; a later round tries another.
    }
  }

  async #reachedByOthers(address: string): Promise<boolean> {
    const { table, random } = this.#deps;
    const others = table.liveMembers().filter((m) => m.peer_address !== address);
    const helpers = sampleOf(others, INDIRECT_PROBES, random);
    const asked = helpers.map((h) => this.#deps.peers.probe(h.peer_address, address));
    const answers = await Promise.allSettled(asked);
    return answers.some((a) => a.status === "fulfilled");
  }

  #suspect(id: string): void {
    const since = this.#suspects.get(id);
    if (since === undefined) {
      this.#suspects.set(id, this.#deps.clock.now());
    } else if (this.#deps.clock.now() - since >= SUSPECT_MS) {
      this.#declareGone(id);
    }
  }

  #declareGone(id: string): void {
    this.#suspects.delete(id);
    if (this.#deps.table.declareGone(id)) {
      this.#announceNews(id);
      const member = this.#deps.table.entry(id);
      if (member) {
        this.#tell([member]);
      }
    }
  }

  #clear(id: string): void {
    this.#suspects.delete(id);
    this.#deps.table.noteAlive(id);
  }

  /** Takes news in; returns whose entries were news here, and whose were older than what is known. */
  #takeIn({ sender, members }: News): { fresh: Set<string>; stale: string[] } {
    const { table } = this.#deps;
    this.#clear(sender);
    const taken = table.merge(members);
    const fresh = new Set(taken.map((m) => m.sidecar_id));
    const old = members.filter((m) => !fresh.has(m.sidecar_id));
    const from = this.#distanceOf(sender);
    for (const { sidecar_id: id } of old.filter((m) => table.isKnown(m))) {
      this.#rumors.noteKnown(id, from);
    }
    this.#pass(taken);
    if (table.entry(sender)?.gone) {
      // It is alive after all: tell it of its death, so that it can contradict that.
      this.#announceNews(sender);
    }
    const stale = old.filter((m) => !table.isKnown(m)).map((m) => m.sidecar_id);
    return { fresh, stale };
  }

  #distanceOf(id: string): Distance {
    const { table } = this.#deps;
    return table.entry(id)?.zone === table.selfZone ? "near" : "far";
  }

  /** Compares views when the checksums go on differing with no news to explain it. */
  async #closeGap(address: string, checksum: number): Promise<void> {
    const { table, clock } = this.#deps;
    this.#gaps = checksum === table.checksum ? 0 : this.#gaps + 1;
    if (this.#gaps >= GAP_AFTER && clock.now() - this.#comparedAt >= COMPARE_GAP_MS) {
      await this.#compare(address);
    }
  }

  /** Takes in what differs at a member, and tells it where it is out of date itself. */
  async #compare(address: string): Promise<void> {
    const { table, peers, clock } = this.#deps;
    this.#gaps = 0;
    this.#comparedAt = clock.now();
    const count = Math.ceil(table.memberCount / MEMBERS_PER_DIGEST);
    const reply = await peers.compare(address, table.digests(Math.min(count, MAX_DIGESTS)));
    if (reply.members.length >= MAX_COMPARED) {
      this.#comparedAt = -Infinity;
    }
    const { stale } = this.#takeIn(reply);
    if (stale.length > 0) {
      await this.#exchange(address, stale);
    }
  }

  #probeList(): Member[] {
    const { table, random } = this.#deps;
    const { near, far } = this.#byDistance;
    const fars = Math.min(far.length, Math.max(FANOUT - near.length, random() < FAR_SHARE ? 1 : 0));
    const suspects = table.liveMembers().filter((m) => this.#suspects.has(m.sidecar_id));
    const chosen = [
      ...sampleOf(near, FANOUT - fars, random),
      ...sampleOf(far, fars, random),
      ...sampleOf(suspects, SUSPECTS_PER_ROUND, random),
    ].filter((m) => !this.#probing.has(m.sidecar_id));
    return [...new Set(chosen)].slice(0, Math.max(0, MAX_PROBES - this.#probing.size));
  }

  /** The live members in the own zone and in others; drawn up afresh when they have changed. */
  get #byDistance(): Record<Distance, readonly Member[]> {
    const { table } = this.#deps;
    const live = table.liveMembers();
    if (this.#divided.live !== live) {
      const near = live.filter((m) => m.zone === table.selfZone);
      const far = live.filter((m) => m.zone !== table.selfZone);
      this.#divided = { live, near, far };
    }
    return this.#divided;
  }

  /** Seeds to join through, while nobody is known. */
  #seedList(): string[] {
    return this.#deps.table.memberCount > 1 ? [] : this.#strangers();
  }

  /** Now and then, one that may be in a part of the fleet which is lost to this one. */
  #lostList(): string[] {
    const { table, random } = this.#deps;
    if (table.memberCount === 1 || this.#rounds % RETRY_GONE_EVERY !== 0) {
      return [];
    }
    const gone = table.goneMembers().map((m) => m.peer_address);
    return sampleOf([...this.#strangers(), ...gone], 1, random);
  }

  #strangers(): string[] {
    const { table, seeds } = this.#deps;
    const live = new Set(table.liveMembers().map((m) => m.peer_address));
    return seeds().filter((s) => s !== table.selfAddress && !live.has(s));
  }

  #message(members: Member[], known: number[] = []): News {
    const { table, documents } = this.#deps;
    const { selfId: sender, checksum } = table;
    return { sender, members, checksum, config_version: documents.version, known };
  }

  /** Entries to pass on now: `first`, and news that the receiver is not `known` to have. */
  #hot(first: readonly string[], known?: ReadonlySet<string>): Member[] {
    const ids = [...first, ...this.#rumors.take(NEWS_PER_MESSAGE, known)];
    return ids.flatMap((id) => this.#deps.table.entry(id) ?? []);
  }

  #pass(members: readonly Member[]): void {
    for (const m of members) {
      this.#announceNews(m.sidecar_id);
    }
    this.#tell(members);
  }

  #tell(members: readonly Member[]): void {
    const others = members.filter((m) => m.sidecar_id !== this.#deps.table.selfId);
    if (others.length > 0) {
      this.#deps.onNews?.(others);
    }
  }

  #announceNews(id: string): void {
    const { near, far } = this.#byDistance;
    this.#rumors.add(id, { near: near.length, far: far.length });
    this.#hasten();
  }

  /** News does not wait for the next round. */
  #hasten(): void {
    if (!this.#started || this.#hastened) {
      return;
    }
    this.#hastened = true;
    const { clock } = this.#deps;
    const wait = this.#lastRoundAt + NEWS_ROUND_GAP_MS - clock.now();
    this.#newsTimer = clock.after(Math.max(0, wait), () => {
      this.#hastened = false;
      void this.round();
    });
  }
}
