import type { TargetId } from "../common/TargetId.ts";
import type { Verdict } from "../common/Verdict.ts";
import type { ForwardResult } from "./ForwardResult.ts";
import type { OutgoingRequest } from "./Forwarder.ts";
import { RETRY_AFTER_S } from "./Forwarder.ts";
import type { RouteMatch } from "./RouteMatch.ts";
import type { TargetInfo } from "./TargetInfo.ts";
import { TargetState } from "./TargetState.ts";
import { RetryBudget } from "./RetryBudget.ts";

/** What the dispatcher needs from the rest of the sidecar; passed in so tests can fake each. */
export interface DispatcherDeps {
  readonly targetsOf: (service: RouteMatch["service"]) => TargetInfo[];
  readonly pick: (
    candidates: readonly TargetInfo[],
    outstanding: (id: TargetId) => number,
  ) => TargetInfo | undefined;
  readonly send: (target: TargetInfo, req: OutgoingRequest) => Promise<ForwardResult>;
}

/**
 * Runs one caller's request to its end: picks a ready target, forwards, and
 * retries by the verdict rules. An idempotent request may be retried on
 * another target after any failure; one that is not idempotent only after a
 * not-run, since a may-have-run retry could run it twice. Retries stay within
 * the deadline and the service's retry budget.
 */
export class Dispatcher {
  readonly #deps: DispatcherDeps;
  readonly #outstanding = new Map<TargetId, number>();
  readonly #budgets = new Map<string, RetryBudget>();

  constructor(deps: DispatcherDeps) {
    this.#deps = deps;
  }

  /** Requests now in flight to `id` from this sidecar. */
  outstanding(id: TargetId): number {
    return this.#outstanding.get(id) ?? 0;
  }

  /** Forwards `req` under `route`; always resolves, never throws. */
  async dispatch(route: RouteMatch, req: OutgoingRequest): Promise<ForwardResult> {
    const budget = this.#budget(route);
    budget.onFirstTry();
    const tried = new Set<TargetId>();
    let last: ForwardResult = {
      verdict: { kind: "not-run", reason: "no ready target", retryAfterS: RETRY_AFTER_S },
    };
    for (let attempt = 0; attempt < route.service.retry.attempts; attempt++) {
      if (
        attempt > 0 &&
        !(mayRetry(route, last.verdict) && Date.now() < req.deadline && budget.tryRetry())
      ) {
        break;
      }
      const target = this.#choose(route, tried);
      if (!target) {
        break;
      }
      tried.add(target.id);
      last = await this.#sendCounted(target, req);
      if (last.verdict.kind === "done") {
        break;
      }
    }
    return last;
  }

  #choose(route: RouteMatch, tried: Set<TargetId>): TargetInfo | undefined {
    const ready = this.#deps.targetsOf(route.service).filter((t) => t.state === TargetState.Ready);
    const fresh = ready.filter((t) => !tried.has(t.id));
    return this.#deps.pick(fresh, (id) => this.outstanding(id));
  }

  async #sendCounted(target: TargetInfo, req: OutgoingRequest): Promise<ForwardResult> {
    this.#outstanding.set(target.id, this.outstanding(target.id) + 1);
    try {
      return await this.#deps.send(target, req);
    } finally {
      this.#outstanding.set(target.id, this.outstanding(target.id) - 1);
    }
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

function mayRetry(route: RouteMatch, verdict: Verdict): boolean {
  if (verdict.kind === "done") {
    return false;
  }
  return route.idempotent || verdict.kind === "not-run";
}
