import type { Clock } from "../../common/lifecycle/Clock.ts";
import type { MeanNestedCalls } from "../gate/CallsPerRun.ts";
import { RetryBudget, type RetryBudgetRule } from "./RetryBudget.ts";
import type { RetryCost } from "./RetryCost.ts";
import type { RouteMatch } from "./RouteMatch.ts";

/** Weight of the newest report of nested calls in the moving average: about the last five reports count. */
const MEAN_CALLS_WEIGHT = 0.2;

/** Mean number of nested calls per run below which a service counts as no longer called. */
const MIN_MEAN_CALLS = 0.01;

interface RetryBudgetsDeps {
  /** Rule for services whose retry ratio the operator document does not set. */
  readonly rule: () => RetryBudgetRule;
  /** Number of sidecars that share the slack, including those lost recently. */
  readonly members: () => number;
  readonly clock: Clock;
  /** Start time of this process on `clock`, ms. */
  readonly startedAt: number;
  /** Returns a number in [0, 1); tests pass a seeded generator. */
  readonly random: () => number;
}

/**
 * This sidecar's shares of the services' retry budgets. A retried request repeats its nested calls, which are extra
 * requests at the called services. A retry is therefore charged to the budgets of all these services in advance, and
 * sent only if all of them allow it. Charged after they were made, nested calls could exceed the fleet's budget,
 * because they cannot be undone.
 */
export class RetryBudgets {
  readonly #deps: RetryBudgetsDeps;
  readonly #budgets = new Map<string, RetryBudget>();
  readonly #ratios = new Map<string, number>();
  /** Mean number of nested calls per run, by the name of the service that runs and then of the service called. */
  readonly #meanCalls = new Map<string, Map<string, number>>();

  constructor(deps: RetryBudgetsDeps) {
    this.#deps = deps;
  }

  /** Records the first try of a caller's request. */
  onFirstTry({ service, budgetRatio }: RouteMatch): void {
    if (budgetRatio === undefined) {
      this.#ratios.delete(service.name);
    } else {
      this.#ratios.set(service.name, budgetRatio);
    }
    this.#budget(service.name).onFirstTry();
  }

  /** Records the mean nested calls per run that a sidecar local to a target of the service reports. */
  recordNestedCalls({ service }: RouteMatch, means: MeanNestedCalls): void {
    const known = this.#meanCalls.get(service.name) ?? new Map<string, number>();
    this.#meanCalls.set(service.name, known);
    for (const called of new Set([...known.keys(), ...means.keys()])) {
      const before = known.get(called) ?? means.get(called) ?? 0;
      const mean = before + MEAN_CALLS_WEIGHT * ((means.get(called) ?? 0) - before);
      if (mean < MIN_MEAN_CALLS) {
        known.delete(called);
      } else {
        known.set(called, mean);
      }
    }
  }

  /**
   * Whether a request on the route may be retried or hedged now.
   *
   * @param isNestedCall it may use the reserved part of the budgets
   */
  canRetry(route: RouteMatch, isNestedCall = false): boolean {
    return this.costs(route).every(({ service, n }, index) =>
      this.#budget(service).canSpend(n, index === 0 && this.#keepsReserve(service, isNestedCall)),
    );
  }

  /**
   * Charges the budgets for one retry or hedge of a request on the route; false if they do not allow it.
   *
   * @param isNestedCall it may use the reserved part of the budgets
   */
  tryRetry(route: RouteMatch, isNestedCall = false): boolean {
    if (!this.canRetry(route, isNestedCall)) {
      return false;
    }
    this.#spend(this.costs(route));
    return true;
  }

  /** Charges the budgets for one hedge on the route; false if that would use the part left to retries. */
  tryHedge(route: RouteMatch): boolean {
    const isAllowed = this.costs(route).every(({ service, n }) =>
      this.#budget(service).canHedge(n, this.#keepsReserve(service, false)),
    );
    if (isAllowed) {
      this.#spend(this.costs(route));
    }
    return isAllowed;
  }

  /**
   * Lends retry tokens to another sidecar by charging its extra requests here; false if the budgets do not allow it.
   * The first of `costs` is that of the service the request is for.
   *
   * @param isNestedCall the tokens are for a nested call, which may use the reserved part of the budgets
   */
  lend(costs: readonly RetryCost[], isNestedCall = false): boolean {
    const canLend = costs.every(({ service, n }, index) =>
      this.#budget(service).canLend(n, index === 0 && this.#keepsReserve(service, isNestedCall)),
    );
    if (canLend) {
      this.#spend(costs);
    }
    return canLend;
  }

  /** Current usage of each service's budget. Written to the log as it is, so its field names must stay. */
  get usage(): { service: string; figures: RetryBudget["usage"] }[] {
    return [...this.#budgets].map(([service, budget]) => ({ service, figures: budget.usage }));
  }

  /** What a retry or hedge of a request on the route costs, by service: that of the route first, then those its runs call. */
  costs({ service }: RouteMatch): RetryCost[] {
    const calls = [...(this.#meanCalls.get(service.name) ?? [])];
    return [[service.name, 1] as const, ...calls].map(([name, n]) => ({ service: name, n }));
  }

  /**
   * Whether a request for the service leaves the reserved part of its budget, as runs of some service call it. What its
   * own runs call is charged without the reserve: those are nested calls.
   */
  #keepsReserve(service: string, isNestedCall: boolean): boolean {
    return !isNestedCall && [...this.#meanCalls.values()].some((means) => means.has(service));
  }

  #spend(costs: readonly RetryCost[]): void {
    for (const { service, n } of costs) {
      this.#budget(service).spend(n);
    }
  }

  #budget(service: string): RetryBudget {
    let budget = this.#budgets.get(service);
    if (!budget) {
      const { rule, clock, members, startedAt, random } = this.#deps;
      const ratio = () => this.#ratios.get(service) ?? rule().ratio;
      const serviceRule = () => ({ ...rule(), ratio: ratio() });
      const roundingThreshold = 1 - random();
      budget = new RetryBudget({ rule: serviceRule, clock, members, startedAt, roundingThreshold });
      this.#budgets.set(service, budget);
    }
    return budget;
  }
}
