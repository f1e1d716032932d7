import type bunyan from "bunyan";
import type { GrantId } from "../../common/ids/GrantId.ts";
import type { TargetId } from "../../common/ids/TargetId.ts";
import type { Clock } from "../../common/lifecycle/Clock.ts";
import type { Timer } from "../../common/lifecycle/Timer.ts";
import type { TargetInfo } from "../../membership/TargetInfo.ts";
import type { SlotRequest } from "../hop/SlotRequest.ts";
import type { SlotReply } from "../hop/SlotReply.ts";
import type { GateLoad } from "../hop/GateLoad.ts";
import type { HopLink } from "../hop/HopLink.ts";
import type { PendingCall } from "../hop/PendingCall.ts";
import { RefusalReason } from "../hop/RefusalReason.ts";
import type { TargetNotices } from "../signals/TargetNotices.ts";
import type { CallerRequest } from "./CallerRequest.ts";
import { SearchRefusals } from "./SearchRefusals.ts";
import type { PickedTarget, PickContext, RoutingPolicy, SuspectTarget } from "./RoutingPolicy.ts";

/** A lease on a slot at `target`, valid until it is used or expires. */
export interface Grant {
  readonly target: TargetInfo;
  readonly id: GrantId;
}

/** Outcome of a search: a grant, or the reason why there is none. */
export type SlotSearchResult =
  | { readonly kind: "granted"; readonly grant: Grant }
  | {
      readonly kind: "refused";
      readonly reason: string;
      readonly retryAfterMs: number;
      /** No target was known, or every one asked was unknown to the sidecar it was announced by. */
      readonly isTargetUnknown: boolean;
    };

interface SlotFinderDeps {
  readonly policy: RoutingPolicy;
  readonly requestSlot: HopLink["requestSlot"];
  /** Number of slot requests that are sent at once; by default 1, and the next ones while that is not granted. */
  readonly firstRequests?: number;
  /** What targets have said about themselves in responses; by default nothing. */
  readonly notices?: Pick<TargetNotices, "limitOf">;
  readonly clock: Clock;
  readonly log: bunyan;
}

/**
 * Maximum number of concurrent slot requests. The first grant is used and the other
 * slot requests are withdrawn (late binding; Ousterhout et al., "Sparrow", SOSP 2013), so
 * that no request waits at a busy target while another one has a free slot.
 */
const MAX_CONCURRENT_REQUESTS = 3;

/**
 * Time without a reply after which another target is tried in parallel, ms. A reply
 * across zones takes 3 to 6 ms; over a path that is cut or loses packets it takes
 * hundreds or never arrives.
 */
const NEXT_AFTER_SILENCE_MS = 40;

/** Time in an admission queue after which another target is tried in parallel, ms. */
const NEXT_AFTER_QUEUED_MS = 15;

/**
 * Time without a reply after which a slot request is reported as a link failure and no longer counts as in flight, ms.
 * Longer than a garbage collection pause at the other sidecar.
 */
const UNRESPONSIVE_MS = 150;

/**
 * Time without a reply after which a slot request is abandoned, ms. It was sent three times by then, so the
 * other sidecar is down or unreachable.
 */
const ABANDON_MS = 500;

/**
 * Highest failure probability at which a gray target is tried while there are healthy ones, even if those are
 * full. A late response, or a timely "not run", serves a caller better than a failure after which the work may have
 * been done.
 */
const MAX_GRAY_RISK = 0.5;

/**
 * The same limit for a gray target that the service's floor keeps in rotation. When that many targets look gray, the
 * detector may be wrong or all targets slow, so more evidence is required. A target that fails every request still
 * exceeds this limit.
 */
const MAX_KEPT_RISK = 0.75;

/**
 * Limit for a request that can still be retried, when no healthy target is reachable: any target is tried. A request
 * that can't be retried keeps the limit of {@link MAX_KEPT_RISK}: "not run" lets its caller safely try again, while a target
 * that fails three requests in four would probably leave its outcome unknown.
 */
const ANY_RISK = 1;

/**
 * Share of the route's objective for which a request queued at healthy targets does not try a gray target whose
 * risk is acceptable: a slot may still come free within the objective.
 */
