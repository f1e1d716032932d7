import type bunyan from "bunyan";
import type { TargetId } from "../../common/ids/TargetId.ts";
import type { Clock } from "../../common/lifecycle/Clock.ts";
import { AttemptOutcome } from "../detection/AttemptOutcome.ts";
import type { ForwardResult } from "../forwarding/ForwardResult.ts";
import type { HopLink } from "../hop/HopLink.ts";
import type { RetryTokenBorrower } from "./RetryTokenBorrower.ts";
import type { TrafficClassifier } from "./TrafficClassifier.ts";
import type { CallerRequest } from "./CallerRequest.ts";
import { SlotFinder, type Grant, type SlotSearchResult } from "./SlotFinder.ts";
import type { RetryBudgets } from "./RetryBudgets.ts";
import type { RouteMatch } from "./RouteMatch.ts";
import type { RoutingPolicy } from "./RoutingPolicy.ts";
import { RemoteRun } from "./RemoteRun.ts";

/** What is sent beside first tries: a retry, or a second run beside a stuck one. */
type ExtraRunCause = "retry" | "hedge";

/** What the dispatcher needs from the rest of the sidecar; passed in so tests can fake each. */
interface DispatcherDeps {
  readonly policy: RoutingPolicy;
  readonly hop: HopLink;
  /** The service beside which this sidecar's callers' requests begin; empty when there is none. */
  readonly callerService: string;
  readonly budgets: RetryBudgets;
  /** Leave for retries from other sidecars, where this one's own part is used up; left out, there is none. */
  readonly borrower?: Pick<RetryTokenBorrower, "borrow">;
  /** This sidecar has just started, and may not know all targets yet; left out, it never has. */
  readonly isStarting?: () => boolean;
  /** Tells calls that targets make from callers' own requests; left out, all are callers' own. */
  readonly calls?: Pick<TrafficClassifier, "begin">;
  /** Told of each request that is sent to a further target. */
  readonly onExtraTry?: (service: string, cause: ExtraRunCause) => void;
  /** Told of a retry that the service's budget had no room for. */
  readonly onDenied?: (service: string) => void;
  readonly clock: Clock;
  readonly log: bunyan;
}

/**
 * An idempotent request still unanswered after this many times its usual time is sent
 * to a second target beside the first: it is stuck rather than slow. One in a few
 * hundred healthy answers takes that long.
 */
const HEDGE_FACTOR = 2.5;

/** Grants that ran out before they were taken, as on a machine that stood still; then another target's turn comes. */
const MAX_EXPIRED_BEFORE_SWITCH = 3;

/**
 * Grants of one request that may run out before it is given up. Its way to the targets is too slow then: sent on and on, it
 * would only make it slower for the others.
 */
const MAX_EXPIRED_TOTAL = 6;

/** Times that one request is sent to a target that then refuses it, at most. */
const MAX_REFUSED_SENDS = 4;

/**
 * While the fleet starts, a request that finds no target is tried again this often, and for
 * this long after it came, ms. Targets announce themselves within 0.6 s of their sidecars'
 * return; a request refused before could have been served within its objective.
 */
const STARTUP_RETRY_MS = 50;
const STARTUP_HOLD_MS = 800;

/**
 * A call that every target has refused is asked for again after this long, ms, and then after twice as long each
 * time: a refusal here loses the run that makes it, and a place in line may be free by then.
 */
const NESTED_CALL_BACKOFF_MS = 50;

/** The state of one request on its way. */
interface DispatchState {
  readonly route: RouteMatch;
  readonly req: CallerRequest;
  /** A target makes it in the midst of a run. */
  readonly isNestedCall: boolean;
  /** Targets that had their chance. */
  readonly tried: Set<TargetId>;
  /** Targets that it was sent to and that may have run it. */
  sends: number;
  /** Sends that a target refused. */
  refusedSends: number;
  /** Times that no target would take it. */
  refusals: number;
  /** Grants that ran out before the request got there. */
  expired: number;
}

/**
 * Runs one caller's request to its end: finds a target with a free slot, has the
 * request run there, and retries by the verdict rules. An idempotent request may be
 * retried on another target after any failure, and is sent to a second one when the
 * first is stuck; one that is not idempotent only after a not-run, since a retry after
 * may-have-run could run it twice. Retries stay within the route's attempts, the
 * deadline and the service's retry budget.
 */
export class Dispatcher {
  readonly #deps: DispatcherDeps;
  readonly #finders = new Set<SlotFinder>();
  #closed = false;

  constructor(deps: DispatcherDeps) {
    this.#deps = deps;
  }

