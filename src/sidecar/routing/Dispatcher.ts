import { randomUUID } from "node:crypto";
import type bunyan from "bunyan";
import { hash32 } from "../../common/hash32.ts";
import { DispatchId } from "../../common/ids/DispatchId.ts";
import type { TargetId } from "../../common/ids/TargetId.ts";
import type { Clock } from "../../common/lifecycle/Clock.ts";
import type { TargetInfo } from "../../membership/TargetInfo.ts";
import { RequestGuard } from "../quarantine/RequestGuard.ts";
import type { Quarantine } from "../quarantine/Quarantine.ts";
import { SuspectTurns } from "../quarantine/SuspectTurns.ts";
import type { TargetNotices } from "../signals/TargetNotices.ts";
import { AttemptOutcome } from "../detection/AttemptOutcome.ts";
import type { ForwardResult } from "../forwarding/ForwardResult.ts";
import { HedgedRun } from "../hedging/HedgedRun.ts";
import type { HedgePlan } from "../hedging/HedgePlan.ts";
import type { HedgeRefusal } from "../hedging/HedgeRefusal.ts";
import type { HedgeReport } from "../hedging/HedgeReport.ts";
import type { HedgeRule } from "../hedging/HedgeRule.ts";
import type { HopLink } from "../hop/HopLink.ts";
import { idempotencyKeyOf } from "../records/idempotencyKeyOf.ts";
import type { RetryTokenBorrower } from "./RetryTokenBorrower.ts";
import type { TrafficClassifier } from "./TrafficClassifier.ts";
import type { CallerRequest } from "./CallerRequest.ts";
import type { DispatchState } from "./DispatchState.ts";
import type { ExtraRunCause } from "./ExtraRunCause.ts";
import { isSuccess } from "./isSuccess.ts";
import { moreInformative } from "./moreInformative.ts";
import { returnAfterMs } from "./returnAfterMs.ts";
import { RetryRule } from "./RetryRule.ts";
import { SlotFinder, type Grant, type SlotSearchResult } from "./SlotFinder.ts";
import type { RetryBudgets } from "./RetryBudgets.ts";
import type { RouteMatch } from "./RouteMatch.ts";
import type { RoutingPolicy } from "./RoutingPolicy.ts";
import { RemoteRun } from "./RemoteRun.ts";
import { StopLimit } from "./StopLimit.ts";
import type { StopSchedule } from "./StopSchedule.ts";
import { StuckRunHedge } from "./StuckRunHedge.ts";

/** Dependencies of the dispatcher; injected so that tests can fake each. */
interface DispatcherDeps {
  readonly policy: RoutingPolicy;
  readonly hop: HopLink;
  /** Name of the service whose target is co-located with this sidecar and its callers; empty if there is none. */
  readonly callerService: string;
  readonly budgets: RetryBudgets;
  /** Knows the requests that crash the targets that run them. */
  readonly quarantine: ConstructorParameters<typeof RequestGuard>[0]["quarantine"] &
    Pick<Quarantine, "onBlocked">;
  /**
   * Borrows retry tokens from other sidecars when this one's share of the retry budget is used up; without
   * it, none are borrowed.
   */
  readonly borrower?: Pick<RetryTokenBorrower, "borrow">;
  /** Whether this sidecar has started recently, and may not know all targets yet; false if left out. */
  readonly isStarting?: () => boolean;
  /**
   * Confirms that a request which is refused here has not run under its idempotency key; without it, a refusal is
   * returned as it is.
   */
  readonly confirmRefusal?: (
    route: RouteMatch,
    req: CallerRequest,
    refusal: ForwardResult,
  ) => Promise<ForwardResult>;
  /** Distinguishes nested calls from callers' own requests; without it, all requests count as callers' own. */
  readonly classifier?: Pick<TrafficClassifier, "begin">;
  /** What targets have said about themselves in responses; by default nothing. */
  readonly notices?: Pick<TargetNotices, "limitOf">;
  /**
   * Whether `Retry-After` lets a caller return within its latency objective when targets refused the request for no lack
   * of room; false if left out.
   */
  readonly returnsWithinObjective?: () => boolean;
  /** Called for each retry or hedge that is sent. */
  readonly onExtraRun?: (service: string, cause: ExtraRunCause) => void;
  /** Called for each retry or hedge that is not sent because the service's retry budget is used up. */
  readonly onRetryDenied?: (service: string) => void;
  /** Number of slot requests that a search sends at once; by default 1. */
  readonly firstRequests?: number;
  /** Decides on hedges of services for which the document turns hedging on; without it, only stuck runs are hedged. */
  readonly hedging?: HedgeRule;
  /** Called for each run of such a service that lasts long and is not hedged. */
  readonly onHedgeRefused?: (service: string, reason: HedgeRefusal) => void;
  /** Called when a hedge of such a service has ended. */
  readonly onHedgeEnd?: (service: string, report: HedgeReport) => void;
  readonly clock: Clock;
  readonly log: bunyan;
}

