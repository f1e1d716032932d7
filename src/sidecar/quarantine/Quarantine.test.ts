import test from "ava";
import { FakeClock } from "../../../test/fixtures/FakeClock.ts";
import { makeQuarantine } from "../../../test/fixtures/makeQuarantine.ts";
import { RequestFingerprint } from "../../common/ids/RequestFingerprint.ts";

const FATAL = RequestFingerprint("fatal");

/** A quarantine to which the request is reported to have ended `count` targets, one after another. */
async function rig(count: number) {
  const clock = new FakeClock();
  const { quarantine, ...rest } = makeQuarantine(clock);
  const crash = async (target: string) => {
    const startedAt = clock.now();
    await clock.advance(100);
    const names = { fingerprint: FATAL, service: "svc", request: "GET /fatal", target };
    quarantine.recordCrash({ ...names, startedAt });
  };
  for (let n = 0; n < count; n++) {
    await crash(`t${n}`);
  }
  const isBlocked = () => quarantine.blockOf(FATAL) !== undefined;
  return { clock, quarantine, crash, isBlocked, ...rest };
}

test("quarantine: a request is blocked as soon as it has ended three targets", async (t) => {
  const blocked: string[] = [];
  const { quarantine, crash, isBlocked, events } = await rig(2);
  quarantine.onBlocked((fingerprint) => blocked.push(fingerprint));
  t.false(isBlocked());
  await crash("t2");
  t.true(isBlocked());
  t.deepEqual(blocked, [FATAL]);
  t.deepEqual(events, ["suspected", "suspected", "suspected", "blocked"]);
});

test("quarantine: a completed run clears a suspect, which is then not blocked by a further crash", async (t) => {
  const { clock, quarantine, crash, isBlocked } = await rig(2);
  await clock.advance(10);
  quarantine.recordCompletion(FATAL);
  t.false(quarantine.isActive);
  await crash("t2");
  t.false(isBlocked());
  t.is(quarantine.crashesOf(FATAL), 1);
});

test("quarantine: completed runs of other requests spread no evidence", async (t) => {
  const { quarantine, found } = await rig(1);
  quarantine.recordCompletion(RequestFingerprint("other"));
  t.is(found.length, 1);
});

test("quarantine: an operator releases a blocked request, and an unknown one is reported as such", async (t) => {
  const { clock, quarantine, isBlocked } = await rig(3);
  await clock.advance(10);
  t.false(quarantine.release(RequestFingerprint("other")));
  t.true(isBlocked());
  t.true(quarantine.release(FATAL));
  t.false(isBlocked());
});

test("quarantine: a request may be tried again after some minutes, and one more crash blocks it for longer", async (t) => {
  const { clock, quarantine, crash, isBlocked } = await rig(3);
  await clock.advance(5 * 60_000);
  t.false(isBlocked());
  t.deepEqual(
    quarantine.describe().map((d) => d.state),
    ["trial"],
  );
  await crash("t3");
  t.true(isBlocked());
  await clock.advance(9 * 60_000);
  t.true(isBlocked());
});
