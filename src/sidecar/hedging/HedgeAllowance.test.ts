import test from "ava";
import { seededRandom } from "../../../test/fixtures/seededRandom.ts";
import { HedgeAllowance } from "./HedgeAllowance.ts";

test("hedge allowance: no hedge before the other runs have earned one", (t) => {
  const allowance = new HedgeAllowance();
  allowance.recordWork(1999);
  t.is(allowance.take(100, 0.05), undefined);
  allowance.recordWork(1);
  t.truthy(allowance.take(100, 0.05));
  t.is(allowance.take(100, 0.05), undefined, "it is charged before it is sent");
});

const settlements: readonly { name: string; actualMs: number; nextAfterMs: number }[] = [
  { name: "that did not run costs nothing", actualMs: 0, nextAfterMs: 0 },
  { name: "that ran as expected costs its time", actualMs: 100, nextAfterMs: 2000 },
  { name: "that ran longer is paid for before the next", actualMs: 400, nextAfterMs: 8000 },
];

for (const { name, actualMs, nextAfterMs } of settlements) {
  test(`hedge allowance: a hedge ${name}`, (t) => {
    const allowance = new HedgeAllowance();
    allowance.recordWork(2000);
    const charge = allowance.take(100, 0.05);
    charge?.settle(actualMs);
    charge?.settle(0);
    if (nextAfterMs > 0) {
      allowance.recordWork(nextAfterMs - 1);
      t.is(allowance.take(100, 0.05), undefined);
      allowance.recordWork(1);
    }
    t.truthy(allowance.take(100, 0.05));
  });
}

test("hedge allowance: a quiet sidecar saves up two hedges at most, so that a fleet sends no burst", (t) => {
  const allowance = new HedgeAllowance();
  allowance.recordWork(1_000_000);
  const hedges = [1, 2, 3].map(() => allowance.take(100, 0.05));
  t.deepEqual(
    hedges.map((h) => h !== undefined),
    [true, true, false],
  );
});

test("hedge allowance: a lowered share applies at once, also to what was saved before", (t) => {
  const allowance = new HedgeAllowance();
  allowance.recordWork(2000);
  t.is(allowance.take(100, 0), undefined);
  t.is(allowance.take(100, 0.04), undefined);
  t.truthy(allowance.take(100, 0.05));
});

test("hedge allowance: a fleet of sidecars with one request in 4 s each keeps to the share and uses most of it", (t) => {
  // A share of 5% of the 2.5 runs of such a sidecar in 10 s is an eighth of a hedge: in a window, none could be sent.
  const random = seededRandom(1);
  const fleet = Array.from({ length: 74 }, () => new HedgeAllowance());
  let workMs = 0;
  let hedgeMs = 0;
  for (let i = 0; i < 74 * 225; i++) {
    const sidecar = fleet[Math.floor(random() * fleet.length)];
    const ms = 900 * (0.5 + random());
    sidecar?.recordWork(ms);
    workMs += ms;
    const charge = random() < 0.2 ? sidecar?.take(900, 0.05) : undefined;
    const actualMs = 900 * (0.5 + random());
    charge?.settle(actualMs);
    hedgeMs += charge ? actualMs : 0;
  }
  const share = hedgeMs / workMs;
  t.log(`share ${share.toFixed(4)}`);
  t.true(share <= 0.05 && share > 0.03, `${share}`);
});