  /** Forwards `req` along `route`; always resolves with a verdict. */
  async dispatch(route: RouteMatch, req: CallerRequest): Promise<ForwardResult> {
    const { calls, budgets } = this.#deps;
    const begun = calls?.begin(route, req.origin);
    const isCall = begun?.isCall ?? false;
    if (begun?.isOwn ?? true) {
      budgets.onFirstTry(route);
    }
    const tried = new Set<TargetId>();
    const counts = { sends: 0, refusedSends: 0, refusals: 0, expired: 0 };
    const result = await this.#dispatchWithRetries({
      route,
      req,
      isNestedCall: isCall,
      tried,
      ...counts,
    });
    begun?.end(isSuccess(result));
    return result;
  }

  async #dispatchWithRetries(course: DispatchState): Promise<ForwardResult> {
    const { route, req, tried } = course;
    let last: ForwardResult | undefined;
    for (;;) {
      const sought = await this.#findSlot(course).result;
      if (sought.kind === "refused") {
        if (sought.isTargetUnknown && this.#mayAwaitTarget(req)) {
          await this.#delay(STARTUP_RETRY_MS);
          continue;
        }
        if (this.#mayAwaitRoom(course)) {
          await this.#delay(NESTED_CALL_BACKOFF_MS * 2 ** course.refusals++);
          continue;
        }
        return last ?? notRun(sought);
      }
      const newest = await this.#runHedged(course, sought.grant);
      last = moreInformative(last, newest);
      course.expired += isExpired(newest) ? 1 : 0;
      if (isExpired(newest) && course.expired <= MAX_EXPIRED_BEFORE_SWITCH) {
        tried.delete(sought.grant.target.id);
      }
      if (!(await this.#mayRetry(course, newest))) {
        return last;
      }
      const { attempt } = req;
      this.#deps.onExtraTry?.(route.service.name, "retry");
      this.#deps.log.info({ attempt, verdict: newest.verdict, sends: course.sends }, "retrying");
    }
  }

  /**
   * Refuses every request that has no slot yet, as not run, and any that comes later: this
   * sidecar ends soon, and a caller whose connection is closed instead does not know that
   * it may come back. Requests at a target go on.
   */
  close(): void {
    this.#closed = true;
    for (const finder of this.#finders) {
      finder.cancel();
    }
  }

  /** Whether a target may come to be known soon, with the caller still there. */
  #mayAwaitTarget({ startedAt, deadlineAt, left }: CallerRequest): boolean {
    const { clock, isStarting } = this.#deps;
    const holdUntil = Math.min(startedAt + STARTUP_HOLD_MS, deadlineAt);
    return isStarting?.() === true && clock.now() < holdUntil && !left.aborted && !this.#closed;
  }

  /** Whether a call that was refused may be asked for again, and served in time then. */
  #mayAwaitRoom({ route, req, isNestedCall: isCall, refusals }: DispatchState): boolean {
    const { clock, policy } = this.#deps;
    const from = clock.now() + NESTED_CALL_BACKOFF_MS * 2 ** refusals;
    const isInTime = from + policy.typicalMs(route) < req.deadlineAt;
    return isCall && isInTime && !req.left.aborted && !this.#closed;
  }

  #delay(ms: number): Promise<void> {
    return new Promise((resolve) => this.#deps.clock.after(ms, resolve));
  }

  #findSlot(course: DispatchState): SlotFinder {
    const { policy, hop, clock, log } = this.#deps;
    const requestSlot: HopLink["requestSlot"] = (...args) => hop.requestSlot(...args);
    const { route, req, tried, isNestedCall: isCall } = course;
    const request = { route, isCall, isExpendable: this.#hasSpareAttempt(course) };
    const finder = new SlotFinder({ policy, requestSlot, clock, log }, request, req, tried);
    this.#finders.add(finder);
    void finder.result.then(() => this.#finders.delete(finder));
    if (this.#closed) {
      finder.cancel();
    }
    return finder;
  }

  /** Runs the request where it was granted a slot, and at a second target when the first is stuck. */
  async #runHedged(course: DispatchState, grant: Grant): Promise<ForwardResult> {
    const first = this.#startRun(course, grant);
    if (!this.#mayRepeat(course)) {
      return first.result;
    }
    const hedge = this.#scheduleHedge(course);
    const winner = await Promise.race([first.result, hedge.result]);
    hedge.cancel();
    if (winner === undefined) {
      return first.result;
    }
    if (isSuccess(winner)) {
      first.giveUp();
      hedge.giveUp();
      return winner;
    }
    // The sooner one failed: the other, if there is one, may still be good.
    const [a, b] = await Promise.all([first.result, hedge.started ? hedge.result : undefined]);
    return b && isSuccess(b) ? b : moreInformative(b, a);
  }

  /** A second run that starts when the first is stuck; its result is undefined when it never starts. */
  #scheduleHedge(course: DispatchState) {
    const { clock, policy, log, onExtraTry } = this.#deps;
    let run: RemoteRun | undefined;
    let finder: SlotFinder | undefined;
    let settle: (result: ForwardResult | undefined) => void = () => undefined;
    const result = new Promise<ForwardResult | undefined>((resolve) => (settle = resolve));
    const hedge = {
      result,
      started: false,
      cancel: () => {
        timer.cancel();
        if (!hedge.started) {
          finder?.cancel();
        }
      },
      giveUp: () => run?.giveUp(),
    };
    const timer = clock.after(policy.typicalMs(course.route) * HEDGE_FACTOR, () => {
      if (!this.#deps.budgets.tryRetry(course.route)) {
        this.#reportDenied(course, "hedge");
        return;
      }
      finder = this.#findSlot(course);
      void finder.result.then((sought) => {
        if (sought.kind === "granted") {
          onExtraTry?.(course.route.service.name, "hedge");
          log.info({ attempt: course.req.attempt, target: sought.grant.target.id }, "hedging");
          hedge.started = true;
          run = this.#startRun(course, sought.grant);
          void run.result.then(settle);
        }
      });
    });
    return hedge;
  }

  #startRun(course: DispatchState, grant: Grant): RemoteRun {
    const { hop, callerService, clock, log, policy } = this.#deps;
    const { route, req } = course;
    course.tried.add(grant.target.id);
    course.sends += 1;
    const end = policy.begin(route, grant.target);
    const onSilence = () => {
      policy.noteTimeout(grant.target);
    };
    const deps = { hop, callerService, clock, log, onSilence };
    const run = new RemoteRun(deps, route, req, grant);
    void run.result.then((result) => {
      end(result.outcome);
      if (result.calls) {
        this.#deps.budgets.noteCalls(route, result.calls);
      }
      if (result.verdict.kind === "not-run") {
        course.sends -= 1;
      }
    });
    return run;
  }

  async #mayRetry(course: DispatchState, last: ForwardResult): Promise<boolean> {
    const { req } = course;
    if (req.left.aborted || this.#deps.clock.now() >= req.deadlineAt) {
      return false;
    }
    switch (last.verdict.kind) {
      case "not-run":
        return last.verdict.status === undefined && this.#mayResend(course, last);
      case "in-progress":
        return false;
      case "may-have-run":
        return this.#mayRepeat(course) && this.#takeRetryToken(course);
      case "done":
        return (
          last.outcome === AttemptOutcome.Failed &&
          this.#mayRepeat(course) &&
          this.#takeRetryToken(course)
        );
    }
  }

  /** Another try is left beside the next one, should it fail; a loan for that is not sure enough to risk a gray target for. */
  #hasSpareAttempt({ route, req, sends }: DispatchState): boolean {
    const isRepeatable = route.idempotent && !isStream(req.body);
    return isRepeatable && sends + 1 < route.attempts && this.#deps.budgets.hasRoom(route);
  }

  #mayRepeat({ route, req, sends }: DispatchState): boolean {
    // A body that was passed on as it came is gone.
    return route.idempotent && sends < route.attempts && !isStream(req.body);
  }

  /** After a not-run: one that a target itself refused has reached it, and costs a token. */
  async #mayResend(course: DispatchState, last: ForwardResult): Promise<boolean> {
    if (isStream(course.req.body)) {
      return false;
    }
    if (last.outcome !== AttemptOutcome.Shed) {
      return course.expired <= MAX_EXPIRED_TOTAL;
    }
    course.refusedSends += 1;
    return course.refusedSends <= MAX_REFUSED_SENDS && this.#takeRetryToken(course);
  }

  /** Takes leave for a further send from the service's retry budget, here or elsewhere; tells of it where there is none left. */
  async #takeRetryToken(course: DispatchState): Promise<boolean> {
    const { budgets, borrower, log } = this.#deps;
    const { route, req } = course;
    if (budgets.tryRetry(route)) {
      return true;
    }
    const costs = budgets.costs(route);
    if (await borrower?.borrow(costs)) {
      log.info({ attempt: req.attempt, costs }, "retry tokens borrowed");
      return !req.left.aborted;
    }
    this.#reportDenied(course, "retry");
    return false;
  }

  #reportDenied({ route, req }: DispatchState, cause: ExtraRunCause): void {
    const { budgets } = this.#deps;
    const service = route.service.name;
    this.#deps.onDenied?.(service);
    const { attempt } = req;
    this.#deps.log.info({ attempt, service, cause, budgets: budgets.figures }, "no retry left");
  }
}

function isSuccess(result: ForwardResult): boolean {
  return result.verdict.kind === "done" && result.outcome === AttemptOutcome.Ok;
}

/**
 * Of the results of two tries the one that tells what became of the request: a target that refuses it after
 * another one has failed it, or may have run it, does not make it a request that has not run. Without this, callers
 * were told "not run" of lookups that a gray target had worked on.
 */
function moreInformative(before: ForwardResult | undefined, newest: ForwardResult): ForwardResult {
  const hides = newest.verdict.kind === "not-run" && before?.verdict.kind !== "not-run";
  return before && hides ? before : newest;
}

/** The grant ran out, or was taken back, before the request got to the target. */
function isExpired({ verdict, outcome }: ForwardResult): boolean {
  return verdict.kind === "not-run" && outcome === AttemptOutcome.Cancelled;
}

function isStream(body: CallerRequest["body"]): boolean {
  return body !== undefined && !Buffer.isBuffer(body);
}

function notRun(sought: Extract<SlotSearchResult, { kind: "refused" }>): ForwardResult {
  const { reason, retryAfterMs } = sought;
  return { verdict: { kind: "not-run", reason, retryAfterMs }, outcome: AttemptOutcome.Shed };
}
