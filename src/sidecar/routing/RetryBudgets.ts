import type { Clock } from "../../common/lifecycle/Clock.ts";
import { RetryBudget, type RetryBudgetRule } from "./RetryBudget.ts";
import type { RouteMatch } from "./RouteMatch.ts";

interface RetryBudgetsDeps {
  /** Of services that the document says nothing else of. */
  readonly rule: () => RetryBudgetRule;
  /** Sidecars that share the slack, those counted that were lost lately. */
  readonly members: () => number;
  readonly clock: Clock;
}

/** This sidecar's parts of the services' retry budgets. */
export class RetryBudgets {
  readonly #deps: RetryBudgetsDeps;
  readonly #budgets = new Map<string, RetryBudget>();

  constructor(deps: RetryBudgetsDeps) {
    this.#deps = deps;
  }

  /** The budget of a route's service. */
  of({ service, budgetRatio }: RouteMatch): RetryBudget {
    let budget = this.#budgets.get(service.name);
    if (!budget) {
      const { rule, clock, members } = this.#deps;
      const given = rule();
      const ratio = budgetRatio ?? given.ratio;
      budget = new RetryBudget({ ...given, ratio }, clock, members);
      this.#budgets.set(service.name, budget);
    }
    return budget;
  }

  /** How each stands, by services' names. */
  get figures(): { service: string; figures: RetryBudget["figures"] }[] {
    return [...this.#budgets].map(([service, budget]) => ({ service, figures: budget.figures }));
  }
}
