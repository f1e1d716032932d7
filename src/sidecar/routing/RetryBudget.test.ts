import test from "ava";
import fc from "fast-check";
import { FakeClock } from "../../../test/fixtures/FakeClock.ts";
import { seededRandom } from "../../../test/fixtures/seededRandom.ts";
import { RetryBudget } from "./RetryBudget.ts";

const rule = { ratio: 0.2, windowMs: 10_000, slack: 58 };

/** The part of a sidecar that has been up for long, one of so many, that rounds its share down. */
const openBudget = (
  clock: FakeClock,
  members: number,
  over: Partial<ConstructorParameters<typeof RetryBudget>[0]> = {},
) =>
  new RetryBudget({
    rule: () => rule,
    clock,
    members: () => members,
    startedAt: -Infinity,
    rounding: 1,
    ...over,
  });

function tryRetry(budget: RetryBudget): boolean {
  const hasRoom = budget.hasRoomFor(1);
  if (hasRoom) {
    budget.spend(1);
  }
  return hasRoom;
}

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
      const random = seededRandom(members);
      const budgets = Array.from({ length: members }, () =>
        openBudget(clock, members, { rounding: 1 - random() }),
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

test("a sidecar with traffic of its own has extras to spend", (t) => {
  const budget = openBudget(new FakeClock(), 30);
  for (let n = 0; n < 100; n++) {
    budget.onFirstTry();
  }
  let extras = 0;
  while (tryRetry(budget)) {
    extras += 1;
  }
  t.true(extras >= 14, `${extras}`);
});

test("one that knows of nobody else does not take the whole fleet's slack", (t) => {
  // Story: a cut leaves a sidecar alone; on its side of it, nobody else is seen.
  const budget = openBudget(new FakeClock(), 1);
  budget.onFirstTry();
  let extras = 0;
  while (tryRetry(budget)) {
    extras += 1;
  }
  t.true(extras <= 6, `${extras}`);
});

test("sidecars that start again do not have the fleet's slack twice in one window", async (t) => {
  // Story: a storm of refusals, and a rolling restart in the midst of it. Each sidecar had used its share of the
  // slack when it was stopped, and had the whole of it again once it was back: the window then held both.
  const members = 24;
  const clock = new FakeClock();
  const random = seededRandom(5);
  const open = () => openBudget(clock, members, { startedAt: clock.now(), rounding: 1 - random() });
  const extras: number[] = [];
  const spend = (budget: RetryBudget) => {
    while (tryRetry(budget)) {
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

test("a fleet has the use of its whole share, though each sidecar's is a fraction", (t) => {
  // Story: 24 sidecars, a fifth of 18 requests each and a part of the slack that is under two. With fractions cut
  // off, a third of what the fleet may send was never sent.
  const members = 24;
  const random = seededRandom(7);
  let extras = 0;
  let allowed = 0;
  for (let n = 0; n < members; n++) {
    const budget = openBudget(new FakeClock(), members, { rounding: 1 - random() });
    for (let i = 0; i < 18; i++) {
      budget.onFirstTry();
    }
    while (tryRetry(budget)) {
      extras += 1;
    }
    allowed += budget.figures.allowed;
  }
  t.true(Math.abs(extras - allowed) <= 0.05 * allowed, `${extras} of ${allowed}`);
});
