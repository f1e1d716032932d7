import test from "ava";
import { FakeClock } from "../../../test/fixtures/FakeClock.ts";
import { DocumentActivation } from "./DocumentActivation.ts";
import { DocumentFreshness } from "./DocumentFreshness.ts";

/** Time at which the sidecar starts, ms: control has accepted versions before. */
const START_MS = 10_000;

const MAX_AGE_MS = 2000;

/** An event at a sidecar, by its time after the start, ms. */
type Event =
  | { readonly atMs: number; readonly receives: number }
  /** A member states that no change after version `confirms` had been acknowledged `ageMs` ago. */
  | { readonly atMs: number; readonly confirms: number; readonly ageMs: number };

const cases: readonly {
  name: string;
  events: readonly Event[];
  /** When the sidecar begins to act on documents, ms after its start, and why; undefined for not within a minute. */
  active: readonly [atMs: number, reason: string] | undefined;
}[] = [
  {
    name: "a version that was current before it arrived",
    events: [
      { atMs: 100, confirms: 4, ageMs: 300 },
      { atMs: 700, receives: 4 },
    ],
    active: [700, "confirmed"],
  },
  {
    name: "versions that it passes through",
    events: [
      { atMs: 100, confirms: 4, ageMs: 300 },
      { atMs: 150, receives: 1 },
      { atMs: 200, receives: 3 },
      { atMs: 250, receives: 4 },
    ],
    active: [250, "confirmed"],
  },
  {
    name: "a version that was confirmed long before the start",
    events: [
      { atMs: 100, receives: 1 },
      { atMs: 150, confirms: 1, ageMs: 60_000 },
      { atMs: 500, confirms: 1, ageMs: 200 },
    ],
    active: [500, "confirmed"],
  },
  {
    name: "a version that was current when the sidecar started, and arrives late",
    events: [
      { atMs: 100, confirms: 4, ageMs: 1500 },
      { atMs: 8000, receives: 4 },
    ],
    active: [8000, "confirmed"],
  },
  {
    name: "no document exists yet",
    events: [{ atMs: 100, confirms: 0, ageMs: 200 }],
    active: [100, "confirmed"],
  },
  {
    name: "a version that nobody confirms",
    events: [
      { atMs: 400, receives: 3 },
      { atMs: 900, receives: 4 },
    ],
    active: [3400, "unconfirmed"],
  },
  {
    name: "a version that is known to be outdated",
    events: [
      { atMs: 400, receives: 3 },
      { atMs: 900, confirms: 4, ageMs: 200 },
    ],
    active: [10_400, "unconfirmed"],
  },
  { name: "nothing is received", events: [], active: undefined },
];

for (const { name, events, active } of cases) {
  test(`a starting sidecar acts on the document: ${name}`, async (t) => {
    const clock = new FakeClock();
    await clock.advance(START_MS);
    const received = { version: 0 };
    const elapsed = () => clock.now();
    const freshness = new DocumentFreshness({ version: () => received.version, elapsed });
    const activated: [number, string][] = [];
    const activation = new DocumentActivation({
      freshness,
      maxAgeMs: () => MAX_AGE_MS,
      onActive: (reason) => activated.push([clock.now() - START_MS, reason]),
      clock,
      elapsed,
    });
    for (const event of events) {
      await clock.advance(START_MS + event.atMs - clock.now());
      if ("receives" in event) {
        received.version = event.receives;
        activation.noteReceived();
        freshness.onVersionChange();
      } else {
        freshness.confirm(event.confirms, clock.now() - event.ageMs);
      }
    }
    await clock.advance(60_000);
    t.deepEqual(activated, active ? [active] : []);
    t.is(activation.isActive, active !== undefined);
  });
}
