import test from "ava";
import { MemberFleet } from "../../../test/fixtures/MemberFleet.ts";
import { RequestFingerprint } from "../../common/ids/RequestFingerprint.ts";
import type { CrashEvidence } from "./CrashEvidence.ts";

const FINGERPRINT = RequestFingerprint("0123456789abcdef0123456789abcdef");

const crashAt = (at: number): CrashEvidence => {
  const names = { fingerprint: FINGERPRINT, service: "svc", request: "GET /a", target: "t1" };
  return { kind: "crash", ...names, startedAt: at - 80, at };
};

/** Number of running members that hold the suspicion. */
const suspecting = (fleet: MemberFleet) =>
  [...fleet.up.values()].filter((n) => n.evidence.suspects().has(FINGERPRINT)).length;

for (const { count, zones } of [
  { count: 40, zones: 4 },
  { count: 240, zones: 6 },
]) {
  test(`evidence: a crash that one of ${count} sidecars reports is known to all within 2 s, and so is its refutation`, async (t) => {
    const fleet = new MemberFleet(count, 1, zones);
    await fleet.run(20_000);
    fleet.up.get("s7")?.membership.addEvidence(crashAt(fleet.clock.now));
    await fleet.run(2000);
    t.is(suspecting(fleet), count);
    fleet.up.get("s9")?.membership.addEvidence({
      kind: "clearance",
      fingerprint: FINGERPRINT,
      by: "completion",
      at: fleet.clock.now,
    });
    await fleet.run(2000);
    t.is(suspecting(fleet), 0);
  });
}

test("evidence: a sidecar that joins, or is started again, learns what the others know", async (t) => {
  const fleet = new MemberFleet(8);
  await fleet.run(4000);
  fleet.up.get("s1")?.membership.addEvidence(crashAt(fleet.clock.now));
  await fleet.run(60_000);
  fleet.start("s8");
  fleet.start("s1");
  await fleet.run(2000);
  t.is(suspecting(fleet), 9);
});

test("evidence: a sidecar that was cut off when the others learned of a crash learns of it afterwards", async (t) => {
  const fleet = new MemberFleet(8);
  await fleet.run(4000);
  const others = [...fleet.up.keys()].filter((id) => id !== "s5");
  fleet.cutBetween(["s5"], others);
  fleet.up.get("s1")?.membership.addEvidence(crashAt(fleet.clock.now));
  await fleet.run(20_000);
  t.is(suspecting(fleet), 7);
  fleet.heal();
  await fleet.run(10_000);
  t.is(suspecting(fleet), 8);
});
