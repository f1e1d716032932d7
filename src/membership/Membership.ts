import type { Clock } from "../common/lifecycle/Clock.ts";
import { Disposable } from "../common/lifecycle/Disposable.ts";
import { every } from "../common/lifecycle/every.ts";
import type { Timer } from "../common/lifecycle/Timer.ts";
import type { ProtoTypes } from "../common/rpc/ProtoTypes.ts";
import type { ConfigSource } from "./ConfigSource.ts";
import type { MembershipPeers } from "./MembershipPeers.ts";
import { RumorQueue } from "./RumorQueue.ts";
import type { TargetTable } from "./TargetTable.ts";

type Member = ProtoTypes["Member"];

/** Members probed each round. */
const FANOUT = 2;

/** Suspects probed again each round, besides. */
const SUSPECTS_PER_ROUND = 2;

/**
 * Probes under way at once, at most. When many members are slow at the same time
 * (a fleet starting on a busy machine) every failed probe calls for more; without
 * a bound they feed on each other until nobody answers. Seen: 40 sidecars
 * starting together on 8 cores never settled.
 */
const MAX_PROBES = 6;

/** A probe that failed only after this long failed here: this process stood still past its deadline, ms. */
const STALLED_MS = 2000;

/** Members asked to probe one that does not answer us. */
const INDIRECT_PROBES = 3;

/** A member that nobody asked could reach is dead after this long, ms: a pause for garbage collection is not death. */
const SUSPECT_MS = 1000;

/** Entries of news per message: about 150 bytes each, two packets of the network at most. */
const NEWS_PER_MESSAGE = 16;

/** Checksums that differ this often in a row are no news in flight but a gap. */
const GAP_AFTER = 3;

/** Whole views are synced at most once in this long per member, ms, so their cost per second does not grow with the fleet. */
const SYNC_MS_PER_MEMBER = 100;

/** One round in this many also tries a member found dead or a seed, to find the other side of a healed partition. */
const RETRY_GONE_EVERY = 5;

/** Rounds called for by news keep at least this distance, ms: a fleet of 30 then hears of a change within half a second. */
const NEWS_ROUND_GAP_MS = 60;

interface MembershipDeps {
  readonly table: TargetTable;
  readonly peers: MembershipPeers;
  /** Members to join through at the moment, host:port. */
  readonly seeds: () => readonly string[];
  readonly config: ConfigSource;
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
  #syncedAt = -Infinity;
  #lastRoundAt = -Infinity;
  #fetchingConfig = false;
  #started = false;
  #hastened = false;
  #newsTimer: Timer | undefined;

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
      ...this.#joinList().map((address) => this.#tryJoin(address)),
    ]);
  }

  /** Answers another sidecar's probe. */
  onExchange(news: ProtoTypes["News"]): ProtoTypes["News"] {
    this.#takeIn(news);
    return this.#news();
  }

  /** Answers another sidecar's whole view with ours. */
  onSync(members: readonly Member[]): Member[] {
    this.#pass(this.#deps.table.merge(members));
    return this.#deps.table.entries();
  }

  /** Probes a member on behalf of a sidecar that cannot reach it; rejects when it does not answer. */
  async onProbe(address: string): Promise<void> {
    this.#takeIn(await this.#deps.peers.exchange(address, this.#news()));
  }

  async #probeMember(member: Member): Promise<void> {
    const { peer_address: address, sidecar_id: id } = member;
    const startedAt = this.#deps.clock.now();
    this.#probing.add(id);
    try {
      const news = await this.#deps.peers.exchange(address, this.#news());
      this.#takeIn(news);
      if (news.sender !== id) {
        // Its address has gone to another member, so it is not there any more.
        this.#declareGone(id);
      }
      await this.#closeGap(address, news.checksum);
      await this.#catchUp(address, news.config_version);
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

  /** Joins, or finds a lost part of the fleet, through an address that may be anyone's. */
  async #tryJoin(address: string): Promise<void> {
    try {
      const members = await this.#deps.peers.sync(address, this.#deps.table.entries());
      this.#pass(this.#deps.table.merge(members));
    } catch {
      // Not up, or still cut off; a later round tries again.
    }
  }

  async #reachedByOthers(address: string): Promise<boolean> {
    const helpers = this.#sample(
      this.#deps.table.liveMembers().filter((m) => m.peer_address !== address),
      INDIRECT_PROBES,
    );
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

  #takeIn(news: ProtoTypes["News"]): void {
    this.#clear(news.sender);
    this.#pass(this.#deps.table.merge(news.members));
    if (this.#deps.table.entry(news.sender)?.gone) {
      // It is alive after all: tell it of its death, so that it can contradict that.
      this.#announceNews(news.sender);
    }
  }

  /** Syncs whole views when the checksums go on differing with no news to explain it. */
  async #closeGap(address: string, checksum: number): Promise<void> {
    this.#gaps = checksum === this.#deps.table.checksum ? 0 : this.#gaps + 1;
    const pause = SYNC_MS_PER_MEMBER * this.#deps.table.memberCount;
    if (this.#gaps < GAP_AFTER || this.#deps.clock.now() - this.#syncedAt < pause) {
      return;
    }
    this.#gaps = 0;
    this.#syncedAt = this.#deps.clock.now();
    await this.#tryJoin(address);
  }

  /**
   * Takes a newer document from the peer that has it. This carries an accepted
   * change to sidecars that cannot reach control, or whose replica was cut off.
   */
  async #catchUp(address: string, version: number): Promise<void> {
    if (version <= this.#deps.config.version || this.#fetchingConfig) {
      return;
    }
    this.#fetchingConfig = true;
    try {
      const updates = await this.#deps.peers.config(address, this.#deps.config.version);
      updates.forEach((u) => {
        this.#deps.config.offer(u);
      });
    } finally {
      this.#fetchingConfig = false;
    }
  }

  #probeList(): Member[] {
    const live = this.#deps.table.liveMembers().filter((m) => !this.#probing.has(m.sidecar_id));
    const suspects = live.filter((m) => this.#suspects.has(m.sidecar_id));
    const chosen = [...this.#sample(live, FANOUT), ...this.#sample(suspects, SUSPECTS_PER_ROUND)];
    return [...new Set(chosen)].slice(0, Math.max(0, MAX_PROBES - this.#probing.size));
  }

  #joinList(): string[] {
    const { table, seeds } = this.#deps;
    const live = new Set(table.liveMembers().map((m) => m.peer_address));
    const strangers = seeds().filter((s) => s !== table.selfAddress && !live.has(s));
    if (live.size === 0) {
      return strangers;
    }
    if (this.#rounds % RETRY_GONE_EVERY !== 0) {
      return [];
    }
    return this.#sample([...strangers, ...table.goneMembers().map((m) => m.peer_address)], 1);
  }

  #news(): ProtoTypes["News"] {
    const { table, config } = this.#deps;
    const ids = this.#rumors.take(NEWS_PER_MESSAGE);
    return {
      sender: table.selfId,
      members: ids.flatMap((id) => table.entry(id) ?? []),
      checksum: table.checksum,
      config_version: config.version,
    };
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
    this.#rumors.add(id, this.#deps.table.memberCount);
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

  #sample<T>(pool: readonly T[], most: number): T[] {
    const left = [...pool];
    const chosen: T[] = [];
    while (chosen.length < most && left.length > 0) {
      chosen.push(...left.splice(Math.floor(this.#deps.random() * left.length), 1));
    }
    return chosen;
  }
}
