import type { Clock } from "../../common/lifecycle/Clock.ts";
import type { CreditOutcome } from "../../common/rpc/CreditOutcome.ts";
import type { LeaseAsk } from "../../common/rpc/LeaseAsk.ts";
import type { LeaseRefusal } from "../../common/rpc/LeaseRefusal.ts";
import type { LeaseRelease } from "../../common/rpc/LeaseRelease.ts";
import type { LeaseReply } from "../../common/rpc/LeaseReply.ts";
import type { WorkspaceQuotas } from "./WorkspaceQuotas.ts";

/** Lease ids are below this number, as a 64-bit integer of a message is read as a double. */
const LEASE_IDS = 2 ** 48;

/** Time after which a request that was refused for a passing reason may succeed, ms. */
const RETRY_MS = 500;

interface QuotaLeasesDeps {
  readonly quotas: WorkspaceQuotas;
  readonly termMs: number;
  /** Whether the whole system starts for the first time, so that no earlier incarnation has granted anything. */
  readonly isFirstStart?: boolean;
  readonly clock: Clock;
  /** Returns a number in [0, 1). */
  readonly random: () => number;
  /** Called for each reply with what was done: granted, renewed, adopted, released, or the reason of a refusal. */
  readonly onEvent?: (event: "granted" | "renewed" | "adopted" | "released" | LeaseRefusal) => void;
}

/** The lease of this replica's part of one quota. */
interface Lease {
  readonly id: number;
  /** Address of the holder, and the number of its process. */
  readonly holder: string;
  readonly process: number;
  /** Tokens in the bucket when it was granted. */
  readonly level: number;
  /** Whether it was granted by an earlier incarnation of this replica, and presented to this one. */
  readonly isAdopted: boolean;
  /** The holder uses it no longer than until this time, ms. */
  until: number;
  /** The sidecar that was last refused because of this lease. */
  wantedBy: string;
}

/**
 * Leases this voter's parts of the workspaces' quotas to quota holders, each part to one holder at a time. A lease counts
 * here from the reply and at the holder from its request, so that it ends there first. What a holder has granted is
 * not known when its lease expires, so the bucket is then taken back empty. While a part is leased, no single
 * credits of it are granted; while single credits are granted to sidecars that use no leases, it is not leased.
 */
export class QuotaLeases {
  readonly #deps: QuotaLeasesDeps;
  /** Until this time a lease of an earlier incarnation of this replica may be in force, ms. */
  readonly #ownAfter: number;
  readonly #leases = new Map<string, Lease>();
  /** The last lease of each workspace that was released. */
  readonly #released = new Map<string, number>();
  /** Until when workspaces are left to single credits, ms. */
  readonly #singleUntil = new Map<string, number>();

  constructor(deps: QuotaLeasesDeps) {
    this.#deps = deps;
    this.#ownAfter = deps.isFirstStart ? -Infinity : deps.clock.now() + deps.termMs;
  }

  /** Decides on a request for a lease. */
  ask(ask: LeaseAsk): LeaseReply {
    const reply = this.#decide(ask);
    this.#deps.quotas.noteUsage(ask.workspace, ask.granted, ask.refused);
    if (reply.kind === "refused") {
      this.#deps.onEvent?.(reply.reason);
    }
    return reply;
  }

