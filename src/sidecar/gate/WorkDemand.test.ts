import test from "ava";
import { FakeClock } from "../../../test/fixtures/FakeClock.ts";
import { WorkDemand } from "./WorkDemand.ts";

/** Reports of the senders, time without a new run, ms, and what the target then asks for. */
const cases: readonly {
  name: string;
  reports: readonly number[];
  idleMs: number;
  /** Whether the target's last run has failed. */
  hasFailed?: boolean;
  asks: boolean;
  acceptsIdempotent: boolean;
  acceptsAny: boolean;
}[] = [
  {
    name: "a target that has just had work does not ask for more",
    reports: [0.2, 0.2, 0.2, 0.2],
    idleMs: 500,
    asks: false,
    acceptsIdempotent: false,
    acceptsAny: false,
  },
  {
    name: "an idle target of a failing service takes idempotent requests first",
    reports: [0.2, 0, 0.2, 0.2],
    idleMs: 700,
    asks: true,
    acceptsIdempotent: true,
    acceptsAny: false,
  },
  {
    name: "a target of a failing service is not left idle for want of idempotent requests",
    reports: [0.2, 0, 0.2, 0.2],
    idleMs: 1300,
    asks: true,
    acceptsIdempotent: true,
    acceptsAny: true,
  },
  {
    name: "a target that has just failed a run is given a rest before it takes another",
    reports: [0.2, 0, 0.2, 0.2],
    idleMs: 2500,
    hasFailed: true,
    asks: false,
    acceptsIdempotent: false,
    acceptsAny: false,
  },
  {
    name: "a target that failed its last run is tested again before it counts as left idle",
    reports: [0.2, 0, 0.2, 0.2],
    idleMs: 3300,
    hasFailed: true,
    asks: true,
    acceptsIdempotent: true,
    acceptsAny: true,
  },
  {
    name: "a suspect target of a service that serves nearly all requests gets none that may not probe it",
    reports: [0, 0.15, 0, 0.15],
    idleMs: 5000,
    asks: false,
    acceptsIdempotent: false,
    acceptsAny: false,
  },
  {
    name: "a target that nobody asks for a slot asks for work, so that it learns of a failing service",
    reports: [],
    idleMs: 700,
    asks: true,
    acceptsIdempotent: false,
    acceptsAny: false,
  },
];

for (const { name, reports, idleMs, hasFailed, ...expected } of cases) {
  test(`work demand: ${name}`, async (t) => {
    const clock = new FakeClock();
    const demand = new WorkDemand(clock);
    await clock.advance(100);
    demand.recordStart();
    if (hasFailed) {
      demand.recordFailure();
    }
    await clock.advance(idleMs);
    reports.forEach((share) => {
      demand.recordReport(share);
    });
    const asks = demand.isActive;
    const [acceptsIdempotent, acceptsAny] = [demand.accepts(true), demand.accepts(false)];
    t.deepEqual({ asks, acceptsIdempotent, acceptsAny }, expected);
  });
}
