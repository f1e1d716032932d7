import test from "ava";
import bunyan from "bunyan";
import { FakeClock } from "../../../test/fixtures/FakeClock.ts";
import { makeService } from "../../../test/fixtures/makeService.ts";
import { AttemptOutcome } from "./AttemptOutcome.ts";
import { GrayFailureDetector } from "./GrayFailureDetector.ts";

const { Ok, Failed, NoResponse, TimedOut, Shed } = AttemptOutcome;

/** Time without evidence after which an ejected target is tried again, ms. */
const EJECT_MS = 5000;

/** A detector for a target whose requests have all succeeded so far. */
function setUp(threshold = 6) {
  const clock = new FakeClock();
  const { detection } = makeService();
  const detector = new GrayFailureDetector({
    rule: () => ({ ...detection, threshold, ejectMs: EJECT_MS, maxEjectMs: EJECT_MS }),
    clock,
    log: bunyan.createLogger({ name: "test", level: "fatal" }),
  });
  detector.recordOutcome(Ok, 0, 0);
  const state = () => (detector.isEjected ? "ejected" : detector.isSuspect ? "suspect" : "healthy");
  return { clock, detector, state };
}

type Step =
  | { outcome: AttemptOutcome; ms?: number; typicalMs?: number }
  | { wait: number }
  | { overdue: number };

const cases: readonly { name: string; steps: readonly Step[]; state: string }[] = [
  {
    name: "one failure half a second after a success makes the target suspect",
    steps: [{ wait: 500 }, { outcome: Failed, ms: 2 }],
    state: "suspect",
  },
  {
    name: "two failures in quick succession eject the target",
    steps: [
      { wait: 500 },
      { outcome: Failed, ms: 2 },
      { wait: 100 },
      { outcome: NoResponse, ms: 2 },
    ],
    state: "ejected",
  },
  {
    name: "one failure long after the last success ejects, since the success says little by then",
    steps: [{ wait: 4000 }, { outcome: Failed, ms: 2 }],
    state: "ejected",
  },
  {
    name: "successes clear a suspicion",
    steps: [
      { wait: 500 },
      { outcome: Failed, ms: 2 },
      { wait: 100 },
      { outcome: Ok, ms: 50 },
      { outcome: Ok, ms: 50 },
      { outcome: Ok, ms: 50 },
    ],
    state: "healthy",
  },
  {
    // A target that becomes gray fails a request immediately, while requests that it started up to half
    // a second earlier still succeed. When those counted as evidence of recovery, they cleared the
    // suspicion, and the next requests failed too.
    name: "successes of requests that started before the failure do not clear the suspicion",
    steps: [
      { wait: 500 },
      { outcome: Failed, ms: 2 },
      { wait: 100 },
      { outcome: Ok, ms: 400 },
      { outcome: Ok, ms: 300 },
      { outcome: Ok, ms: 200 },
    ],
    state: "suspect",
  },
  {
    // When evidence decayed with time alone, a target without requests was readmitted while it was still
    // gray, and failed the next request: 2 to 4 times per gray period in the logs of a quiet day.
    name: "time alone does not clear a suspicion before the silence timeout",
    steps: [
      { wait: 500 },
      { outcome: Failed, ms: 2 },
      { outcome: Failed, ms: 2 },
      { wait: 2000 },
      { outcome: Failed, ms: 2 },
      { wait: 4000 },
    ],
    state: "suspect",
  },
  {
    name: "an ejected target without new evidence is readmitted after the silence timeout",
    steps: [
      { wait: 500 },
      { outcome: Failed, ms: 2 },
      { outcome: Failed, ms: 2 },
      { wait: EJECT_MS },
    ],
    state: "healthy",
  },
  {
    name: "one success readmits an ejected target as suspect",
    steps: [
      { wait: 500 },
      { outcome: Failed, ms: 2 },
      { outcome: Failed, ms: 2 },
      { wait: 1000 },
      { outcome: Ok, ms: 50 },
    ],
    state: "suspect",
  },
  {
    name: "a few successes readmit an ejected target as healthy",
    steps: [
      { wait: 500 },
      { outcome: Failed, ms: 2 },
      { outcome: Failed, ms: 2 },
      { wait: 1000 },
      ...Array.from({ length: 5 }, () => ({ outcome: Ok, ms: 50 })),
    ],
    state: "healthy",
  },
  {
    name: "a late error of a long request does not make the target suspect if newer requests succeeded",
    steps: [{ wait: 500 }, { outcome: Ok, ms: 10 }, { wait: 200 }, { outcome: Failed, ms: 600 }],
    state: "healthy",
  },
  {
    name: "hung runs make the target suspect before they end, even if other requests succeed",
    steps: [
      { wait: 500 },
      { overdue: 900 },
      { wait: 100 },
      { overdue: 900 },
      { outcome: Ok, ms: 50 },
      { overdue: 900 },
      { overdue: 900 },
    ],
    state: "suspect",
  },
  {
    name: "repeated timeouts eject the target",
    steps: [
      { wait: 500 },
      { outcome: TimedOut, ms: 400 },
      { outcome: TimedOut, ms: 400 },
      { outcome: TimedOut, ms: 400 },
      { outcome: TimedOut, ms: 400 },
    ],
    state: "ejected",
  },
  {
    // Some routes have timeouts shorter than their work takes. Their requests time out at every target,
    // 100 times per simulated day.
    name: "timeouts of requests with too short a deadline are no evidence",
    steps: Array.from({ length: 10 }, () => ({ outcome: TimedOut, ms: 80, typicalMs: 400 })),
    state: "healthy",
  },
  {
    name: "rejections for lack of capacity are no evidence",
    steps: Array.from({ length: 10 }, () => ({ outcome: Shed, ms: 2 })),
    state: "healthy",
  },
];

