import type { TargetId } from "../../common/ids/TargetId.ts";
import type { ForwardResult } from "../forwarding/ForwardResult.ts";
import { AttemptOutcome } from "../detection/AttemptOutcome.ts";
import type { OutgoingRequest } from "../forwarding/OutgoingRequest.ts";
import { RETRY_AFTER_S } from "./RETRY_AFTER_S.ts";
import { RetryBudget } from "./RetryBudget.ts";
import { RoomWaiters } from "./RoomWaiters.ts";
import type { RouteMatch } from "./RouteMatch.ts";
import type { RoutingPolicy } from "./RoutingPolicy.ts";
import type { TargetInfo } from "../membership/TargetInfo.ts";

/** A request may wait for room this share of the time it has left... */
const QUEUE_SHARE = 0.25;

/** ...but no longer than this, ms: past it the answer is a refusal, at once. */
const QUEUE_MAX_MS = 250;

/** Share of the time left that an attempt may use while another can follow it. */
const ATTEMPT_SHARE = 0.5;

/** What the dispatcher needs from the rest of the sidecar; passed in so tests can fake each. */
interface DispatcherDeps {
  readonly policy: Pick<RoutingPolicy, "pick" | "begin">;
  readonly send: (
    route: RouteMatch,
    target: TargetInfo,
    req: OutgoingRequest,
  ) => Promise<ForwardResult>;
}

/**
 * Runs one caller's request to its end: picks a target, forwards, and
 * retries by the verdict rules. An idempotent request may be retried on
 * another target after any failure; one that is not idempotent only after a
 * not-run, since a may-have-run retry could run it twice. Retries stay within
 * the deadline and the service's retry budget.
 */
export class Dispatcher {
  readonly #deps: DispatcherDeps;
  readonly #budgets = new Map<string, RetryBudget>();
  readonly #waiters = new RoomWaiters();

  constructor(deps: DispatcherDeps) {
    this.#deps = deps;
  }

  /** Forwards `req` under `route`; always resolves, never throws. */
  async dispatch(route: RouteMatch, req: OutgoingRequest): Promise<ForwardResult> {
    const budget = this.#budget(route);
    budget.onFirstTry();
    const tried = new Set<TargetId>();
    let last = notRun("no ready target");
    for (let attempt = 1; attempt <= route.service.retry.attempts; attempt++) {
      if (attempt > 1 && !(mayRetry(route, last) && hasTime(req) && budget.tryRetry())) {
        break;
      }
      const target = await this.#choose(route, tried, req);
      if (target === "full") {
        return attempt > 1 ? last : notRun("every target is at its limit");
      }
      if (!target) {
        break;
      }
      tried.add(target.id);
      last = await this.#attempt(route, target, req, attempt);
    }
    return last;
  }

  /** A target with room, waiting a little for one; "full" when the wait was in vain. */
  async #choose(
    route: RouteMatch,
    tried: ReadonlySet<TargetId>,
    req: OutgoingRequest,
  ): Promise<TargetInfo | "full" | undefined> {
    const now = Date.now();
    const giveUpAt = now + Math.min(QUEUE_MAX_MS, (req.deadline - now) * QUEUE_SHARE);
    for (;;) {
      const picked = this.#deps.policy.pick(route, tried);
      if (picked.kind === "target") {
        return picked.target;
      }
      if (picked.kind === "none") {
        return undefined;
      }
      if (Date.now() >= giveUpAt || req.cancelled?.aborted) {
        return "full";
      }
      await this.#waiters.wait();
    }
  }

  async #attempt(
    route: RouteMatch,
    target: TargetInfo,
    req: OutgoingRequest,
    attempt: number,
  ): Promise<ForwardResult> {
    const end = this.#deps.policy.begin(route, target);
    let outcome = AttemptOutcome.NoAnswer;
    try {
      const out = await this.#deps.send(route, target, withAttemptDeadline(route, req, attempt));
      outcome = out.outcome;
      this.#watchStream(route, target, out);
      return out;
    } finally {
      end(outcome);
      this.#waiters.wakeOne();
    }
  }

  /** A large answer counts as good when it begins; if the target cuts it short, that counts too. */
  #watchStream(route: RouteMatch, target: TargetInfo, out: ForwardResult): void {
    if (!("ended" in out)) {
      return;
    }
    void out.ended?.then((how) => {
      if (how === AttemptOutcome.Failed) {
        this.#deps.policy.begin(route, target)(how);
      }
    });
  }

  #budget(route: RouteMatch): RetryBudget {
    let budget = this.#budgets.get(route.service.name);
    if (!budget) {
      budget = new RetryBudget(route.service.retry.budgetRatio);
      this.#budgets.set(route.service.name, budget);
    }
    return budget;
  }
}

/**
 * Gives an attempt that can be followed by another only part of the time left,
 * so a silent connection does not use up the whole deadline. Work that must not
 * repeat keeps all of it: cutting it short would only leave its outcome unknown.
 */
function withAttemptDeadline(
  route: RouteMatch,
  req: OutgoingRequest,
  attempt: number,
): OutgoingRequest {
  if (!route.idempotent || attempt >= route.service.retry.attempts) {
    return req;
  }
  const now = Date.now();
  const attemptMs = Math.ceil((req.deadline - now) * ATTEMPT_SHARE);
  return { ...req, deadline: now + Math.max(1, attemptMs) };
}

function hasTime(req: OutgoingRequest): boolean {
  return Date.now() < req.deadline && !req.cancelled?.aborted;
}

function mayRetry(route: RouteMatch, last: ForwardResult): boolean {
  switch (last.verdict.kind) {
    case "done":
      return route.idempotent && last.outcome === AttemptOutcome.Failed;
    case "not-run":
      return last.verdict.status === undefined;
    case "in-progress":
      return false;
    case "may-have-run":
      return route.idempotent;
  }
}

function notRun(reason: string): ForwardResult {
  return {
    verdict: { kind: "not-run", reason, retryAfterS: RETRY_AFTER_S },
    outcome: AttemptOutcome.Shed,
  };
}
