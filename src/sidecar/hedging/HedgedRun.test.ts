import test from "ava";
import { Readable } from "node:stream";
import { FakeClock } from "../../../test/fixtures/FakeClock.ts";
import { makeTarget } from "../../../test/fixtures/makeTarget.ts";
import { results } from "../../../test/fixtures/results.ts";
import { GrantId } from "../../common/ids/GrantId.ts";
import { TargetId } from "../../common/ids/TargetId.ts";
import { AttemptOutcome } from "../detection/AttemptOutcome.ts";
import type { ForwardResult } from "../forwarding/ForwardResult.ts";
import type { SlotSearchResult } from "../routing/SlotFinder.ts";
import { HedgedRun } from "./HedgedRun.ts";
import type { HedgeRefusal } from "./HedgeRefusal.ts";
import type { HedgeReport } from "./HedgeReport.ts";

const { done, failed, shed, mayHaveRun } = results;
const givenUp = { ...mayHaveRun, outcome: AttemptOutcome.Cancelled };
const granted: SlotSearchResult = {
  kind: "granted",
  grant: { target: makeTarget("b"), id: GrantId("b.1") },
};
const noSlot: SlotSearchResult = {
  kind: "refused",
  reason: "full",
  retryAfterMs: 1,
  isTargetUnknown: false,
};

/** A run whose end the test decides; cancelled, it ends as given up, as RemoteRun does. */
function fakeRun() {
  let end: (result: ForwardResult) => void = () => undefined;
  const result = new Promise<ForwardResult>((resolve) => (end = resolve));
  const run = {
    result,
    end,
    cancelled: false,
    cancel: () => {
      run.cancelled = true;
      end(givenUp);
    },
  };
  return run;
}

/** A run that is hedged after 100 ms, with an expected cost of 80 ms. */
function rig(opts: { charge?: HedgeRefusal; check?: () => HedgeRefusal | undefined } = {}) {
  const clock = new FakeClock();
  const first = fakeRun();
  const second = fakeRun();
  const seen = {
    refused: [] as string[],
    reports: [] as HedgeReport[],
    charged: [] as number[],
    samples: [] as number[],
    starts: 0,
    searchCancelled: false,
  };
  let endSearch: (result: SlotSearchResult) => void = () => undefined;
  const search = new Promise<SlotSearchResult>((resolve) => (endSearch = resolve));
  const settle = (ms: number) => void seen.charged.push(ms);
  const hedged = new HedgedRun(
    {
      plan: { delayMs: 100, quantile: 0.95 },
      firstTarget: TargetId("a"),
      charge: () => opts.charge ?? { expectedMs: 80, settle },
      check: opts.check ?? (() => undefined),
      findSlot: () => ({
        result: search,
        cancel: () => {
          seen.searchCancelled = true;
          endSearch(noSlot);
        },
      }),
      startHedge: () => {
        seen.starts += 1;
        return second;
      },
      recordResponse: (ms) => void seen.samples.push(ms),
      remainingMs: () => 40,
      onRefused: (reason) => void seen.refused.push(reason),
      onEnd: (report) => void seen.reports.push(report),
      clock,
    },
    first,
  );
  return { clock, first, second, hedged, endSearch, seen };
}

/** The rig with the hedge running since 100 ms. */
async function running() {
  const r = rig();
  await r.clock.advance(100);
  r.endSearch(granted);
  await r.clock.advance(0);
  return r;
}

test("hedged run: a first run that ends before the delay isn't hedged", async (t) => {
  const { clock, first, hedged, seen } = rig();
  await clock.advance(99);
  first.end(done);
  t.is(await hedged.result, done);
  await clock.advance(100);
  t.deepEqual(seen, { ...rig().seen, samples: [99] });
});

