import type { GrantId } from "../../common/ids/GrantId.ts";
import type { Clock } from "../../common/lifecycle/Clock.ts";
import type { QueuedRequest } from "../gate/QueuedRequest.ts";
import type { ServiceTime } from "../gate/ServiceTime.ts";
import { arrangeFairly } from "./arrangeFairly.ts";
import { claimShares, type ClaimShare } from "./claimShares.ts";
import type { FairShareRule } from "./FairShareRule.ts";
import { FairTags } from "./FairTags.ts";
import { SlotTimeUse } from "./SlotTimeUse.ts";
import { workspaceOf } from "./workspaceOf.ts";

/** Names of users that are no workspaces; no workspace has them, as names contain no spaces. */
const NESTED_CALLS = "nested calls";
const NO_WORKSPACE = "no workspace";

interface FairSharesDeps {
  /** The rule in force; undefined while fair sharing is off. */
  readonly rule: () => FairShareRule | undefined;
  /** Number of requests that the target can run at once. */
  readonly slots: () => number;
  readonly serviceTime: Pick<ServiceTime, "typicalMs" | "meanMs">;
  readonly clock: Clock;
}

/** What a granted request was charged. */
interface Charge {
  /** Undefined for a nested call, which is charged to no workspace. */
  readonly workspace: string | undefined;
  /** Expected slot time, ms. */
  readonly costMs: number;
  /** The same divided by the weight, ms of virtual time. */
  readonly virtualMs: number;
}

/** The request that a full queue refuses for fairness, and the share of its workspace. */
export interface FairRefusal extends ClaimShare {
  readonly waiting: QueuedRequest;
  readonly workspace: string;
}

/** A user of slot time in the report of a gate. */
interface UserShare {
  /** Name of a workspace, or "no workspace", "nested calls" or "all others". */
  readonly user: string;
  /** Part of the slot time used recently, 0 to 1. */
  readonly share: number;
}

/**
 * Shares the slot time of one gate among workspaces by weight, by start-time fair queueing; see {@link FairTags}.
 * Nested calls are outside of it: the workspace behind one is mostly unknown, and refusing it wastes the run that makes
 * it.
 */
export class FairShares {
  readonly #deps: FairSharesDeps;
  readonly #tags = new FairTags();
  readonly #charges = new Map<GrantId, Charge>();
  readonly #use: SlotTimeUse;

  constructor(deps: FairSharesDeps) {
    this.#deps = deps;
    this.#use = new SlotTimeUse(deps.clock);
  }

  /** Whether slot time is shared by weight now. */
  get isOn(): boolean {
    return this.#deps.rule() !== undefined;
  }

  /** Current virtual time, ms. */
  get virtualMs(): number {
    return this.#tags.virtualMs;
  }

  /** Queued requests in the order in which they are to be served; undefined while fair sharing is off. */
  arrange(queued: readonly QueuedRequest[], now: number): QueuedRequest[] | undefined {
    const { rule: readRule, slots, serviceTime } = this.#deps;
    const rule = readRule();
    return (
      rule &&
      arrangeFairly(queued, {
        tags: this.#tags,
        rule,
        costMs: (waiting) => this.#costMs(waiting),
        slots: slots(),
        now,
        serviceMs: serviceTime.meanMs,
      })
    );
  }

  /** Charges the workspace of a request that is granted a slot. */
  recordGrant(grant: GrantId, waiting: QueuedRequest): void {
    const rule = this.#deps.rule();
    if (!rule) {
      return;
    }
    if (this.#charges.size === 0) {
      this.#tags.endBusyPeriod();
    }
    const { request, virtualArrivalMs = 0 } = waiting;
    const costMs = this.#costMs(waiting);
    if (request.isNestedCall) {
      this.#charges.set(grant, { workspace: undefined, costMs, virtualMs: 0 });
      return;
    }
    const workspace = workspaceOf(request);
    const virtualMs = costMs / rule.weightOf(workspace);
    this.#tags.charge(workspace, virtualArrivalMs, virtualMs);
    this.#charges.set(grant, { workspace, costMs, virtualMs });
  }

  /** Returns the charge for a grant that was revoked unused. */
  recordRevoked(grant: GrantId): void {
    const charge = this.#charges.get(grant);
    this.#charges.delete(grant);
    if (charge?.workspace !== undefined) {
      this.#tags.refund(charge.workspace, charge.virtualMs);
    }
  }

