import test from "ava";
import { seededRandom } from "../../../test/fixtures/seededRandom.ts";
import { FakeClock } from "../../../test/fixtures/FakeClock.ts";
import { makeRoute } from "../../../test/fixtures/makeRoute.ts";
import { makeService } from "../../../test/fixtures/makeService.ts";
import { RetryTokenBorrower } from "./RetryTokenBorrower.ts";
import { RetryBudgets } from "./RetryBudgets.ts";

const route = makeRoute({ service: makeService({ name: "reports" }), budgetRatio: undefined });
const costs = [{ service: "reports", n: 1 }];

/** A borrower among `lenders`, of which those in `willing` lend; `asked` records the addresses asked. */
function rig(lenders: readonly string[], willing: readonly string[]) {
  const asked: string[] = [];
  const borrower = new RetryTokenBorrower({
    lenders: () => lenders,
    requestToken: (address) => {
      asked.push(address);
      return Promise.resolve(willing.includes(address));
    },
    random: seededRandom(1),
  });
  return { asked, borrower };
}

const cases: readonly {
  name: string;
  lenders: readonly string[];
  willing: readonly string[];
  isLent: boolean;
  asked: number;
}[] = [
  { name: "no other sidecar exists", lenders: [], willing: [], isLent: false, asked: 0 },
  { name: "the first sidecar lends", lenders: ["a"], willing: ["a"], isLent: true, asked: 1 },
  {
    name: "none of three sidecars lends",
    lenders: ["a", "b", "c"],
    willing: [],
    isLent: false,
    asked: 3,
  },
  {
    name: "none of many sidecars lends, and only a few are asked",
    lenders: Array.from({ length: 40 }, (_, n) => `s${n}`),
    willing: [],
    isLent: false,
    asked: 4,
  },
];

for (const { name, lenders, willing, isLent, asked: count } of cases) {
  test(`retry tokens: ${name}`, async (t) => {
    const { asked, borrower } = rig(lenders, willing);
    t.is(await borrower.borrow(costs), isLent);
    t.is(asked.length, count);
    t.is(new Set(asked).size, count, "no sidecar is asked twice");
  });
}

/** Retry budget shared by 100 sidecars. */
const RULE = { ratio: 0.2, windowMs: 10_000, slack: 200 };

for (const seed of [1, 2, 3]) {
  test(`retry tokens: borrowing keeps the fleet within its budget in every window (seed ${seed})`, async (t) => {
    // The sidecars of one availability zone meet a gray service, retry as often as they can for half a minute, and
    // borrow from all others. Guards against lent tokens that the lender does not count against its own share.
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
      requestToken: (address) => Promise.resolve(fleet[Number(address)]?.lend(costs) ?? false),
      random,
    });
    const extras: number[] = [];
    const firsts: number[] = [];
    for (let ms = 0; ms < 30_000; ms += 20) {
      const local = fleet[Math.floor(random() * 10)];
      local?.onFirstTry(route);
      firsts.push(ms);
      if ((local?.tryRetry(route) ?? false) || (await borrower.borrow(costs))) {
        extras.push(ms);
      }
      await clock.advance(20);
    }
    const within = (list: readonly number[], from: number) =>
      list.filter((ms) => from <= ms && ms < from + RULE.windowMs).length;
    const allowedFrom = (from: number) => RULE.slack + RULE.ratio * within(firsts, from);
    t.true(extras.every((from) => within(extras, from) <= allowedFrom(from)));
    const most = Math.max(...extras.map((from) => within(extras, from)));
    t.log(`at most ${most} extra requests in a window`);
    t.true(most > RULE.slack / 10, "more than the ten sidecars' own share of the slack");
  });
}
