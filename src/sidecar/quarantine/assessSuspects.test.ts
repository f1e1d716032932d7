import test from "ava";
import { RequestFingerprint } from "../../common/ids/RequestFingerprint.ts";
import type { Crash } from "../../membership/evidence/CrashEvidence.ts";
import { assessSuspects } from "./assessSuspects.ts";
import { countIndependentCrashes } from "./countIndependentCrashes.ts";

/** A run of a request that was in progress at a target from `startedAt` until the target ended. */
type LostRun = readonly [target: string, startedAt: number, at: number];

const crashesOf = (name: string, runs: readonly LostRun[]): Crash[] =>
  runs.map(([target, startedAt, at]) => ({
    kind: "crash",
    fingerprint: RequestFingerprint(name),
    service: "svc",
    request: `GET /${name}`,
    target,
    startedAt,
    at,
  }));

const counts: readonly { name: string; runs: readonly LostRun[]; count: number }[] = [
  {
    name: "each crash of a request that is sent on after the one before",
    runs: [
      ["a", 0, 100],
      ["b", 110, 200],
      ["c", 300, 400],
    ],
    count: 3,
  },
  {
    name: "one, when a rack fails with the request in progress on all its targets",
    runs: [
      ["a", 0, 500],
      ["b", 100, 501],
      ["c", 200, 502],
      ["d", 300, 503],
    ],
    count: 1,
  },
  {
    name: "two, when two racks fail one after the other",
    runs: [
      ["a", 0, 500],
      ["b", 100, 501],
      ["c", 600, 900],
      ["d", 700, 901],
    ],
    count: 2,
  },
];

for (const { name, runs, count } of counts) {
  test(`independent crashes: ${name}`, (t) => {
    t.is(countIndependentCrashes(crashesOf("x", runs)), count);
  });
}

/** Three independent crashes, the last one at 500 ms. */
const THREE: readonly LostRun[] = [
  ["a", 0, 100],
  ["b", 200, 300],
  ["c", 400, 500],
];

const cases: readonly {
  name: string;
  runs: Record<string, readonly LostRun[]>;
  now?: number;
  blocked: string[];
  suspects: string[];
}[] = [
  {
    name: "a request is not blocked before its third crash",
    runs: { guilty: THREE.slice(0, 2) },
    blocked: [],
    suspects: ["guilty"],
  },
  {
    name: "a request is blocked from its third crash on",
    runs: { guilty: THREE },
    blocked: ["guilty"],
    suspects: [],
  },
  {
    name: "requests that ran beside a blocked one are no longer suspected for its crashes",
    runs: { guilty: THREE, beside: [["a", 50, 100], THREE[1] ?? ["", 0, 0]] },
    blocked: ["guilty"],
    suspects: [],
  },
  {
    name: "a crash that the blocked request does not explain still counts",
    runs: {
      guilty: THREE,
      beside: [
        ["a", 50, 100],
        ["z", 600, 700],
      ],
    },
    blocked: ["guilty"],
    suspects: ["beside"],
  },
  {
    name: "requests with equal evidence are both blocked, as either may be guilty",
    runs: { one: THREE, other: THREE },
    blocked: ["one", "other"],
    suspects: [],
  },
  {
    name: "a request with more evidence explains the crashes of one with less",
    runs: { one: [...THREE, ["d", 600, 700]], other: THREE },
    blocked: ["one"],
    suspects: [],
  },
  {
    name: "the suspicion of a request that is not blocked lapses",
    runs: { once: THREE.slice(0, 1) },
    now: 11 * 60_000,
    blocked: [],
    suspects: [],
  },
];

for (const { name, runs, now = 1000, blocked, suspects } of cases) {
  test(`suspects: ${name}`, (t) => {
    const all = Object.entries(runs).map(
      ([id, lost]) => [RequestFingerprint(id), crashesOf(id, lost)] as const,
    );
    const found = [...assessSuspects(new Map(all), now).values()];
    const isBlocked = (a: (typeof found)[number]) => (a.blockedUntil ?? 0) > now;
    t.deepEqual(
      found.filter(isBlocked).map((a) => a.fingerprint as string),
      blocked,
    );
    t.deepEqual(
      found.filter((a) => !isBlocked(a)).map((a) => a.fingerprint as string),
      suspects,
    );
  });
}

test("suspects: each further crash doubles the time for which a request is blocked", (t) => {
  const blockMinutes = [3, 4, 5].map((n) => {
    const runs = Array.from({ length: n }, (_, i): LostRun => [`t${i}`, i * 100, i * 100 + 50]);
    const crashes = crashesOf("x", runs);
    const [assessment] = assessSuspects(new Map([[RequestFingerprint("x"), crashes]]), 0).values();
    const lastAt = Math.max(...crashes.map((c) => c.at));
    return ((assessment?.blockedUntil ?? 0) - lastAt) / 60_000;
  });
  t.deepEqual(blockMinutes, [5, 10, 20]);
});
