import test from "ava";
import fc from "fast-check";
import { FakeClock } from "../../../test/fixtures/FakeClock.ts";
import { seededRandom } from "../../../test/fixtures/seededRandom.ts";
import { RetryBudget } from "./RetryBudget.ts";

const rule = { ratio: 0.2, windowMs: 10_000, slack: 58 };

/** The budget of a sidecar that started long ago, in a fleet of `members`, and by default rounds its share down. */
const makeBudget = (
  clock: FakeClock,
  members: number,
  over: Partial<ConstructorParameters<typeof RetryBudget>[0]> = {},
) =>
  new RetryBudget({
    rule: () => rule,
    clock,
    members: () => members,
    startedAt: -Infinity,
    roundingThreshold: 1,
    ...over,
  });

function tryRetry(budget: RetryBudget): boolean {
  const hasRoom = budget.canSpend(1);
  if (hasRoom) {
    budget.spend(1);
  }
  return hasRoom;
}

test("budget: the fleet's extra requests stay within the rule in every window", async (t) => {
  // A service sheds most requests, and every sidecar retries as often as it may, after a
  // quiet period and under varying load. Guards against spending an allowance saved up in
  // the quiet period on top of the current one.
  const load = fc.array(fc.record({ gapMs: fc.integer({ min: 1, max: 900 }), tries: fc.nat(3) }), {
    minLength: 30,
    maxLength: 120,
  });
  await fc.assert(
    fc.asyncProperty(load, fc.integer({ min: 8, max: 40 }), async (steps, members) => {
      const clock = new FakeClock();
      const random = seededRandom(members);
      const budgets = Array.from({ length: members }, () =>
        makeBudget(clock, members, { roundingThreshold: 1 - random() }),
      );
      const first: number[] = [];
      const extra: number[] = [];
      for (const { gapMs, tries } of steps) {
        await clock.advance(gapMs);
        for (const budget of budgets) {
          for (let n = 0; n < tries; n++) {
            budget.onFirstTry();
            first.push(clock.now());
            while (tryRetry(budget)) {
              extra.push(clock.now());
            }
          }
        }
      }
      const within = (times: readonly number[], end: number) =>
        times.filter((at) => at > end - rule.windowMs && at <= end).length;
      return [...new Set(extra)].every(
        (end) => within(extra, end) <= rule.ratio * within(first, end) + rule.slack,
      );
    }),
    { numRuns: 40, seed: 11 },
  );
  t.pass();
});

test("budget: a sidecar's own traffic earns it extra requests", (t) => {
  const budget = makeBudget(new FakeClock(), 30);
  for (let n = 0; n < 100; n++) {
    budget.onFirstTry();
  }
  let extras = 0;
  while (tryRetry(budget)) {
    extras += 1;
  }
  t.true(extras >= 14, `${extras}`);
});

test("budget: a sidecar that knows no other member does not take the whole fleet's slack", (t) => {
  // A network partition isolates the sidecar, so that it sees no other member.
  const budget = makeBudget(new FakeClock(), 1);
  budget.onFirstTry();
  let extras = 0;
  while (tryRetry(budget)) {
    extras += 1;
  }
  t.true(extras <= 6, `${extras}`);
});

test("budget: restarted sidecars do not spend the fleet's slack twice in one window", async (t) => {
  // A rolling restart during a storm of refusals. Guards against a sidecar that spends its share of the slack,
  // restarts, and spends the share again within the same window.
  const members = 24;
  const clock = new FakeClock();
  const random = seededRandom(5);
  const start = () =>
    makeBudget(clock, members, { startedAt: clock.now(), roundingThreshold: 1 - random() });
  const extras: number[] = [];
  const spend = (budget: RetryBudget) => {
    while (tryRetry(budget)) {
      extras.push(clock.now());
    }
  };
  await clock.advance(2 * rule.windowMs);
  const first = Array.from({ length: members }, start);
  await clock.advance(rule.windowMs);
  first.forEach(spend);
  await clock.advance(rule.windowMs / 2);
  Array.from({ length: members }, start).forEach(spend);
  t.true(extras.length > 0, "the slack allows some extra requests");
  t.true(extras.length <= rule.slack, `${extras.length} extra requests without a first try`);
});

test("budget: rounding of fractional shares does not shrink the fleet's allowance", (t) => {
  // 24 sidecars, each allowed a fifth of 18 requests and a share of the slack below two. With fractions rounded
  // down, a third of the fleet's allowance was never used.
  const members = 24;
  const random = seededRandom(7);
  let extras = 0;
  let allowed = 0;
  for (let n = 0; n < members; n++) {
    const budget = makeBudget(new FakeClock(), members, { roundingThreshold: 1 - random() });
    for (let i = 0; i < 18; i++) {
      budget.onFirstTry();
    }
    while (tryRetry(budget)) {
      extras += 1;
    }
    allowed += budget.usage.allowed;
  }
  t.true(Math.abs(extras - allowed) <= 0.05 * allowed, `${extras} of ${allowed}`);
});
