import type bunyan from "bunyan";
import type { Clock } from "../../../common/lifecycle/Clock.ts";
import type { HolderReply } from "../../../common/rpc/HolderReply.ts";
import type { LeaseAsk } from "../../../common/rpc/LeaseAsk.ts";
import type { LeaseRelease } from "../../../common/rpc/LeaseRelease.ts";
import type { LeaseReply } from "../../../common/rpc/LeaseReply.ts";
import { HeldQuota } from "./HeldQuota.ts";
import type { LeaseEvent } from "./LeaseEvent.ts";
import { VoterAsks } from "./VoterAsks.ts";

type LeaseRefused = Extract<LeaseReply, { kind: "refused" }>;

/**
 * Longest wait for leases when a credit is requested, ms: the sidecar that requests it asks the next one after 60. A
 * round trip between zones takes 9.
 */
const ACQUIRE_WAIT_MS = 45;

/** Time for which a sidecar that has yielded its leases obtains no new ones, ms; the next holder does so meanwhile. */
const YIELD_MS = 2000;

/**
 * Time after a request for a credit for which leases are obtained, ms. Without it, sidecars that were asked while the
 * holder was unknown would divide the leases among them.
 */
const OBTAIN_MS = 1000;

/** Time for which a lease counts as wanted by another sidecar, ms; that one requests it at least once a second. */
const WANTED_MS = 2500;

/** Time after which a caller may return while leases are handed over, ms. */
const RETRY_MS = 500;

/** Longest time after which a caller may return when its quota is used up, ms. */
const WAIT_MAX_MS = 3_600_000;

/** Longest time after which a caller may return, ms: longer than that, a voter may be replaced. */
const RETRY_MAX_MS = 5000;

interface HolderTaskDeps {
  readonly workspace: string;
  readonly quota: () =>
    { readonly ratePerS: number; readonly burst?: number | undefined } | undefined;
  readonly ask: (address: string, ask: LeaseAsk) => Promise<LeaseReply>;
  readonly release: (address: string, release: LeaseRelease) => void;
  readonly replicas: () => readonly string[];
  /** The sidecar that should hold the quota if this one does not; empty if there is none. */
  readonly otherHolder: () => string;
  readonly isNewLease: (id: number) => boolean;
  readonly address: string;
  readonly process: number;
  readonly termMs: number;
  readonly clock: Clock;
  readonly elapsed: () => number;
  readonly onEvent: (event: LeaseEvent) => void;
  readonly log: Pick<bunyan, "info" | "warn">;
}

/** Obtains and renews the leases of one workspace's quota, and grants credits from them. */
export class HolderTask {
  readonly #deps: HolderTaskDeps;
  readonly #held: HeldQuota;
  readonly #asks: VoterAsks;
  /** The voters' last refusals, by address. */
  readonly #refusals = new Map<string, LeaseRefused>();
  /** The sidecars that the voters have refused because of the leases held here, and when they said so, ms. */
  readonly #wanted = new Map<string, { readonly by: string; readonly at: number }>();
  /** Voters whose leases were in force when last looked at. */
  #inForce = new Set<string>();
  /** Credits granted and refused that are not reported to a voter yet. */
  #usage = { granted: 0, refused: 0 };
  /** Until when credits wait for the first leases, ms. */
  #obtainedBy = -Infinity;
  #yieldedUntil = -Infinity;
  /** Until when the voters grant single credits, ms. */
  #singleUntil = -Infinity;
  #usedAt: number;
  #firstAt: number;

  constructor(deps: HolderTaskDeps) {
    this.#deps = deps;
    const { clock, elapsed, quota, termMs, isNewLease } = deps;
    this.#usedAt = clock.now();
    this.#firstAt = this.#usedAt;
    this.#held = new HeldQuota({ quota, termMs, isNewLease, elapsed, now: () => clock.now() });
    this.#asks = new VoterAsks(clock);
  }

  /** Time of the last request for a credit, ms. */
  get usedAt(): number {
    return this.#usedAt;
  }

  /** Time at which this sidecar was last known to be the first in the ranking, or of the start, ms. */
  get firstAt(): number {
    return this.#firstAt;
  }

  noteRank(isFirst: boolean): void {
    if (isFirst) {
      this.#firstAt = this.#now;
    }
  }

  /** Number of leases in force. */
  get leases(): number {
    return this.#held.count;
  }

  /** Takes a credit; obtains leases first if there are none. */
  async take(): Promise<HolderReply> {
    this.#usedAt = this.#now;
    let takenAt = this.#held.take();
    if (takenAt === undefined && this.#held.count === 0) {
      this.#obtainedBy = this.#now + ACQUIRE_WAIT_MS;
      this.renewDue(true);
    }
    while (takenAt === undefined && this.#asks.arePending && this.#now < this.#obtainedBy) {
      await this.#asks.nextReply(Math.max(1, this.#obtainedBy - this.#now));
      takenAt = this.#held.take();
    }
    if (takenAt !== undefined) {
      this.#usage.granted += 1;
      return { kind: "granted", grant: `${this.#deps.process}/${takenAt}` };
    }
    return this.#refuse();
  }

  /** Takes back a credit that was not used; `grant` is from the reply with it. */
  putBack(grant: string): void {
    const [process, takenAt] = grant.split("/").map(Number);
    if (process === this.#deps.process && takenAt !== undefined) {
      this.#held.putBack(takenAt);
      this.#usage.granted = Math.max(0, this.#usage.granted - 1);
    }
  }