const races: readonly {
  name: string;
  /** Ends of the runs, by the time since the start of the hedge, ms. */
  ends: readonly (readonly ["first" | "second", number, ForwardResult])[];
  result: ForwardResult;
  won: HedgeReport["won"];
  workMs: number;
  savedMs: number;
  samples: number[];
}[] = [
  {
    name: "the hedge wins, and the first run is cancelled",
    ends: [["second", 50, done]],
    ...{ result: done, won: "second", workMs: 50, savedMs: 40, samples: [100] },
  },
  {
    // The hedge may run to its end at its target if the cancellation is lost: it must not count as cheap.
    name: "the first run wins, and the cancelled hedge is charged with its expected time",
    ends: [["first", 10, done]],
    ...{ result: done, won: "first", workMs: 80, savedMs: 0, samples: [110] },
  },
  {
    name: "the first run fails and the hedge succeeds",
    ends: [
      ["first", 10, failed],
      ["second", 30, done],
    ],
    ...{ result: done, won: "second", workMs: 30, savedMs: 0, samples: [] },
  },
  {
    name: "the hedge fails and the first run succeeds",
    ends: [
      ["second", 5, failed],
      ["first", 30, done],
    ],
    ...{ result: done, won: "first", workMs: 5, savedMs: 0, samples: [130] },
  },
  {
    name: "the hedge is refused by its target, and the first run has failed: not reported as not-run",
    ends: [
      ["first", 5, mayHaveRun],
      ["second", 30, shed],
    ],
    ...{ result: mayHaveRun, won: "none", workMs: 0, savedMs: 0, samples: [] },
  },
  {
    // The caller leaves, or the process that sent both ends: both runs end without a result.
    name: "both are given up by their origin",
    ends: [
      ["first", 10, givenUp],
      ["second", 10, givenUp],
    ],
    ...{ result: givenUp, won: "none", workMs: 80, savedMs: 0, samples: [] },
  },
];

for (const c of races) {
  test(`hedged run: ${c.name}`, async (t) => {
    const { clock, first, second, hedged, seen } = await running();
    let at = 0;
    for (const [run, ms, result] of c.ends) {
      await clock.advance(ms - at);
      at = ms;
      (run === "first" ? first : second).end(result);
      await clock.advance(0);
    }
    t.deepEqual(await hedged.result, c.result);
    t.is(first.cancelled, c.won === "second" && c.ends.length === 1);
    t.deepEqual(seen.charged, [c.workMs]);
    t.deepEqual(seen.samples, c.samples);
    const { won, workMs, savedMs } = c;
    const delays = { delayMs: 100, quantile: 0.95 };
    const targets = { first: TargetId("a"), second: TargetId("b") };
    t.deepEqual(seen.reports, [{ ...targets, won, ...delays, workMs, savedMs }]);
  });
}

test("hedged run: both targets respond at once: one response is used, the body of the other is closed", async (t) => {
  const { first, second, hedged, seen } = await running();
  const body = new Readable({ read: () => undefined });
  first.end(done);
  second.end({ ...done, body });
  t.is(await hedged.result, done);
  await new Promise((resolve) => setImmediate(resolve));
  t.true(body.destroyed);
  t.is(seen.reports.length, 1);
});

test("hedged run: the first run fails during the search: the search ends, and a retry can follow at once", async (t) => {
  const { clock, first, hedged, seen } = rig();
  await clock.advance(110);
  first.end(failed);
  t.is(await hedged.result, failed);
  await clock.advance(0);
  t.true(seen.searchCancelled);
  t.deepEqual([seen.starts, seen.charged, seen.refused], [0, [0], []]);
});

test("hedged run: a slot that is granted together with the first response isn't used", async (t) => {
  // Started then, nobody would cancel the hedge: it would run to its end for nothing.
  const { clock, first, hedged, endSearch, seen } = rig();
  await clock.advance(110);
  first.end(done);
  endSearch(granted);
  t.is(await hedged.result, done);
  await clock.advance(0);
  t.deepEqual([seen.starts, seen.charged], [0, [0]]);
});

const refusals: readonly {
  name: string;
  opts: Parameters<typeof rig>[0];
  search?: SlotSearchResult;
  refused: HedgeRefusal;
  charged: number[];
}[] = [
  { name: "a limit", opts: { charge: "work-share" }, refused: "work-share", charged: [] },
  { name: "no slot", opts: {}, search: noSlot, refused: "no-slot", charged: [0] },
  {
    name: "a limit that was lowered to 0 during the search",
    opts: { check: () => "off" },
    search: granted,
    refused: "off",
    charged: [0],
  },
];

for (const { name, opts, search, refused, charged } of refusals) {
  test(`hedged run: not hedged because of ${name}; the first run goes on`, async (t) => {
    const { clock, first, hedged, endSearch, seen } = rig(opts);
    await clock.advance(100);
    if (search) {
      endSearch(search);
    }
    await clock.advance(50);
    first.end(done);
    t.is(await hedged.result, done);
    t.deepEqual([seen.refused, seen.charged, seen.starts], [[refused], charged, 0]);
    t.deepEqual([seen.samples, seen.reports], [[150], []]);
  });
}