/**
 * Multiple of the typical time after which an idempotent request without a response is
 * also sent to a second target: it is probably stuck rather than slow, since only one in a
 * few hundred responses of healthy targets takes that long.
 */
const HEDGE_FACTOR = 2.5;

/**
 * Grants of one request that may expire, as after a pause of the machine, before targets with expired grants
 * are excluded.
 */
const MAX_EXPIRED_BEFORE_SWITCH = 3;

/**
 * Interval, and limit since the arrival of the request, of retries while this sidecar starts and a request finds no
 * target, ms. Targets announce themselves within 0.6 s of their sidecars' restart, so a request refused
 * sooner could still have been served within its objective.
 */
const STARTUP_RETRY_MS = 50;
const STARTUP_HOLD_MS = 800;

/**
 * First delay before a nested call that every target refused is tried again, ms; doubled each time. Refusing the call
 * would fail the run that makes it, and there may be room in an admission queue by then.
 */
const NESTED_CALL_BACKOFF_MS = 50;

/**
 * Serves callers' requests: finds a target with a free slot, runs the request there
 * and retries according to the verdict. An idempotent request may be retried on
 * another target after any failure, and is hedged when its run is stuck. A request
 * that is not idempotent is retried only after a not-run, since a retry after
 * may-have-run could run it twice. Retries stay within the route's attempts, the
 * deadline and the service's retry budget.
 */
export class Dispatcher {
  readonly #deps: DispatcherDeps;
  /** The searches in progress, with the guards of their requests. */
  readonly #finders = new Map<SlotFinder, RequestGuard>();
  readonly #turns = new SuspectTurns();
  readonly #rule: RetryRule;
  readonly #stopLimit: StopLimit;

  constructor(deps: DispatcherDeps) {
    this.#deps = deps;
    this.#rule = new RetryRule(deps);
    this.#stopLimit = new StopLimit(deps);
    deps.quarantine.onBlocked((fingerprint) => {
      const blocked = [...this.#finders].filter(([, guard]) => guard.matches(fingerprint));
      blocked.forEach(([finder]) => {
        finder.cancel("equal requests have been quarantined");
      });
    });
  }

  /** Forwards `callerReq` along `route`; always resolves with a verdict. */
  async dispatch(route: RouteMatch, callerReq: CallerRequest): Promise<ForwardResult> {
    const req = withDispatchId(route, callerReq);
    const { classifier, budgets } = this.#deps;
    const classified = classifier?.begin(route, req.origin, req.provenOrigin);
    const isNestedCall = classified?.isNestedCall ?? false;
    if (classified?.isFromCaller ?? true) {
      budgets.onFirstTry(route);
    }
    const { quarantine, clock } = this.#deps;
    const guardDeps = { quarantine, turns: this.#turns, clock };
    const guard = new RequestGuard(guardDeps, route.service.name, req);
    const tried = new Set<TargetId>();
    const counts = { sends: 0, refusedSends: 0, refusals: 0, expired: 0 };
    if (guard.isSuspect) {
      await this.#stopLimit.waitFor(route, req, guard.awaitTurn());
    }
    const state = { route, req, isNestedCall, guard, tried, ...counts };
    const result = await this.#dispatchWithRetries(state).finally(() => {
      guard.end();
    });
    classified?.end(isSuccess(result));
    // A blocked request says nothing about how well its service is served.
    if (!req.disconnected.aborted && !guard.isBlocked) {
      this.#deps.policy.recordResult(route, isSuccess(result));
    }
    return this.#confirmRefusal(route, req, this.#adviseReturn(state, result));
  }