const GRAY_DELAY_SHARE = 0.5;

/** A slot request without a final reply. */
interface OpenRequest {
  readonly target: TargetInfo;
  readonly pending: PendingCall<SlotReply>;
  readonly sentAt: number;
  /** The failure probability up to which the target may grant it while suspect or ejected. */
  readonly acceptsRisk: number;
  /** The target's gate has confirmed that it waits in the admission queue. */
  queued: boolean;
  /** There was no reply within {@link UNRESPONSIVE_MS}. */
  unresponsive: boolean;
}

/**
 * Finds a target with a free slot for one request. A slot request runs nothing at a
 * target, so several can be sent in parallel, and an unresponsive path costs a few
 * tens of milliseconds but never leaves the outcome of the request unknown.
 */
export class SlotFinder {
  readonly #deps: SlotFinderDeps;
  readonly #context: PickContext;
  readonly #req: CallerRequest;
  readonly #tried: Set<TargetId>;
  readonly #openRequests = new Map<TargetId, OpenRequest>();
  /** Targets that refused because they are suspect. */
  #suspects: SuspectTarget[] = [];
  #hasProbed = false;
  readonly #refusals = new SearchRefusals();
  #firstQueuedAt: number | undefined;
  readonly #settle: (result: SlotSearchResult) => void;
  readonly #timers = new Set<Timer>();
  #done = false;

  /** Resolves once a slot is granted, no target is left to try, the deadline passes or the search is cancelled. */
  readonly result: Promise<SlotSearchResult>;

