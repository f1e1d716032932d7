import test from "ava";
import fc from "fast-check";
import { FakeClock } from "../../../test/fixtures/FakeClock.ts";
import { RequestFingerprint } from "../../common/ids/RequestFingerprint.ts";
import type { CrashEvidence } from "./CrashEvidence.ts";
import { evidenceCodec } from "./evidenceCodec.ts";
import { evidenceKey } from "./evidenceKey.ts";
import { EvidenceStore } from "./EvidenceStore.ts";

const FINGERPRINT = RequestFingerprint("aa");

const crash = (target: string, at: number, fingerprint = FINGERPRINT): CrashEvidence => {
  const names = { fingerprint, service: "svc", request: "GET /a", target };
  return { kind: "crash", ...names, startedAt: at - 50, at };
};

const clearance = (at: number): CrashEvidence => ({
  kind: "clearance",
  fingerprint: FINGERPRINT,
  by: "completion",
  at,
});

/** Times of pieces of evidence, ms, and the targets whose crashes count in the end. */
const cases: readonly { name: string; evidence: CrashEvidence[]; counted: string[] }[] = [
  { name: "a crash counts", evidence: [crash("a", 1000)], counted: ["a"] },
  {
    name: "copies of a report count once",
    evidence: [crash("a", 1000), crash("a", 1010)],
    counted: ["a"],
  },
  {
    name: "a completed run voids the crashes before it",
    evidence: [crash("a", 1000), clearance(1200), crash("b", 1500)],
    counted: ["b"],
  },
  {
    name: "a report that comes after the completed run that refutes it does not bring the suspicion back",
    evidence: [clearance(1200), crash("a", 1000)],
    counted: [],
  },
  {
    name: "evidence of some hours ago does not count",
    evidence: [crash("a", -3 * 3_600_000)],
    counted: [],
  },
];

for (const { name, evidence, counted } of cases) {
  test(`evidence store: ${name}`, async (t) => {
    const clock = new FakeClock();
    await clock.advance(2000);
    const store = new EvidenceStore(clock);
    evidence.forEach((e) => store.add(e));
    const crashes = store.suspects().get(FINGERPRINT) ?? [];
    t.deepEqual(
      crashes.map((c) => c.target),
      counted,
    );
  });
}

test("evidence store: the order in which evidence arrives makes no difference", (t) => {
  const anyEvidence = fc.oneof(
    fc
      .tuple(fc.constantFrom("a", "b", "c"), fc.integer({ min: 1, max: 50 }))
      .map(([target, at]) => crash(target, at)),
    fc.integer({ min: 1, max: 50 }).map((at) => clearance(at)),
  );
  const shuffled = fc
    .uniqueArray(anyEvidence, { maxLength: 6, selector: (e) => evidenceKey(e) })
    .chain((list) =>
      fc.tuple(
        fc.constant(list),
        fc.shuffledSubarray(list, { minLength: list.length, maxLength: list.length }),
      ),
    );
  fc.assert(
    fc.property(shuffled, ([one, other]) => {
      const targetsOf = (list: readonly CrashEvidence[]) => {
        const store = new EvidenceStore(new FakeClock());
        list.forEach((e) => store.add(e));
        const crashes = store.suspects().get(FINGERPRINT) ?? [];
        return crashes.map((c) => c.target).sort();
      };
      t.deepEqual(targetsOf(one), targetsOf(other));
    }),
  );
});

test("evidence store: the number of reports is bounded, and the newest are kept", (t) => {
  const store = new EvidenceStore(new FakeClock());
  for (let n = 0; n < 1000; n++) {
    store.add(crash(`t${n}`, n));
  }
  const crashes = store.suspects().get(FINGERPRINT) ?? [];
  t.is(crashes.length, 256);
  t.true(crashes.some((c) => c.target === "t999"));
});

test("evidence codec: evidence survives the way to a member whose clock differs", (t) => {
  for (const evidence of [crash("a", 700), clearance(900)]) {
    const decoded = evidenceCodec.decode(evidenceCodec.encode(evidence, 1000), 51_000);
    t.deepEqual(decoded, {
      ...evidence,
      at: evidence.at + 50_000,
      ...("startedAt" in evidence ? { startedAt: evidence.startedAt + 50_000 } : {}),
    });
  }
});
