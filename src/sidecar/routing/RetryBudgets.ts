import type { Clock } from "../../common/lifecycle/Clock.ts";
import type { CallMeans } from "../gate/CallsPerRun.ts";
import { RetryBudget, type RetryBudgetRule } from "./RetryBudget.ts";
import type { RetryCost } from "./RetryCost.ts";
import type { RouteMatch } from "./RouteMatch.ts";

/** Weight of the newest word on the calls that a run makes: about the last five count. */
const MEANS_WEIGHT = 0.2;

interface RetryBudgetsDeps {
  /** Of services that the document says nothing else of. */
  readonly rule: () => RetryBudgetRule;
  /** Sidecars that share the slack, those counted that were lost lately. */
  readonly members: () => number;
  readonly clock: Clock;
  /** Start of this process, by the clock, ms. */
  readonly startedAt: number;
  /** In [0, 1); tests pass a seeded one. */
  readonly random: () => number;
}

/**
 * This sidecar's parts of the services' retry budgets. A request that is sent again has its calls made again,
 * and these are repeats at the services called: it takes from the budgets of all of them, and is sent only where
 * all have room. Noted only once they had been made, the calls would go beyond what the fleet may send: nothing can
 * take them back.
 */
export class RetryBudgets {
  readonly #deps: RetryBudgetsDeps;
  readonly #budgets = new Map<string, RetryBudget>();
  readonly #ratios = new Map<string, number>();
  /** Calls that a run at a service's targets makes, on average, by the names of both. */
  readonly #means = new Map<string, Map<string, number>>();

  constructor(deps: RetryBudgetsDeps) {
    this.#deps = deps;
  }

  /** Records a caller's own request. */
  onFirstTry({ service, budgetRatio }: RouteMatch): void {
    if (budgetRatio !== undefined) {
      this.#ratios.set(service.name, budgetRatio);
    }
    this.#budget(service.name).onFirstTry();
  }

  /** What the sidecar beside a target of the service tells of its runs. */
  noteCalls({ service }: RouteMatch, means: CallMeans): void {
    const known = this.#means.get(service.name) ?? new Map<string, number>();
    this.#means.set(service.name, known);
    for (const called of new Set([...known.keys(), ...means.keys()])) {
      const before = known.get(called) ?? means.get(called) ?? 0;
      known.set(called, before + MEANS_WEIGHT * ((means.get(called) ?? 0) - before));
    }
  }

  /** A further send of a request on the route may be made now. */
  hasRoom(route: RouteMatch): boolean {
    return this.costs(route).every(({ service, n }) => this.#budget(service).hasRoomFor(n));
  }

  /** Takes leave for a further send of a request on the route; false when there is none left. */
  tryRetry(route: RouteMatch): boolean {
    if (!this.hasRoom(route)) {
      return false;
    }
    this.#spend(this.costs(route));
    return true;
  }

  /** Gives leave for another sidecar's extra requests; false where there is no room for them here. */
  lend(costs: readonly RetryCost[]): boolean {
    const hasRoom = costs.every(({ service, n }) => this.#budget(service).hasRoomToLend(n));
    if (hasRoom) {
      this.#spend(costs);
    }
    return hasRoom;
  }

  /** How each stands, by services' names. */
  get figures(): { service: string; figures: RetryBudget["figures"] }[] {
    return [...this.#budgets].map(([service, budget]) => ({ service, figures: budget.figures }));
  }

  /** What a further send of a request on the route takes from which budgets. */
  costs({ service }: RouteMatch): RetryCost[] {
    const calls = [...(this.#means.get(service.name) ?? [])];
    return [[service.name, 1] as const, ...calls].map(([name, n]) => ({ service: name, n }));
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
      const own = () => ({ ...rule(), ratio: ratio() });
      const rounding = 1 - random();
      budget = new RetryBudget({ rule: own, clock, members, startedAt, rounding });
      this.#budgets.set(service, budget);
    }
    return budget;
  }
}