  /**
   * Requests the leases that have to be renewed or may be obtained now.
   *
   * @param isUrgent whether a request waits for them
   */
  renewDue(isUrgent = false): void {
    this.#noteLost();
    if (!this.#mayObtain) {
      return;
    }
    const isUsed = this.#now - this.#usedAt < OBTAIN_MS;
    for (const address of this.#asks.due(this.#deps.replicas(), isUrgent)) {
      if (isUsed || this.#held.holds(address)) {
        void this.#ask(address);
      }
    }
  }

  /** Releases the leases to the sidecar at `first`, the first in the ranking, if it has requested most of them. */
  yieldTo(first: string): void {
    const wanted = [...this.#wanted.values()];
    const recent = wanted.filter((w) => w.by === first && this.#now - w.at < WANTED_MS);
    if (this.#held.count > 0 && recent.length > this.#held.count / 2) {
      this.#yieldedUntil = this.#now + YIELD_MS;
      this.#wanted.clear();
      this.release("another sidecar is first in the ranking");
    }
  }

  /** Releases all leases. */
  release(reason: string): void {
    const { workspace, log, onEvent } = this.#deps;
    for (const address of this.#held.addresses) {
      const ended = this.#held.end(address);
      if (ended) {
        this.#inForce.delete(address);
        this.#deps.release(address, { workspace, ...ended });
        onEvent({ kind: "released" });
        log.info({ workspace, voter: address, reason }, "quota lease released");
      }
    }
  }

  get #mayObtain(): boolean {
    return this.#now >= this.#yieldedUntil && this.#now >= this.#singleUntil;
  }

  async #ask(address: string): Promise<void> {
    const { ask, workspace, process, elapsed } = this.#deps;
    const sentAt = elapsed();
    const presented = this.#held.presented(address);
    const usage = this.#usage;
    this.#usage = { granted: 0, refused: 0 };
    const request = { workspace, holder: this.#deps.address, process, ...presented, ...usage };
    const reply = await this.#asks.send(address, () => ask(address, request));
    if (reply?.kind === "granted") {
      if (this.#mayObtain && this.#held.apply(address, sentAt, presented, reply)) {
        this.#noteGranted(address);
        this.#noteWanted(address, reply.wantedBy);
      }
    } else if (reply) {
      this.#noteRefused(address, reply);
    } else {
      this.#refusals.delete(address);
    }
    this.#asks.wake();
  }

  #noteGranted(address: string): void {
    const { workspace, onEvent, log } = this.#deps;
    this.#refusals.delete(address);
    const isKnown = this.#inForce.has(address);
    onEvent({ kind: isKnown ? "renewed" : "acquired" });
    if (!isKnown) {
      this.#inForce.add(address);
      log.info({ workspace, voter: address }, "quota lease acquired");
    }
  }

  #noteWanted(address: string, by: string): void {
    if (by !== "") {
      this.#wanted.set(address, { by, at: this.#now });
    }
  }

  #noteRefused(address: string, refusal: LeaseRefused): void {
    const { workspace, onEvent, log } = this.#deps;
    const { reason, leftMs, holder } = refusal;
    onEvent({ kind: "refused", reason });
    if (this.#refusals.get(address)?.reason !== reason) {
      log.info({ workspace, voter: address, reason, leftMs, holder }, "quota lease refused");
    }
    this.#refusals.set(address, refusal);
    if (reason === "no-share") {
      this.#held.end(address);
    } else if (reason === "credits") {
      this.#singleUntil = this.#now + leftMs;
      this.release("sidecars without leases use this workspace");
    }
  }

  /** Logs the leases that have expired since the last look. */
  #noteLost(): void {
    const { workspace, onEvent, log } = this.#deps;
    for (const address of this.#inForce) {
      if (!this.#held.holds(address)) {
        this.#inForce.delete(address);
        onEvent({ kind: "lost" });
        log.warn({ workspace, voter: address }, "quota lease lost");
      }
    }
  }

  #refuse(): HolderReply {
    const waitMs = this.#held.waitMs();
    if (waitMs !== undefined) {
      this.#usage.refused += 1;
      return { kind: "exhausted", retryAfterMs: Math.min(waitMs, WAIT_MAX_MS) };
    }
    const refusals = [...this.#refusals.values()];
    const isSingle = this.#now < this.#singleUntil;
    if (isSingle || refusals.some(({ reason }) => reason === "disabled")) {
      return { kind: "credits" };
    }
    if (this.#now < this.#yieldedUntil) {
      return { kind: "unavailable", retryAfterMs: RETRY_MS, holder: this.#deps.otherHolder() };
    }
    const retryAfterMs =
      refusals.length === 0
        ? RETRY_MS
        : Math.min(...refusals.map(({ leftMs }) => leftMs), RETRY_MAX_MS);
    return { kind: "unavailable", retryAfterMs, holder: this.#knownHolder(refusals) };
  }

  /** Who is to be asked; this sidecar itself if the voters have refused to lease their shares to anyone for now. */
  #knownHolder(refusals: readonly LeaseRefused[]): string {
    const { address } = this.#deps;
    const other = refusals.find(({ holder }) => holder !== "" && holder !== address);
    return other?.holder ?? (refusals.length > 0 ? address : "");
  }

  get #now(): number {
    return this.#deps.clock.now();
  }
}