  /** Takes back a part whose holder uses it no longer. */
  release({ workspace, lease: id, level }: LeaseRelease): void {
    const lease = this.#leases.get(workspace);
    if (lease?.id !== id) {
      return;
    }
    this.#leases.delete(workspace);
    this.#released.set(workspace, id);
    // An adopted lease may have been delayed on the way, and superseded by a later one of the earlier incarnation.
    const [tokens, at] = lease.isAdopted ? [0, this.#ownAfter] : [level, this.#now];
    this.#deps.quotas.takeBack(workspace, tokens, at);
    this.#deps.onEvent?.("released");
  }

  /**
   * Takes a single credit.
   *
   * @param canLease whether the sidecar uses leases where it can; if not, leases give way to single credits
   */
  takeCredit(workspace: string, canLease: boolean): CreditOutcome {
    const now = this.#now;
    if (!canLease) {
      this.#singleUntil.set(workspace, now + this.#deps.termMs);
    }
    if (now < this.#ownAfter || this.#isLeased(workspace)) {
      return { kind: "unavailable" };
    }
    this.#expire(workspace);
    return this.#deps.quotas.take(workspace);
  }

  /** Address of the sidecar that holds this replica's part of a quota; undefined if none does. */
  holderOf(workspace: string): string | undefined {
    return this.#isLeased(workspace) ? this.#leases.get(workspace)?.holder : undefined;
  }

  /** Number of leases in force. */
  get count(): number {
    return [...this.#leases.keys()].filter((w) => this.#isLeased(w)).length;
  }

  #decide(ask: LeaseAsk): LeaseReply {
    const { workspace } = ask;
    const lease = this.#leases.get(workspace);
    if (lease?.id === ask.lease && (ask.isInForce || !lease.isAdopted)) {
      return this.#renew(lease, ask);
    }
    if (lease && this.#isLeased(workspace)) {
      // A holder that does not present its lease has not received it: the reply was lost.
      const isLost = lease.process === ask.process && !lease.isAdopted;
      if (isLost) {
        return this.#renew(lease, { ...ask, isInForce: false });
      }
      lease.wantedBy = ask.holder;
      return this.#refuse("held", lease.until - this.#now, lease.holder);
    }
    if (ask.lease !== 0 && this.#released.get(workspace) === ask.lease) {
      return this.#refuse("released", RETRY_MS);
    }
    const isEarlier = !lease && ask.isInForce && this.#now < this.#ownAfter;
    return isEarlier ? this.#adopt(ask) : this.#grant(ask);
  }

  /** Renews a lease. Without a recent state, only once: this replica may have been removed from the group. */
  #renew(lease: Lease, ask: LeaseAsk): LeaseReply {
    const { workspace } = ask;
    const singleMs = (this.#singleUntil.get(workspace) ?? -Infinity) - this.#now;
    if (singleMs > 0) {
      return this.#refuse("credits", singleMs);
    }
    if (!this.#deps.quotas.isEntitled && (!ask.isInForce || ask.isUnconfirmed)) {
      return this.#refuse("unconfirmed", RETRY_MS);
    }
    return this.#extend(lease, workspace);
  }

  #extend(lease: Lease, workspace: string): LeaseReply {
    const { quotas, termMs } = this.#deps;
    const limits = quotas.limitsOf(workspace);
    if (!limits && quotas.isEntitled) {
      return this.#refuse("no-share", RETRY_MS);
    }
    quotas.lend(workspace);
    const { id, level, wantedBy } = lease;
    lease.until = this.#now + termMs;
    lease.wantedBy = "";
    this.#deps.onEvent?.("renewed");
    return { kind: "granted", lease: id, termMs, limits, level, wantedBy };
  }

  /** Continues a lease of an earlier incarnation of this replica. */
  #adopt(ask: LeaseAsk): LeaseReply {
    const { quotas } = this.#deps;
    if (!quotas.isEntitled && ask.isUnconfirmed) {
      return this.#refuse("unconfirmed", RETRY_MS);
    }
    this.#deps.onEvent?.("adopted");
    return this.#extend(this.#create(ask, ask.lease, 0, true), ask.workspace);
  }

  #grant(ask: LeaseAsk): LeaseReply {
    const { quotas, random, termMs } = this.#deps;
    const { workspace } = ask;
    const now = this.#now;
    if (!quotas.isEntitled) {
      return this.#refuse("unconfirmed", RETRY_MS);
    }
    if (now < this.#ownAfter) {
      return this.#refuse("starting", this.#ownAfter - now);
    }
    const singleMs = (this.#singleUntil.get(workspace) ?? -Infinity) - now;
    if (singleMs > 0) {
      return this.#refuse("credits", singleMs);
    }
    this.#expire(workspace);
    const limits = quotas.limitsOf(workspace);
    const level = quotas.lend(workspace);
    if (!limits || level === undefined) {
      return this.#refuse("no-share", RETRY_MS);
    }
    const { id } = this.#create(ask, 1 + Math.floor(random() * LEASE_IDS), level, false);
    this.#deps.onEvent?.("granted");
    return { kind: "granted", lease: id, termMs, limits, level, wantedBy: "" };
  }

  #create(ask: LeaseAsk, id: number, level: number, isAdopted: boolean): Lease {
    const { workspace, holder, process } = ask;
    const until = this.#now + this.#deps.termMs;
    const lease = { id, holder, process, level, isAdopted, until, wantedBy: "" };
    this.#leases.set(workspace, lease);
    this.#released.delete(workspace);
    return lease;
  }

  /** Takes back the part of a lease that has expired: its holder may have granted everything until then. */
  #expire(workspace: string): void {
    const lease = this.#leases.get(workspace);
    if (lease && !this.#isLeased(workspace)) {
      this.#leases.delete(workspace);
      this.#deps.quotas.takeBack(workspace, 0, lease.until);
    }
  }

  #isLeased(workspace: string): boolean {
    return this.#now < (this.#leases.get(workspace)?.until ?? -Infinity);
  }

  #refuse(reason: LeaseRefusal, leftMs: number, holder = ""): LeaseReply {
    return { kind: "refused", reason, holder, leftMs };
  }

  get #now(): number {
    return this.#deps.clock.now();
  }
}
