import test from "ava";
import { seededRandom } from "../../../test/fixtures/seededRandom.ts";
import { FakeClock } from "../../../test/fixtures/FakeClock.ts";
import { makeRoute } from "../../../test/fixtures/makeRoute.ts";
import { makeService } from "../../../test/fixtures/makeService.ts";
import { RetryTokenBorrower } from "./RetryTokenBorrower.ts";
import { RetryBudgets } from "./RetryBudgets.ts";

const route = makeRoute({ service: makeService({ name: "reports" }), budgetRatio: undefined });
const costs = [{ service: "reports", n: 1 }];

/** Sidecars of which some have room to lend; which were asked. */
function rig(lenders: readonly string[], withRoom: readonly string[]) {
  const asked: string[] = [];
  const borrower = new RetryTokenBorrower({
    lenders: () => lenders,
    ask: (address) => {
      asked.push(address);
      return Promise.resolve(withRoom.includes(address));
    },
    random: seededRandom(1),
  });
  return { asked, borrower };
}

const cases: readonly {
  name: string;
  lenders: readonly string[];
  withRoom: readonly string[];
  isGiven: boolean;
  asked: number;
}[] = [
  { name: "nobody is there", lenders: [], withRoom: [], isGiven: false, asked: 0 },
  { name: "the first has room", lenders: ["a"], withRoom: ["a"], isGiven: true, asked: 1 },
  {
    name: "none of three has room",
    lenders: ["a", "b", "c"],
    withRoom: [],
    isGiven: false,
    asked: 3,
  },
  {
    name: "none of many has room, of which a few are asked",
    lenders: Array.from({ length: 40 }, (_, n) => `s${n}`),
    withRoom: [],
    isGiven: false,
    asked: 4,
  },
];

for (const { name, lenders, withRoom, isGiven, asked: count } of cases) {
  test(`loans: ${name}`, async (t) => {
    const { asked, borrower } = rig(lenders, withRoom);
    t.is(await borrower.borrow(costs), isGiven);
    t.is(asked.length, count);
    t.is(new Set(asked).size, count, "none is asked twice");
  });
}

/** Extras that 100 sidecars together may make in a window. */
const RULE = { ratio: 0.2, windowMs: 10_000, slack: 200 };

for (const seed of [1, 2, 3]) {
  test(`loans: whoever asks, the fleet's extras stay within its budget in every window (seed ${seed})`, async (t) => {
    // Story: one zone's callers meet a gray service and retry whatever they can, for half a minute, and
    // borrow from everybody. Each sidecar keeps to its part, and to what it lent.
    const clock = new FakeClock();
    const random = seededRandom(seed);
    const fleet = Array.from(
      { length: 100 },
      () =>
        new RetryBudgets({
          rule: () => RULE,
          members: () => 100,
          clock,
          startedAt: -Infinity,
          random,
        }),
    );
    const borrower = new RetryTokenBorrower({
      lenders: () => fleet.map((_, n) => String(n)),
      ask: (address) => Promise.resolve(fleet[Number(address)]?.lend(costs) ?? false),
      random,
    });
    const extras: number[] = [];
    const firsts: number[] = [];
    for (let ms = 0; ms < 30_000; ms += 20) {
      const own = fleet[Math.floor(random() * 10)];
      own?.onFirstTry(route);
      firsts.push(ms);
      if ((own?.tryRetry(route) ?? false) || (await borrower.borrow(costs))) {
        extras.push(ms);
      }
      await clock.advance(20);
    }
    const within = (list: readonly number[], from: number) =>
      list.filter((ms) => from <= ms && ms < from + RULE.windowMs).length;
    const allowedFrom = (from: number) => RULE.slack + RULE.ratio * within(firsts, from);
    t.true(extras.every((from) => within(extras, from) <= allowedFrom(from)));
    const most = Math.max(...extras.map((from) => within(extras, from)));
    t.log(`${most} extras at most`);
    t.true(most > RULE.slack / 10, "far more than the part of ten sidecars");
  });
}