  /** Chooses when the caller of a request that targets have refused, although others may accept it, is to return. */
  #adviseReturn({ route, req, refusedSends, tried }: DispatchState, result: ForwardResult) {
    const { policy, clock, returnsWithinObjective } = this.#deps;
    const { verdict, outcome } = result;
    const isRefusedByTarget = outcome === AttemptOutcome.Shed && refusedSends > 0;
    if (verdict.kind !== "not-run" || !isRefusedByTarget || !returnsWithinObjective?.()) {
      return result;
    }
    const { free, full, unknown } = policy.survey({ route, isRetryable: false }, tried);
    if (free + full + unknown === 0) {
      return result;
    }
    const retryAfterMs = returnAfterMs({
      suggestedMs: verdict.retryAfterMs,
      objectiveLeftMs: req.startedAt + route.objectiveMs - clock.now(),
      typicalMs: policy.typicalMs(route),
      sample: hash32(req.attempt) / 2 ** 32,
    });
    return { ...result, verdict: { ...verdict, retryAfterMs } };
  }

  /** Replaces a refusal by the outcome of an earlier attempt at the same request, if there is one. */
  async #confirmRefusal(
    route: RouteMatch,
    req: CallerRequest,
    result: ForwardResult,
  ): Promise<ForwardResult> {
    const { confirmRefusal } = this.#deps;
    const isRefusal = result.verdict.kind === "not-run" && result.verdict.status === undefined;
    return confirmRefusal && isRefusal && !req.disconnected.aborted
      ? confirmRefusal(route, req, result)
      : result;
  }

  async #dispatchWithRetries(state: DispatchState): Promise<ForwardResult> {
    const { route, req, tried } = state;
    let last: ForwardResult | undefined;
    for (;;) {
      const search = this.#refuse(state) ?? (await this.#findSlot(state).result);
      if ("verdict" in search) {
        return moreInformative(last, search);
      }
      // The request may have been blocked, or too late to send, while it waited for its slot, which then expires unused.
      const refusal = this.#refuse(state);
      if (refusal) {
        return moreInformative(last, refusal);
      }
      if (search.kind === "refused") {
        if (search.isTargetUnknown && this.#mayAwaitTarget(req)) {
          await this.#delay(state, STARTUP_RETRY_MS);
          continue;
        }
        if (this.#mayAwaitRoom(state)) {
          await this.#delay(state, NESTED_CALL_BACKOFF_MS * 2 ** state.refusals++);
          continue;
        }
        return last ?? notRun(search);
      }
      const latest = await this.#runHedged(state, search.grant);
      last = moreInformative(last, latest);
      state.expired += isExpired(latest) ? 1 : 0;
      if (isExpired(latest) && state.expired <= MAX_EXPIRED_BEFORE_SWITCH) {
        tried.delete(search.grant.target.id);
      }
      if (!(await this.#rule.mayRetry(state, latest))) {
        return last;
      }
      const { attempt } = req;
      this.#deps.onExtraRun?.(route.service.name, "retry");
      this.#deps.log.info({ attempt, verdict: latest.verdict, sends: state.sends }, "retrying");
    }
  }

  /** The refusal of a request that must not be sent now; undefined if it may be. */
  #refuse({ guard, route, req }: DispatchState): ForwardResult | undefined {
    return guard.refuse() ?? this.#stopLimit.refuse(route, req);
  }

  /**
   * Announces that this sidecar is being stopped: from now on a request is sent only if it is expected to end before.
   * One that waits for a slot is refused as not run once that can no longer be expected. A caller whose connection is
   * closed without a response can't know that the request is safe to repeat. Requests that are running at a target
   * continue.
   */
  closeBy(stop: StopSchedule): void {
    this.#stopLimit.closeBy(stop);
  }

  /**
   * Whether to retry a search that found no target: one may announce itself soon, and the caller is still
   * connected.
   */
  #mayAwaitTarget({ startedAt, deadlineAt, disconnected }: CallerRequest): boolean {
    const { clock, isStarting } = this.#deps;
    const holdUntil = Math.min(startedAt + STARTUP_HOLD_MS, deadlineAt);
    return isStarting?.() === true && clock.now() < holdUntil && !disconnected.aborted;
  }

  /** Whether to retry the search for a nested call that was refused: it can still be served before its deadline. */
  #mayAwaitRoom({ route, req, isNestedCall, refusals }: DispatchState): boolean {
    const { clock, policy } = this.#deps;
    const retryAt = clock.now() + NESTED_CALL_BACKOFF_MS * 2 ** refusals;
    const isInTime =
      retryAt + policy.typicalMs(route) < req.deadlineAt &&
      retryAt < this.#stopLimit.lastSendAt(route, req);
    return isNestedCall && isInTime && !req.disconnected.aborted;
  }

  #delay({ route, req }: DispatchState, ms: number): Promise<void> {
    const delay = new Promise<void>((resolve) => this.#deps.clock.after(ms, resolve));
    return this.#stopLimit.waitFor(route, req, delay);
  }

  /** @param hedgeOf the target of the run that is to be hedged; undefined if it is not for a hedge */
  #findSlot(state: DispatchState, hedgeOf?: TargetInfo): SlotFinder {
    const { policy, hop, notices, firstRequests, clock, log } = this.#deps;
    const requestSlot: HopLink["requestSlot"] = (...args) => hop.requestSlot(...args);
    const { route, req, tried, isNestedCall } = state;
    const isRetryable = hedgeOf === undefined && this.#rule.hasSpareAttempt(state);
    const request = { route, isNestedCall, isRetryable, hedgeOf };
    const finder = new SlotFinder(
      { policy, requestSlot, firstRequests, notices, clock, log },
      request,
      req,
      tried,
    );
    this.#finders.set(finder, state.guard);
    const endWatch = this.#stopLimit.watch(route, req, () => {
      finder.cancel();
    });
    void finder.result.then(() => {
      this.#finders.delete(finder);
      endWatch();
    });
    return finder;
  }

  /** Runs the request at the granted target, and also at a second one when the first run is stuck. */
  async #runHedged(state: DispatchState, grant: Grant): Promise<ForwardResult> {
    const { clock, policy } = this.#deps;
    const first = this.#startRun(state, grant);
    if (!this.#rule.mayRepeat(state) || state.guard.isSuspect) {
      return first.result;
    }
    const plan = this.#deps.hedging?.plan(state.route);
    if (plan && this.#deps.hedging) {
      return this.#hedge(state, grant.target, first, plan, this.#deps.hedging).result;
    }
    const hedge = new StuckRunHedge({
      delayMs: policy.typicalMs(state.route) * HEDGE_FACTOR,
      takeToken: () => this.#takeHedgeToken(state),
      findSlot: () => this.#findSlot(state),
      startRun: (grant) => this.#startHedge(state, grant),
      clock,
    });
    const winner = await Promise.race([first.result, hedge.result]);
    hedge.cancel();
    if (isSuccess(winner)) {
      first.cancel();
      hedge.giveUp();
      return winner;
    }
    // The first result is a failure; the other run, if there is one, may still succeed.
    const [a, b] = await Promise.all([first.result, hedge.hasStarted ? hedge.result : undefined]);
    return b && isSuccess(b) ? b : moreInformative(b, a);
  }

  /** Hedges `first` as the operators' document asks. */
  #hedge(
    state: DispatchState,
    target: TargetInfo,
    first: RemoteRun,
    plan: HedgePlan,
    hedging: HedgeRule,
  ): HedgedRun {
    const { clock, log, onHedgeRefused, onHedgeEnd } = this.#deps;
    const { route, req, guard } = state;
    const service = route.service.name;
    const mayHedge = () => (guard.isSuspect ? "quarantine" : hedging.check(route, req.deadlineAt));
    return new HedgedRun(
      {
        plan,
        firstTarget: target.id,
        charge: () => mayHedge() ?? hedging.charge(route, req.deadlineAt),
        check: mayHedge,
        findSlot: () => this.#findSlot(state, target),
        startHedge: (grant) => this.#startHedge(state, grant),
        recordResponse: (ms) => {
          hedging.recordResponse(route, ms);
        },
        remainingMs: (ms) => hedging.remainingMs(route, ms),
        onRefused: (reason) => onHedgeRefused?.(service, reason),
        onEnd: (report) => {
          log.info({ attempt: req.attempt, service, route: route.name, ...report }, "hedge ended");
          onHedgeEnd?.(service, report);
        },
        clock,
      },
      first,
    );
  }

  #takeHedgeToken(state: DispatchState): boolean {
    const isAllowed = this.#deps.budgets.tryRetry(state.route, state.isNestedCall);
    if (!isAllowed) {
      this.#rule.reportDenied(state, "hedge");
    }
    return isAllowed;
  }

  #startHedge(state: DispatchState, grant: Grant): RemoteRun {
    const { onExtraRun, log } = this.#deps;
    onExtraRun?.(state.route.service.name, "hedge");
    log.info({ attempt: state.req.attempt, target: grant.target.id }, "hedging");
    return this.#startRun(state, grant, true);
  }

  #startRun(state: DispatchState, grant: Grant, isHedge = false): RemoteRun {
    const { callerService, clock, log, policy } = this.#deps;
    const { route, req } = state;
    const hop = this.#stopLimit.limit(this.#deps.hop, route, req);
    state.tried.add(grant.target.id);
    state.sends += 1;
    const end = policy.recordStart(route, grant.target);
    const onContactLost = () => {
      policy.recordTimeout(grant.target);
    };
    const deps = { hop, callerService, clock, log, onContactLost };
    const run = new RemoteRun(deps, route, req, grant);
    const startedAt = clock.now();
    void run.result.then((result) => {
      end(result.outcome);
      state.guard.recordEnd(result, grant.target, startedAt);
      if (!isHedge && result.verdict.kind !== "not-run") {
        this.#deps.hedging?.recordWork(route, clock.now() - startedAt);
      }
      if ("body" in result && !Buffer.isBuffer(result.body)) {
        this.#stopLimit.streams.record(route, result.body, startedAt);
      }
      if (result.calls) {
        this.#deps.budgets.recordNestedCalls(route, result.calls);
      }
      if (result.verdict.kind === "not-run") {
        state.sends -= 1;
      }
    });
    return run;
  }
}

/** Gives an id to a request whose attempts are recorded under its idempotency key. */
function withDispatchId(route: RouteMatch, req: CallerRequest): CallerRequest {
  const isRecorded = !route.idempotent && idempotencyKeyOf(req.headers) !== undefined;
  return isRecorded ? { ...req, dispatch: DispatchId(randomUUID()) } : req;
}

/** Whether the grant expired or was withdrawn before the request reached the target. */
function isExpired({ verdict, outcome }: ForwardResult): boolean {
  return verdict.kind === "not-run" && outcome === AttemptOutcome.Cancelled;
}

function notRun(search: Extract<SlotSearchResult, { kind: "refused" }>): ForwardResult {
  const { reason, retryAfterMs } = search;
  return { verdict: { kind: "not-run", reason, retryAfterMs }, outcome: AttemptOutcome.Shed };
}
