import test from "ava";
import { FakeClock } from "../../../test/fixtures/FakeClock.ts";
import { makeRoute } from "../../../test/fixtures/makeRoute.ts";
import { makeService } from "../../../test/fixtures/makeService.ts";
import { HedgeRule } from "./HedgeRule.ts";

const limits = { quantile: 0.95, maxWorkShare: 0.05 };
const route = makeRoute({ service: makeService({ hedging: limits }) });

/** A rule with conditions that allow hedges of runs of 100 ms, and 20 such runs on record. */
function rig(over: { limits?: typeof limits } = {}) {
  const state = {
    limits: "limits" in over ? over.limits : limits,
    isStopping: false,
    isCongested: false,
    hasBudget: true,
  };
  const clock = new FakeClock();
  const rule = new HedgeRule({
    policy: { typicalMs: () => 100, isCongested: () => state.isCongested },
    budgets: { tryHedge: () => state.hasBudget },
    limits: () => state.limits,
    isStopping: () => state.isStopping,
    clock,
  });
  rule.recordWork(route, 2000);
  return { rule, state, clock };
}

const refusals: readonly {
  reason: string;
  set: Partial<ReturnType<typeof rig>["state"]>;
  deadlineAt?: number;
}[] = [
  // The operators turned hedging off, or removed the service, while the request ran.
  { reason: "off", set: { limits: undefined } },
  { reason: "off", set: { limits: { ...limits, maxWorkShare: 0 } } },
  { reason: "stopping", set: { isStopping: true } },
  { reason: "congested", set: { isCongested: true } },
  { reason: "too-late", set: {}, deadlineAt: 99 },
  { reason: "work-share", set: { limits: { ...limits, maxWorkShare: 0.04 } } },
  { reason: "retry-budget", set: { hasBudget: false } },
];

for (const { reason, set, deadlineAt = 100 } of refusals) {
  test(`hedge rule: no hedge, because of ${reason} (${JSON.stringify(set)}), and nothing is charged`, (t) => {
    const { rule, state } = rig();
    const before = { ...state };
    Object.assign(state, set);
    t.is(rule.charge(route, deadlineAt), reason as never);
    Object.assign(state, before);
    t.is(typeof rule.charge(route, 100), "object", "the allowance is still there");
  });
}

const plans: readonly {
  name: string;
  of: typeof route;
  samples: number;
  plan: ReturnType<HedgeRule["plan"]>;
}[] = [
  { name: "without the field", of: makeRoute(), samples: 100, plan: undefined },
  {
    name: "with a share of 0",
    of: makeRoute({ service: makeService({ hedging: { ...limits, maxWorkShare: 0 } }) }),
    samples: 100,
    plan: undefined,
  },
  // A booking that is sent twice sends two vans.
  {
    name: "for a booking, whatever the document allows",
    of: { ...route, idempotent: false },
    samples: 100,
    plan: undefined,
  },
  {
    name: "until the distribution is known",
    of: route,
    samples: 39,
    plan: { delayMs: 250, quantile: undefined },
  },
  { name: "once it is known", of: route, samples: 100, plan: { delayMs: 91, quantile: 0.95 } },
];

for (const { name, of, samples, plan } of plans) {
  test(`hedge rule: plan ${name}: ${JSON.stringify(plan)}`, (t) => {
    const { rule } = rig();
    for (let ms = 0; ms < samples; ms++) {
      rule.recordResponse(of, ms);
    }
    t.deepEqual(rule.plan(of), plan);
  });
}