  /** @param tried targets to exclude, since this request was already sent to them */
  constructor(
    deps: SlotFinderDeps,
    request: PickContext,
    req: CallerRequest,
    tried: ReadonlySet<TargetId>,
  ) {
    this.#deps = deps;
    this.#context = request;
    this.#req = req;
    this.#tried = new Set(tried);
    let settle: (result: SlotSearchResult) => void = () => undefined;
    this.result = new Promise((resolve) => (settle = resolve));
    this.#settle = settle;
    this.#after(req.deadlineAt - deps.clock.now(), () => {
      this.#refuse("no slot came free in time");
    });
    req.disconnected.addEventListener("abort", this.#onCallerDisconnected);
    for (let n = 0; n < (deps.firstRequests ?? 1); n++) {
      this.#requestNext();
    }
  }

  /** Ends the search as refused and withdraws the open slot requests. */
  cancel(
    reason = "this sidecar gave it up, as it is being stopped or another try was quicker",
  ): void {
    this.#refuse(reason);
  }

  readonly #onCallerDisconnected = (): void => {
    this.#refuse("the caller has left");
  };

  /**
   * Sends a slot request to the next target, if the limits allow one now; refuses when nothing is left to try
   * or wait for.
   */
  #requestNext(): void {
    if (this.#done) {
      return;
    }
    const next =
      this.#inFlight < MAX_CONCURRENT_REQUESTS && this.#refusals.mayTryHealthy
        ? this.#pickNext()
        : undefined;
    const isHedge = this.#context.hedgeOf !== undefined;
    const leastRisky = next || isHedge ? undefined : this.#pickLeastRisky();
    if (next) {
      this.#sendRequest(next);
    } else if (leastRisky) {
      this.#sendRequest(leastRisky, { acceptsRisk: leastRisky.acceptsRisk });
    } else if (this.#openRequests.size === 0) {
      this.#requestAsProbe();
    }
  }

  #pickNext(): PickedTarget | undefined {
    return this.#deps.policy.pick(this.#context, this.#tried);
  }

  /**
   * Picks the suspect or ejected target with the lowest risk, if its risk is acceptable: immediately when there is no
   * healthy target or all tried are full, after `#grayDelayMs` when the request is queued at a healthy one.
   */
  #pickLeastRisky(): (SuspectTarget & { acceptsRisk: number }) | undefined {
    const noHealthyTarget = !this.#isQueued && !this.#refusals.hasNoRoom;
    if (
      this.#inFlight >= (noHealthyTarget ? MAX_CONCURRENT_REQUESTS : MAX_CONCURRENT_REQUESTS + 1)
    ) {
      return undefined;
    }
    const hasWaited = this.#deps.clock.now() - (this.#firstQueuedAt ?? 0) >= this.#grayDelayMs;
    if (this.#isQueued && !hasWaited) {
      return undefined;
    }
    const known = this.#deps.policy.suspects(this.#context, this.#tried);
    const [best] = [...known, ...this.#suspects].sort((a, b) => a.risk - b.risk);
    if (!best) {
      return undefined;
    }
    const acceptsRisk = this.#maxAcceptedRisk(best, noHealthyTarget);
    if (best.risk > acceptsRisk) {
      return undefined;
    }
    this.#suspects = this.#suspects.filter((s) => s !== best);
    return { ...best, acceptsRisk };
  }

  #maxAcceptedRisk({ isKeptByFloor }: SuspectTarget, noHealthyTarget: boolean): number {
    if (noHealthyTarget) {
      return this.#context.isRetryable ? ANY_RISK : MAX_KEPT_RISK;
    }
    return isKeptByFloor ? MAX_KEPT_RISK : MAX_GRAY_RISK;
  }

  /**
   * Called when every healthy target is full: sends the request as a probe to a target that is due for one. The request
   * would be refused otherwise, so it loses nothing, which makes it the cheapest probe available.
   */
  #requestAsProbe(): void {
    const mayProbe = !this.#hasProbed && this.#context.hedgeOf === undefined;
    const probe = !mayProbe
      ? undefined
      : this.#deps.policy.pick({ ...this.#context, isRetryable: true }, this.#tried);
    if (probe?.isProbe) {
      this.#hasProbed = true;
      this.#sendRequest(probe, { isRetryable: true });
    } else {
      this.#refuse(this.#refusals.reason);
    }
  }

  get #inFlight(): number {
    return [...this.#openRequests.values()].filter((o) => !o.unresponsive).length;
  }

  /** Whether a target has confirmed that the request is queued; one that does not reply may never have received it. */
  get #isQueued(): boolean {
    return [...this.#openRequests.values()].some((o) => o.queued);
  }

  get #grayDelayMs(): number {
    return this.#context.route.objectiveMs * GRAY_DELAY_SHARE;
  }

  #sendRequest(
    { target }: Pick<PickedTarget, "target">,
    overrides: Partial<SlotRequest> = {},
  ): void {
    const { clock } = this.#deps;
    this.#tried.add(target.id);
    const sentAt = clock.now();
    const slotRequest = { ...this.#buildRequest(target, sentAt), ...overrides };
    const pending = this.#deps.requestSlot(target.askAddress, slotRequest, (load) => {
      this.#onQueued(target, load);
    });
    const { acceptsRisk } = slotRequest;
    this.#openRequests.set(target.id, {
      target,
      pending,
      sentAt,
      acceptsRisk,
      queued: false,
      unresponsive: false,
    });
    void pending.result.then((reply) => {
      this.#onReply(target, reply);
    });
    this.#after(NEXT_AFTER_SILENCE_MS, () => {
      this.#ifUnanswered(target, () => {
        this.#requestNext();
      });
    });
    this.#after(UNRESPONSIVE_MS, () => {
      this.#ifUnanswered(target, (open) => {
        open.unresponsive = true;
        this.#deps.log.info(
          { attempt: this.#req.attempt, target: target.id },
          "slot request unanswered",
        );
        this.#deps.policy.recordTimeout(target);
        this.#requestNext();
      });
    });
    this.#after(ABANDON_MS, () => {
      this.#ifUnanswered(target, (open) => {
        this.#openRequests.delete(target.id);
        open.pending.cancel();
        this.#refusals.reason = "no sidecar beside a target could be reached";
        this.#requestNext();
      });
    });
  }

  #buildRequest(target: TargetInfo, now: number): SlotRequest {
    const { route, isRetryable, isNestedCall = false } = this.#context;
    const { priority, objectiveMs } = route;
    const { attempt, startedAt, deadlineAt, body, bodyLength = 0 } = this.#req;
    const workspace = route.service.fairShares ? this.#req.workspace : undefined;
    return {
      attempt,
      target: target.id,
      priority,
      remainingMs: Math.max(1, deadlineAt - now),
      objectiveMs: startedAt + objectiveMs - now,
      typicalMs: this.#deps.policy.typicalMs(route, target),
      isRetryable,
      isIdempotent: route.idempotent,
      // A request with a key is a caller's: targets never get one. At the start of a burst, callers' requests may be
      // classified as nested calls, and a workspace would get round its share by them.
      isNestedCall: isNestedCall && workspace === undefined,
      isCongested: this.#deps.policy.isCongested(route),
      unservedShare: this.#deps.policy.unservedShare(route.service.name),
      bodyBytes: Buffer.isBuffer(body) ? body.length : bodyLength,
      acceptsRisk: 0,
      limitPerS: this.#deps.notices?.limitOf(target),
      workspace,
    };
  }

  #onQueued(target: TargetInfo, load: GateLoad): void {
    this.#deps.policy.recordQueued(target, load);
    const open = this.#openRequests.get(target.id);
    if (!open || open.queued || this.#done) {
      return;
    }
    open.queued = true;
    this.#firstQueuedAt ??= this.#deps.clock.now();
    for (const ms of [NEXT_AFTER_QUEUED_MS, this.#grayDelayMs]) {
      this.#after(ms, () => {
        this.#requestNext();
      });
    }
  }

  #onReply(target: TargetInfo, reply: SlotReply): void {
    const open = this.#openRequests.get(target.id);
    if (!open || this.#done) {
      return;
    }
    const ms = open.queued ? undefined : this.#deps.clock.now() - open.sentAt;
    this.#deps.policy.recordReply(target, reply, ms);
    this.#openRequests.delete(target.id);
    if (reply.kind === "granted") {
      const waitedMs = Math.round(this.#deps.clock.now() - open.sentAt);
      this.#deps.policy.recordWait(this.#context.route, waitedMs);
      const { attempt } = this.#req;
      const { load } = reply;
      const { acceptsRisk } = open;
      const details = { asked: this.#tried.size, acceptsRisk, waitedMs };
      this.#deps.log.info({ attempt, target: target.id, ...details, load }, "slot granted");
      this.#finish({ kind: "granted", grant: { target, id: reply.grant } });
      return;
    }
    if (reply.reason === RefusalReason.Suspect) {
      this.#suspects.push({ target, risk: reply.load.risk, isKeptByFloor: false });
    }
    this.#refusals.record(reply);
    this.#requestNext();
  }

  #ifUnanswered(target: TargetInfo, callback: (open: OpenRequest) => void): void {
    const open = this.#openRequests.get(target.id);
    if (open && !open.queued && !this.#done) {
      callback(open);
    }
  }

  #refuse(reason: string): void {
    if (this.#done) {
      return;
    }
    this.#logRefusal(reason);
    const { retryAfterMs, isTargetUnknown } = this.#refusals;
    this.#finish({ kind: "refused", reason, retryAfterMs, isTargetUnknown });
  }

  /** Logs why there is no slot, with what this sidecar believes about the service's targets. */
  #logRefusal(reason: string): void {
    const { attempt, startedAt } = this.#req;
    const { service } = this.#context.route;
    this.#deps.log.info(
      {
        attempt,
        service: service.name,
        reason,
        ageMs: Math.round(this.#deps.clock.now() - startedAt),
        queuedAt: [...this.#openRequests.values()].filter((o) => o.queued).length,
        targets: this.#deps.policy.survey(this.#context, this.#tried),
      },
      "no slot found",
    );
  }

  #finish(result: SlotSearchResult): void {
    if (this.#done) {
      return;
    }
    this.#done = true;
    this.#req.disconnected.removeEventListener("abort", this.#onCallerDisconnected);
    this.#timers.forEach((t) => {
      t.cancel();
    });
    for (const { pending } of this.#openRequests.values()) {
      pending.cancel();
    }
    this.#settle(result);
  }

  #after(ms: number, callback: () => void): void {
    const timer = this.#deps.clock.timeout(Math.max(0, ms), () => {
      this.#timers.delete(timer);
      callback();
    });
    this.#timers.add(timer);
  }
}
