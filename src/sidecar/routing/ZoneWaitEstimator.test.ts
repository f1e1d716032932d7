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
  heard: readonly number[];
  afterMs: number;
  least: number;
  most: number;
}[] = [
  { name: "nothing was heard", heard: [], afterMs: 0, least: 0, most: 0 },
  { name: "one was full", heard: [500], afterMs: 0, least: 50, most: 200 },
  { name: "all were full", heard: Array(20).fill(500), afterMs: 0, least: 480, most: 500 },
  {
    name: "all were full, and the last ones free",
    heard: [...Array<number>(20).fill(500), ...Array<number>(10).fill(0)],
    afterMs: 0,
    least: 0,
    most: 60,
  },
  {
    name: "all were full, long ago",
    heard: Array(20).fill(500),
    afterMs: 10_000,
    least: 0,
    most: 10,
  },
];

for (const { name, heard, afterMs, least, most } of cases) {
  test(`an ask is expected to wait in a zone where ${name}`, async (t) => {
    const clock = new FakeClock();
    const waits = new ZoneWaitEstimator(clock);
    heard.forEach((ms) => {
      waits.note(BOOKS, HERE, ms);
    });
    await clock.advance(afterMs);
    const ms = waits.expectedMs(BOOKS, HERE);
    t.true(least <= ms && ms <= most, `${ms} ms`);
    t.is(waits.expectedMs(BOOKS, THERE), 0);
    t.is(waits.expectedMs(DESK, HERE), 0);
  });
}
