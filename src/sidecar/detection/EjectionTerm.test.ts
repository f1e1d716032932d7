import test from "ava";
import { EjectionTerm } from "./EjectionTerm.ts";

const RULE = { ejectMs: 1000, maxEjectMs: 4000, rampMs: 500 };

test("EjectionTerm: a flapping target is out longer each time, up to the maximum", (t) => {
  // Story: a target is sick, recovers, and falls sick again within seconds of
  // each readmission. With one fixed term it would be back in every second.
  const clock = { now: 0 };
  const term = new EjectionTerm(() => clock.now);
  const terms: number[] = [];
  for (let i = 0; i < 4; i++) {
    const ms = term.eject(RULE);
    terms.push(ms);
    clock.now += ms + 100;
  }
  t.deepEqual(terms, [1000, 2000, 4000, 4000]);
});

test("EjectionTerm: a long clean spell is forgiven", (t) => {
  const clock = { now: 0 };
  const term = new EjectionTerm(() => clock.now);
  term.eject(RULE);
  clock.now += 1000 + 4 * 1000;
  t.is(term.eject(RULE), 1000);
});

test("EjectionTerm: readmission is told once, then gradual and on notice", (t) => {
  const clock = { now: 0 };
  const term = new EjectionTerm(() => clock.now);
  t.is(term.weight, 1);
  t.false(term.takeReadmission());
  term.eject(RULE);
  t.true(term.ejected);
  clock.now = 1000;
  t.false(term.ejected);
  t.true(term.takeReadmission());
  t.false(term.takeReadmission());
  t.true(term.weight < 0.2);
  t.true(term.thresholdFactor < 1);
  clock.now = 1250;
  t.true(term.weight > 0.4 && term.weight < 0.7);
  clock.now = 1500;
  t.is(term.weight, 1);
  t.is(term.thresholdFactor, 1);
});

test("EjectionTerm: a target that has just come up is warmed up, without notice", (t) => {
  const clock = { now: 5000 };
  const term = new EjectionTerm(() => clock.now);
  term.warmUp(500);
  t.false(term.ejected);
  t.true(term.weight < 0.2);
  t.is(term.thresholdFactor, 1);
});
