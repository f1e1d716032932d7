import type { Service } from "../../common/document/Service.ts";
import type { Clock } from "../../common/lifecycle/Clock.ts";
import type { RetryBudgets } from "../routing/RetryBudgets.ts";
import type { RouteMatch } from "../routing/RouteMatch.ts";
import type { RoutingPolicy } from "../routing/RoutingPolicy.ts";
import { HedgeAllowance } from "./HedgeAllowance.ts";
import type { HedgeCharge } from "./HedgeCharge.ts";
import type { HedgePlan } from "./HedgePlan.ts";
import type { HedgeRefusal } from "./HedgeRefusal.ts";
import { ResponseTimes } from "./ResponseTimes.ts";

interface HedgeRuleDeps {
  readonly policy: Pick<RoutingPolicy, "typicalMs" | "isCongested">;
  readonly budgets: Pick<RetryBudgets, "tryHedge">;
  /** The service's limits in the document that is in force now; undefined if hedging is off. */
  readonly limits: (service: string) => Service["hedging"];
  /** Whether this sidecar is being stopped. */
  readonly isStopping: () => boolean;
  readonly clock: Clock;
}

/**
 * Multiple of the typical time after which a run is hedged while the route's distribution has too few samples: only
 * one in a few hundred responses of healthy targets takes that long.
 */
const UNLEARNED_DELAY_FACTOR = 2.5;

/** Decides when and whether a run is hedged, for services whose hedging the operators' document turns on. */
export class HedgeRule {
  readonly #deps: HedgeRuleDeps;
  /** Response times by route name. */
  readonly #times = new Map<string, ResponseTimes>();
  /** Allowances by service name. */
  readonly #allowances = new Map<string, HedgeAllowance>();

  constructor(deps: HedgeRuleDeps) {
    this.#deps = deps;
  }

  /** When to hedge a run on the route that starts now; undefined if the document does not turn hedging on for it. */
  plan(route: RouteMatch): HedgePlan | undefined {
    const { hedging } = route.service;
    if (!route.idempotent || !hedging || hedging.maxWorkShare <= 0) {
      return undefined;
    }
    const learnedMs = this.#timesOf(route).quantile(hedging.quantile);
    return learnedMs === undefined
      ? {
          delayMs: this.#deps.policy.typicalMs(route) * UNLEARNED_DELAY_FACTOR,
          quantile: undefined,
        }
      : { delayMs: learnedMs, quantile: hedging.quantile };
  }

  /** Why a hedge that was planned must not run at present; undefined if it may. Charges nothing. */
  check(route: RouteMatch, deadlineAt: number): HedgeRefusal | undefined {
    const { policy, limits, isStopping, clock } = this.#deps;
    if ((limits(route.service.name)?.maxWorkShare ?? 0) <= 0) {
      return "off";
    }
    if (isStopping()) {
      return "stopping";
    }
    if (policy.isCongested(route)) {
      return "congested";
    }
    return deadlineAt - clock.now() < policy.typicalMs(route) ? "too-late" : undefined;
  }

  /** Charges a hedge of a request on the route to its limits, or says why it must not be sent. */
  charge(route: RouteMatch, deadlineAt: number): HedgeCharge | HedgeRefusal {
    const { policy, limits, budgets } = this.#deps;
    const refusal = this.check(route, deadlineAt);
    if (refusal) {
      return refusal;
    }
    const share = limits(route.service.name)?.maxWorkShare ?? 0;
    const charge = this.#allowanceOf(route).take(policy.typicalMs(route), share);
    if (!charge) {
      return "work-share";
    }
    if (!budgets.tryHedge(route)) {
      charge.settle(0);
      return "retry-budget";
    }
    return charge;
  }

  /** Records the target time of a run that is not a hedge, ms. */
  recordWork(route: RouteMatch, ms: number): void {
    if (route.service.hedging) {
      this.#allowanceOf(route).recordWork(ms);
    }
  }

  /** Records a sample of the route's response times, ms; see {@link ResponseTimes.add}. */
  recordResponse(route: RouteMatch, ms: number): void {
    this.#timesOf(route).add(ms);
  }

  /** How much longer a run on the route that has lasted for `ms` is expected to take, ms; 0 if none has taken longer. */
  remainingMs(route: RouteMatch, ms: number): number {
    return this.#timesOf(route).meanRemainingMs(ms) ?? 0;
  }

  #timesOf({ name }: RouteMatch): ResponseTimes {
    const times = this.#times.get(name) ?? new ResponseTimes();
    this.#times.set(name, times);
    return times;
  }

  #allowanceOf({ service }: RouteMatch): HedgeAllowance {
    const allowance = this.#allowances.get(service.name) ?? new HedgeAllowance();
    this.#allowances.set(service.name, allowance);
    return allowance;
  }
}