for (const { name, steps, state } of cases) {
  test(`health detector: ${name}`, async (t) => {
    const r = setUp();
    for (const step of steps) {
      if ("wait" in step) {
        await r.clock.advance(step.wait);
      } else if ("overdue" in step) {
        r.detector.recordOverdue(step.overdue);
      } else {
        r.detector.recordOutcome(step.outcome, step.ms ?? 0, step.typicalMs ?? 0);
      }
    }
    t.is(r.state(), state);
  });
}

const retryable = { isRetryable: true, isCongested: false, acceptsRisk: 0 };
const notRetryable = { isRetryable: false, isCongested: false, acceptsRisk: 0 };

test("health detector: a suspect target admits no request that cannot be retried, and up to five that can", async (t) => {
  const { clock, detector } = setUp();
  await clock.advance(500);
  detector.recordOutcome(Failed, 2, 0);
  t.false(detector.admits(notRetryable, 0));
  t.true(detector.admits({ ...notRetryable, acceptsRisk: 1 }, 0));
  t.deepEqual(
    [0, 4, 5].map((probes) => detector.admits(retryable, probes)),
    [true, true, false],
  );
});

test("health detector: an ejected target gets one probe at a time, with a pause after a failed probe", async (t) => {
  const { clock, detector } = setUp();
  await clock.advance(500);
  detector.recordOutcome(Failed, 2, 0);
  detector.recordOutcome(Failed, 2, 0);
  t.is(detector.probeInMs(0), 1000, "no probe right after the ejection");
  await clock.advance(1000);
  t.is(detector.probeInMs(0), 0);
  t.true(detector.admits(retryable, 0));
  t.false(detector.admits(retryable, 1));
  detector.recordOutcome(Failed, 2, 0);
  await clock.advance(300);
  t.false(detector.admits(retryable, 0));
  t.true(
    detector.admits({ ...retryable, isCongested: true }, 0),
    "sooner if requests are queued for capacity",
  );
  detector.recordOutcome(Failed, 2, 0);
  t.is(detector.probeInMs(0), 1000);
  await clock.advance(1000);
  detector.recordOutcome(Ok, 50, 0);
  t.is(detector.probeInMs(2), 0, "the next probes follow a success at once");
});

test("health detector: the risk falls after successes, rises after failures, and returns to the prior over time", async (t) => {
  const { clock, detector } = setUp();
  const initialRisk = detector.risk;
  await clock.advance(3000);
  const agedRisk = detector.risk;
  detector.recordOutcome(Failed, 2, 0);
  t.true(initialRisk < 0.02 && agedRisk > 0.05 && agedRisk < 0.3 && detector.risk > 0.6);
});
