import test from "ava";
import { FakeClock } from "../../../test/fixtures/FakeClock.ts";
import { OutcomeReplicator } from "./OutcomeReplicator.ts";
import type { RecordPeer } from "./RecordPeer.ts";
import type { RunRecord } from "./RunRecord.ts";

const outcome: RunRecord = {
  state: "unknown",
  attempt: "a1",
  fingerprint: "f",
  deadlineAt: 1000,
};

/** A keeper whose first `failures` settles fail, each after `ms`. */
const keeper = (clock: FakeClock, id: string, failures = 0, ms = 5) => {
  const settled: (RunRecord | undefined)[] = [];
  let left = failures;
  const peer: RecordPeer = {
    id,
    claim: () => Promise.reject(new Error("not asked for here")),
    settle: (_key, _attempt, record) =>
      new Promise((resolve, reject) => {
        clock.after(ms, () => {
          if (left-- > 0) {
            reject(new Error("unanswered"));
          } else {
            settled.push(record);
            resolve();
          }
        });
      }),
  };
  return { peer, settled };
};

// Story: a van is booked, and the sidecar beside it tells the key's keepers how the
// booking ended. The caller's answer must not overtake that: the sidecar was killed
// right after it had answered, a resend found only the claim at every keeper, and the
// hirer was told that the booking may or may not have run (2 of 12 runs on a busy machine).
test("an outcome counts as kept once all but one keeper of five have it", async (t) => {
  const clock = new FakeClock();
  const slow = keeper(clock, "slow", 0, 300);
  const group = [1, 2, 3, 4].map((n) => keeper(clock, `k${n}`, 0, 10 * n));
  const outcomes = new OutcomeReplicator(clock);
  let isKept = false;
  const all = [...group, slow].map((k) => k.peer);
  void outcomes.keep(all, "key", "a1", outcome).then(() => (isKept = true));
  await clock.advance(39);
  t.false(isKept);
  await clock.advance(1);
  t.true(isKept);
  t.is(slow.settled.length, 0);
});

// Story: the message to one keeper is lost. It would go on saying that the booking is under
// way, and after the deadline that nobody knows, for as long as it keeps the record.
test("a keeper that did not hear of an outcome is told again until it has", async (t) => {
  const clock = new FakeClock();
  const deaf = keeper(clock, "deaf", 3);
  const sound = keeper(clock, "sound");
  await Promise.all([
    new OutcomeReplicator(clock).keep([deaf.peer, sound.peer], "key", "a1", outcome),
    clock.advance(10_000),
  ]);
  t.deepEqual(deaf.settled, [outcome]);
  t.deepEqual(sound.settled, [outcome]);
});

test("keepers that are gone do not hold the caller's answer up, nor are they told for ever", async (t) => {
  const clock = new FakeClock();
  const gone = [1, 2, 3].map((n) => keeper(clock, `gone${n}`, Infinity, 400));
  const sound = keeper(clock, "sound");
  let isKept = false;
  const group = [...gone, sound].map((k) => k.peer);
  void new OutcomeReplicator(clock).keep(group, "key", "a1", outcome).then(() => (isKept = true));
  await clock.advance(400);
  t.true(isKept);
  await clock.advance(60_000);
  t.is(sound.settled.length, 1);
});
