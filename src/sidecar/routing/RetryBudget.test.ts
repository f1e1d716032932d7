import test from "ava";
import fc from "fast-check";
import { FakeClock } from "../../../test/fixtures/FakeClock.ts";
import { RetryBudget } from "./RetryBudget.ts";

const rule = { ratio: 0.2, windowMs: 10_000, slack: 58 };

test("in no window does the fleet send more extras than its rule allows", async (t) => {
  // Story: a service sheds most of what it is sent, and every sidecar tries again as
  // often as it may, after a quiet spell and with load that comes and goes. What was
  // saved up in the quiet spell once went into the storm on top of its own share.
  const load = fc.array(fc.record({ gapMs: fc.integer({ min: 1, max: 900 }), tries: fc.nat(3) }), {
    minLength: 30,
    maxLength: 120,
  });
  await fc.assert(
    fc.asyncProperty(load, fc.integer({ min: 8, max: 40 }), async (steps, members) => {
      const clock = new FakeClock();
      const budgets = Array.from(
        { length: members },
        () => new RetryBudget(rule, clock, () => members),
      );
      const first: number[] = [];
      const extra: number[] = [];
      for (const { gapMs, tries } of steps) {
        await clock.advance(gapMs);
        for (const budget of budgets) {
          for (let n = 0; n < tries; n++) {
            budget.onFirstTry();
            first.push(clock.now());
            while (budget.tryRetry()) {
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

test("a sidecar with traffic of its own has extras to spend", (t) => {
  const budget = new RetryBudget(rule, new FakeClock(), () => 30);
  for (let n = 0; n < 100; n++) {
    budget.onFirstTry();
  }
  let extras = 0;
  while (budget.tryRetry()) {
    extras += 1;
  }
  t.true(extras >= 14, `${extras}`);
});

test("one that knows of nobody else does not take the whole fleet's slack", (t) => {
  // Story: a cut leaves a sidecar alone; on its side of it, nobody else is seen.
  const budget = new RetryBudget(rule, new FakeClock(), () => 1);
  budget.onFirstTry();
  let extras = 0;
  while (budget.tryRetry()) {
    extras += 1;
  }
  t.true(extras <= 6, `${extras}`);
});

test("calls that repeated runs make take from what a sidecar may send besides", (t) => {
  // Story: targets of one service fail half of their lookups. Each retry makes its two calls anew, at
  // another service, which was at the end of its budget by retries of its own: 209 extra requests
  // in ten seconds where 203 are allowed.
  const budget = new RetryBudget(rule, new FakeClock(), () => 30);
  for (let n = 0; n < 100; n++) {
    budget.onFirstTry();
  }
  for (let n = 0; n < 40; n++) {
    budget.noteExtra(0.5);
  }
  t.false(budget.hasRoom);
});

test("requests that may be calls give less leave for extras", (t) => {
  const spend = (weight: number) => {
    const budget = new RetryBudget(rule, new FakeClock(), () => 30);
    for (let n = 0; n < 100; n++) {
      budget.onFirstTry(weight);
    }
    let extras = 0;
    while (budget.tryRetry()) {
      extras += 1;
    }
    return extras;
  };
  t.true(spend(0) < spend(0.5) && spend(0.5) < spend(1));
});

test("sidecars that start again do not have the fleet's slack twice in one window", async (t) => {
  // Story: a storm of refusals, and a rolling restart in the midst of it. Each sidecar had used its share of the
  // slack when it was stopped, and had the whole of it again once it was back: the window then held both.
  const members = 24;
  const clock = new FakeClock();
  const open = () => new RetryBudget(rule, clock, () => members);
  const extras: number[] = [];
  const spend = (budget: RetryBudget) => {
    while (budget.tryRetry()) {
      extras.push(clock.now());
    }
  };
  await clock.advance(2 * rule.windowMs);
  const first = Array.from({ length: members }, open);
  await clock.advance(rule.windowMs);
  first.forEach(spend);
  await clock.advance(rule.windowMs / 2);
  Array.from({ length: members }, open).forEach(spend);
  t.true(extras.length > 0, "there is a slack");
  t.true(extras.length <= rule.slack, `${extras.length} extras with no first try`);
});
