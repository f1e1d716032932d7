import test from "ava";
import { TargetId } from "../../common/ids/TargetId.ts";
import { AttemptOutcome } from "./AttemptOutcome.ts";
import { OutlierDetector } from "./OutlierDetector.ts";

const RULE = { slowFactor: 3, slowMinMs: 50 };
const USUAL_MS = 40;
const target = TargetId("x");

const setup = () => {
  const clock = { now: 0, stalled: 0 };
  const detector = new OutlierDetector(
    () => clock.now,
    () => clock.stalled,
  );
  const attempt = (id: TargetId, ms: number, outcome: AttemptOutcome) => {
    const end = detector.begin(id, "svc", "lookup", RULE);
    clock.now += ms;
    detector.checkOverdue();
    end(outcome);
  };
  // The usual latency has to be known before anything can be late against it.
  for (let i = 0; i < 32; i++) {
    attempt(TargetId(`peer-${i % 4}`), USUAL_MS, AttemptOutcome.Ok);
  }
  return { clock, detector, attempt };
};

const scoreOf = (detector: OutlierDetector) => detector.evidence().find((e) => e.target === target);

const cases: readonly {
  name: string;
  ms: number;
  outcome: AttemptOutcome;
  failure: boolean;
  late: boolean;
}[] = [
  { name: "a usual answer", ms: USUAL_MS, outcome: AttemptOutcome.Ok, failure: false, late: false },
  { name: "a late answer", ms: 400, outcome: AttemptOutcome.Ok, failure: false, late: true },
  // Three times the median of 40, but within slowMinMs of it would be noise.
  { name: "twice the usual", ms: 80, outcome: AttemptOutcome.Ok, failure: false, late: false },
  { name: "a wrong answer", ms: 40, outcome: AttemptOutcome.Failed, failure: true, late: false },
  { name: "a reset", ms: 5, outcome: AttemptOutcome.NoAnswer, failure: false, late: true },
  { name: "a shed request", ms: 1, outcome: AttemptOutcome.Shed, failure: false, late: false },
  {
    name: "a caller that left",
    ms: 60,
    outcome: AttemptOutcome.Cancelled,
    failure: false,
    late: false,
  },
];

for (const c of cases) {
  test(`evidence of ${c.name}`, (t) => {
    const { detector, attempt } = setup();
    attempt(target, c.ms, c.outcome);
    const e = scoreOf(detector);
    t.is((e?.failureScore ?? 0) > 0, c.failure);
    t.is((e?.lateScore ?? 0) > 0, c.late);
  });
}

test("a request still unanswered past the limit counts before its answer comes", (t) => {
  const { clock, detector } = setup();
  detector.begin(target, "svc", "lookup", RULE);
  clock.now += 121;
  detector.checkOverdue();
  t.true((scoreOf(detector)?.lateScore ?? 0) > 0);
});

test("an answer that never comes weighs more than one that comes late", (t) => {
  // Story: seen in the bench, a sidecar cut off from a target one way sent it
  // about four requests in 8 s, since those stuck there kept others away. Four
  // late answers were needed, so it went on for longer than that.
  const late = setup();
  late.attempt(target, 400, AttemptOutcome.Ok);
  const never = setup();
  never.attempt(target, 1500, AttemptOutcome.NoAnswer);
  const [a = 0, b = 0] = [late, never].map((s) => scoreOf(s.detector)?.lateScore);
  t.true(b > a * 1.5, `${b} against ${a}`);
});

test("time that this process stood still is not held against the target", (t) => {
  // Story: a garbage collection here of 300 ms; an answer of 40 ms is read 340 ms after.
  const { clock, detector } = setup();
  const end = detector.begin(target, "svc", "lookup", RULE);
  clock.now += 340;
  clock.stalled += 300;
  detector.checkOverdue();
  end(AttemptOutcome.Ok);
  t.is(scoreOf(detector)?.lateScore, 0);
});

test("good answers wear isolated bad ones off", (t) => {
  const { detector, attempt } = setup();
  attempt(target, USUAL_MS, AttemptOutcome.Failed);
  for (let i = 0; i < 100; i++) {
    attempt(target, USUAL_MS, AttemptOutcome.Ok);
  }
  t.is(scoreOf(detector)?.failureScore, 0);
});
