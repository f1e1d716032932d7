import test from "ava";
import { FakeClock } from "../../../test/fixtures/FakeClock.ts";
import { ServiceName } from "../../common/ids/ServiceName.ts";
import { ZoneName } from "../../common/ids/ZoneName.ts";
import { ZoneWaitEstimator } from "./ZoneWaitEstimator.ts";

const BOOKS = ServiceName("books");
const DESK = ServiceName("desk");
const HERE = ZoneName("here");
const THERE = ZoneName("there");

const cases: readonly {
  name: string;
  /** Waits reported, oldest first, ms. */
  reportedMs: readonly number[];
  /** Time from the last report to the estimate, ms. */
  afterMs: number;
  minMs: number;
  maxMs: number;
}[] = [
  { name: "is 0 without any report", reportedMs: [], afterMs: 0, minMs: 0, maxMs: 0 },
  {
    name: "rises by a part of one long wait",
    reportedMs: [500],
    afterMs: 0,
    minMs: 50,
    maxMs: 200,
  },
  {
    name: "approaches the wait that all targets report",
    reportedMs: Array(20).fill(500),
    afterMs: 0,
    minMs: 480,
    maxMs: 500,
  },
  {
    name: "falls once targets report free slots",
    reportedMs: [...Array<number>(20).fill(500), ...Array<number>(10).fill(0)],
    afterMs: 0,
    minMs: 0,
    maxMs: 60,
  },
  {
    name: "decays without new reports, so that a zone that was full is tried again",
    reportedMs: Array(20).fill(500),
    afterMs: 10_000,
    minMs: 0,
    maxMs: 10,
  },
];

for (const { name, reportedMs, afterMs, minMs, maxMs } of cases) {
  test(`expected wait in a zone ${name}`, async (t) => {
    const clock = new FakeClock();
    const waits = new ZoneWaitEstimator(clock);
    reportedMs.forEach((ms) => {
      waits.record(BOOKS, HERE, ms);
    });
    await clock.advance(afterMs);
    const ms = waits.expectedMs(BOOKS, HERE);
    t.true(minMs <= ms && ms <= maxMs, `${ms} ms`);
    t.is(waits.expectedMs(BOOKS, THERE), 0);
    t.is(waits.expectedMs(DESK, HERE), 0);
  });
}
