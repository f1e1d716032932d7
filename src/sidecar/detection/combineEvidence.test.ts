import test from "ava";
import { TargetId } from "../../common/ids/TargetId.ts";
import { combineEvidence } from "./combineEvidence.ts";
import type { Evidence } from "./Evidence.ts";

const THRESHOLD = 10;

const seen = (over: Partial<Evidence>): Evidence => ({
  target: TargetId("x"),
  failureScore: 0,
  lateScore: 0,
  recentOk: 0,
  lastBadAgeMs: 10_000,
  ...over,
});

const vouching = seen({ recentOk: 5 });
const silent = seen({ lateScore: 30, lastBadAgeMs: 50 });
const oneFailure = seen({ failureScore: 3.9, lastBadAgeMs: 50, recentOk: 9 });

const cases: readonly {
  name: string;
  own?: Evidence;
  others: Evidence[];
  probeFailing?: boolean;
  groupSize?: number;
  gray: boolean;
}[] = [
  { name: "no evidence", others: [], gray: false },
  // A one-way partition between one sidecar and a healthy target.
  { name: "a cut-off peer alone", own: vouching, others: [silent, vouching], gray: false },
  {
    name: "the cut-off sidecar itself avoids what it cannot reach",
    own: silent,
    others: [vouching, vouching],
    gray: true,
  },
  // A zone of two sidecars cut off from a target that six others reach.
  {
    name: "a cut-off zone is outvoted",
    own: vouching,
    others: [silent, silent, vouching, vouching, vouching, vouching, vouching],
    gray: false,
  },
  {
    name: "late for the few heard of a large group",
    own: undefined,
    others: [silent, silent],
    groupSize: 8,
    gray: false,
  },
  {
    name: "late for most observers",
    own: seen({ lateScore: 2.8, lastBadAgeMs: 20 }),
    others: [seen({ lateScore: 5.6, lastBadAgeMs: 20 }), silent, vouching],
    gray: true,
  },
  {
    name: "one wrong answer each at three observers, good answers between",
    own: oneFailure,
    others: [oneFailure, oneFailure, vouching],
    gray: true,
  },
  {
    name: "one observer's failures do not eject for the others",
    own: vouching,
    others: [seen({ failureScore: 50, lastBadAgeMs: 20 })],
    gray: false,
  },
  {
    name: "a failing health check alone, a lying endpoint",
    own: vouching,
    others: [vouching],
    probeFailing: true,
    gray: false,
  },
  {
    // Seen in the bench: one failure on a readmission ramp and a lagging probe ejected for all.
    name: "a failing health check and one observer",
    own: vouching,
    others: [seen({ failureScore: 50, lastBadAgeMs: 20 })],
    probeFailing: true,
    gray: false,
  },
  {
    name: "a failing health check backs up what traffic shows",
    own: oneFailure,
    others: [oneFailure],
    probeFailing: true,
    gray: true,
  },
];

for (const c of cases) {
  test(`combineEvidence: ${c.name}`, (t) => {
    const judged = combineEvidence(
      c.own,
      c.others,
      c.probeFailing ?? false,
      THRESHOLD,
      c.groupSize ?? c.others.length + 1,
    );
    t.is(judged.gray, c.gray);
  });
}
