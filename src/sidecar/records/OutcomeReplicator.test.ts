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

/** A record holder whose first `failures` settles fail, each after `ms`. */
const makeHolder = (clock: FakeClock, id: string, failures = 0, ms = 5) => {
  const settled: (RunRecord | undefined)[] = [];
  let failuresLeft = failures;
  const peer: Pick<RecordPeer, "id" | "settle"> = {
    id,
    settle: (_key, _attempt, record) =>
      new Promise((resolve, reject) => {
        clock.after(ms, () => {
          if (failuresLeft-- > 0) {
            reject(new Error("no reply"));
          } else {
            settled.push(record);
            resolve();
          }
        });
      }),
  };
  return { peer, settled };
};

// The response must not reach the caller before the outcome reaches the record holders. When it did,
// and the sidecar was killed right after responding, a resend found only the claim at every holder and
// got the verdict that the request may have run (2 of 12 test runs on a busy machine).
test("outcome replicator resolves only once four of five record holders have the outcome", async (t) => {
  const clock = new FakeClock();
  const slow = makeHolder(clock, "slow", 0, 300);
  const group = [1, 2, 3, 4].map((n) => makeHolder(clock, `k${n}`, 0, 10 * n));
  const replicator = new OutcomeReplicator(clock);
  let isReplicated = false;
  const all = [...group, slow].map((holder) => holder.peer);
  void replicator.replicate(all, "key", "a1", outcome).then(() => (isReplicated = true));
  await clock.advance(39);
  t.false(isReplicated);
  await clock.advance(1);
  t.true(isReplicated);
  t.is(slow.settled.length, 0);
});

// If the message to one record holder is lost, that holder would report the request as in progress, and
// as of unknown outcome after the deadline, for as long as it keeps the record.
test("outcome replicator retries until a record holder has acknowledged the outcome", async (t) => {
  const clock = new FakeClock();
  const failing = makeHolder(clock, "failing", 3);
  const reachable = makeHolder(clock, "reachable");
  await Promise.all([
    new OutcomeReplicator(clock).replicate([failing.peer, reachable.peer], "key", "a1", outcome),
    clock.advance(10_000),
  ]);
  t.deepEqual(failing.settled, [outcome]);
  t.deepEqual(reachable.settled, [outcome]);
});

test("outcome replicator neither delays the response for unreachable record holders nor retries for ever", async (t) => {
  const clock = new FakeClock();
  const unreachable = [1, 2, 3].map((n) => makeHolder(clock, `gone${n}`, Infinity, 400));
  const reachable = makeHolder(clock, "reachable");
  let isReplicated = false;
  const group = [...unreachable, reachable].map((holder) => holder.peer);
  void new OutcomeReplicator(clock)
    .replicate(group, "key", "a1", outcome)
    .then(() => (isReplicated = true));
  await clock.advance(400);
  t.true(isReplicated);
  await clock.advance(60_000);
  t.is(reachable.settled.length, 1);
});
