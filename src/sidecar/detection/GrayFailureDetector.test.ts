import test from "ava";
import bunyan from "bunyan";
import { FakeClock } from "../../../test/fixtures/FakeClock.ts";
import { makeService } from "../../../test/fixtures/makeService.ts";
import { AttemptOutcome } from "./AttemptOutcome.ts";
import { GrayFailureDetector } from "./GrayFailureDetector.ts";

const { Ok, Failed, NoAnswer, TimedOut, Shed } = AttemptOutcome;

/** As long as a silent target is left alone, ms. */
const EJECT_MS = 5000;

/** A detector for a target that has answered well until now. */
function rig(threshold = 6) {
  const clock = new FakeClock();
  const { detection } = makeService();
  const detector = new GrayFailureDetector({
    rule: () => ({ ...detection, threshold, ejectMs: EJECT_MS, maxEjectMs: EJECT_MS }),
    clock,
    log: bunyan.createLogger({ name: "test", level: "fatal" }),
  });
  detector.note(Ok, 0, 0);
  const state = () => (detector.isEjected ? "ejected" : detector.isSuspect ? "suspect" : "well");
  return { clock, detector, state };
}

type Step =
  | { outcome: AttemptOutcome; ms?: number; typicalMs?: number }
  | { wait: number }
  | { overdue: number };

const cases: readonly { name: string; steps: readonly Step[]; state: string }[] = [
  {
    name: "one failure half a second after a good answer is a suspicion",
    steps: [{ wait: 500 }, { outcome: Failed, ms: 2 }],
    state: "suspect",
  },
  {
    name: "two failures close together eject",
    steps: [{ wait: 500 }, { outcome: Failed, ms: 2 }, { wait: 100 }, { outcome: NoAnswer, ms: 2 }],
    state: "ejected",
  },
  {
    name: "one failure long after the last good answer ejects: what was known is old",
    steps: [{ wait: 4000 }, { outcome: Failed, ms: 2 }],
    state: "ejected",
  },
  {
    name: "good answers clear a suspicion",
    steps: [
      { wait: 500 },
      { outcome: Failed, ms: 2 },
      { wait: 100 },
      { outcome: Ok, ms: 50 },
      { outcome: Ok, ms: 50 },
      { outcome: Ok, ms: 50 },
    ],
    state: "well",
  },
  {
    // Story: a target turns gray, and the first request that it fails comes back at once. Half a
    // second of bookings that it had taken on before go on and end well. Counted as proof, they
    // cleared the suspicion, and the next bookings failed too.
    name: "answers of requests that began before the failure clear nothing",
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
    // Story: evidence faded with time, so a target that was left alone came back in the midst of its
    // spell, and failed the next booking: 2 to 4 times a spell in the logs of a quiet day.
    name: "while it is heard of, time alone clears nothing",
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
    name: "one that nothing is heard of is tried again in the end",
    steps: [
      { wait: 500 },
      { outcome: Failed, ms: 2 },
      { outcome: Failed, ms: 2 },
      { wait: EJECT_MS },
    ],
    state: "well",
  },
  {
    name: "one good answer readmits an ejected target, under suspicion",
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
    name: "a few good answers readmit",
    steps: [
      { wait: 500 },
      { outcome: Failed, ms: 2 },
      { outcome: Failed, ms: 2 },
      { wait: 1000 },
      ...Array.from({ length: 5 }, () => ({ outcome: Ok, ms: 50 })),
    ],
    state: "well",
  },
  {
    name: "an error at the end of long work, with good answers since it began, is no suspicion",
    steps: [{ wait: 500 }, { outcome: Ok, ms: 10 }, { wait: 200 }, { outcome: Failed, ms: 600 }],
    state: "well",
  },
  {
    name: "runs that hang are noticed while they last, though others are answered",
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
    name: "runs that end with their time eject in the end",
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
    // Story: some routes give less time than their work takes. Each of their requests ends late, 100 a
    // played day, whatever target it is sent to.
    name: "requests that were not given the time that they take say nothing",
    steps: Array.from({ length: 10 }, () => ({ outcome: TimedOut, ms: 80, typicalMs: 400 })),
    state: "well",
  },
  {
    name: "refusals for want of room say nothing of its health",
    steps: Array.from({ length: 10 }, () => ({ outcome: Shed, ms: 2 })),
    state: "well",
  },
];

for (const { name, steps, state } of cases) {
  test(`judge: ${name}`, async (t) => {
    const r = rig();
    for (const step of steps) {
      if ("wait" in step) {
        await r.clock.advance(step.wait);
      } else if ("overdue" in step) {
        r.detector.noteOverdue(step.overdue);
      } else {
        r.detector.note(step.outcome, step.ms ?? 0, step.typicalMs ?? 0);
      }
    }
    t.is(r.state(), state);
  });
}

const expendable = { isExpendable: true, isPressed: false, acceptsRisk: 0 };
const only = { isExpendable: false, isPressed: false, acceptsRisk: 0 };

test("judge: a suspect takes no request that has no other try, and five that have", async (t) => {
  const { clock, detector } = rig();
  await clock.advance(500);
  detector.note(Failed, 2, 0);
  t.false(detector.admits(only, 0));
  t.true(detector.admits({ ...only, acceptsRisk: 1 }, 0));
  t.deepEqual(
    [0, 4, 5].map((probes) => detector.admits(expendable, probes)),
    [true, true, false],
  );
});

test("judge: an ejected target is tried with one request at a time, at a distance when it fails", async (t) => {
  const { clock, detector } = rig();
  await clock.advance(500);
  detector.note(Failed, 2, 0);
  detector.note(Failed, 2, 0);
  t.is(detector.probeInMs(0), 1000, "left alone at first");
  await clock.advance(1000);
  t.is(detector.probeInMs(0), 0);
  t.true(detector.admits(expendable, 0));
  t.false(detector.admits(expendable, 1));
  detector.note(Failed, 2, 0);
  await clock.advance(300);
  t.false(detector.admits(expendable, 0));
  t.true(detector.admits({ ...expendable, isPressed: true }, 0), "sooner where there is no room");
  detector.note(Failed, 2, 0);
  t.is(detector.probeInMs(0), 1000);
  await clock.advance(1000);
  detector.note(Ok, 50, 0);
  t.is(detector.probeInMs(2), 0, "a good answer calls for others at once");
});

test("judge: the risk falls with good answers, rises with failures, and drifts back with time", async (t) => {
  const { clock, detector } = rig();
  const fresh = detector.risk;
  await clock.advance(3000);
  const old = detector.risk;
  detector.note(Failed, 2, 0);
  t.true(fresh < 0.02 && old > 0.05 && old < 0.3 && detector.risk > 0.6);
});