  /** Records that a run has ended, which used its slot for `ms`. */
  recordEnd(grant: GrantId, ms: number): void {
    const charge = this.#charges.get(grant);
    this.#charges.delete(grant);
    if (charge) {
      const { workspace } = charge;
      this.#use.record(workspace === "" ? NO_WORKSPACE : (workspace ?? NESTED_CALLS), ms);
    }
  }

  /**
   * Chooses the request that a full queue refuses for fairness, so that `newcomer` can be queued: the last one of the
   * workspace furthest over its share, with the newcomer counted. If that is the newcomer's own workspace, the newcomer
   * is refused. The only request of a workspace is never refused for fairness: one that is costly, or whose workspace has
   * a small weight, would never be served. Undefined if there is none to refuse.
   */
  chooseRefused(
    newcomer: QueuedRequest,
    queued: readonly QueuedRequest[],
  ): FairRefusal | undefined {
    const rule = this.#deps.rule();
    if (!rule) {
      return undefined;
    }
    const shares = claimShares(this.#claims([...queued, newcomer]), rule);
    const { isNestedCall } = newcomer.request;
    if (isNestedCall) {
      return this.#furthest(queued, shares, () => true);
    }
    const counts = this.#counts([...queued, newcomer]);
    const mayLose = (workspace: string, share: ClaimShare) =>
      isOver(share) && (counts.get(workspace) ?? 0) > 1;
    const workspace = workspaceOf(newcomer.request);
    const own = shares.get(workspace);
    const furthest = this.#furthest(queued, shares, mayLose);
    if (own && mayLose(workspace, own) && (!furthest || excess(own) >= excess(furthest))) {
      return { waiting: newcomer, workspace, ...own };
    }
    return furthest;
  }

  /** Recent shares of slot time at this gate: the ten largest, and all others together; none while it is off. */
  get shares(): UserShare[] {
    return this.isOn ? this.#use.shares : [];
  }

  /** The last request in order of the workspace with the largest claim by weight, among those that may lose one. */
  #furthest(
    queued: readonly QueuedRequest[],
    shares: ReadonlyMap<string, ClaimShare>,
    mayLose: (workspace: string, share: ClaimShare) => boolean,
  ): FairRefusal | undefined {
    const callers = queued.filter(({ request }) => !request.isNestedCall);
    const arranged = this.arrange(callers, this.#deps.clock.now()) ?? [];
    let furthest: FairRefusal | undefined;
    for (const waiting of arranged) {
      const workspace = workspaceOf(waiting.request);
      const share = shares.get(workspace);
      if (
        share &&
        mayLose(workspace, share) &&
        excess(share) >= (furthest ? excess(furthest) : 0)
      ) {
        furthest = { waiting, workspace, ...share };
      }
    }
    return furthest;
  }

  /** Expected slot time of the running and the given queued requests of each workspace, ms. */
  #claims(queued: readonly QueuedRequest[]): Map<string, number> {
    const claims = new Map<string, number>();
    const add = (workspace: string, ms: number) =>
      claims.set(workspace, (claims.get(workspace) ?? 0) + ms);
    for (const { workspace, costMs } of this.#charges.values()) {
      if (workspace !== undefined) {
        add(workspace, costMs);
      }
    }
    for (const waiting of queued) {
      if (!waiting.request.isNestedCall) {
        add(workspaceOf(waiting.request), this.#costMs(waiting));
      }
    }
    return claims;
  }

  /** Number of running and the given queued requests of each workspace, nested calls left out. */
  #counts(queued: readonly QueuedRequest[]): Map<string, number> {
    const running = [...this.#charges.values()].map(({ workspace }) => workspace);
    const waiting = queued
      .filter(({ request }) => !request.isNestedCall)
      .map(({ request }) => workspaceOf(request));
    const counts = new Map<string, number>();
    for (const workspace of [...running, ...waiting].filter((w) => w !== undefined)) {
      counts.set(workspace, (counts.get(workspace) ?? 0) + 1);
    }
    return counts;
  }

  #costMs({ request }: QueuedRequest): number {
    return this.#deps.serviceTime.typicalMs(request);
  }
}

function isOver({ share, fairShare }: ClaimShare): boolean {
  return share > fairShare;
}

function excess({ share, fairShare }: ClaimShare): number {
  return share / fairShare;
}
