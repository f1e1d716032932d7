import test from "ava";
import { explainRequest } from "./explainRequest.ts";
import { parseLog } from "../logs/parseLog.ts";
import { renderTimeline } from "./renderTimeline.ts";

/** A log line in the format that the processes write. */
const line = (id: string, msg: string, fields: object = {}) =>
  JSON.stringify({ name: "burdockpassd", id, ...fields, msg, time: "2026-01-01T00:00:00Z" });

const answered = (verdict: object, ms = 5) =>
  line("origin", "request answered", { attempt: "r1", route: "lookup", verdict, ms });

const QUARANTINED = "quarantined: equal requests have ended 3 targets";

const cases: readonly {
  name: string;
  log: readonly string[];
  cause: string;
  missing: readonly string[];
}[] = [
  {
    name: "request that every target refused",
    log: [
      line("t1", "slot refused", { attempt: "r1", target: "a", reason: "full" }),
      line("t2", "slot refused", { attempt: "r1", target: "b", reason: "full" }),
      line("t3", "slot refused", { attempt: "r1", target: "c", reason: "suspect" }),
      answered({ kind: "not-run", reason: "every target refused, the last one as full" }),
    ],
    cause:
      "not run: every target refused, the last one as full (targets refused it: 2 as full, 1 as suspect)",
    missing: [],
  },
  {
    name: "request beyond the quota of its workspace",
    log: [
      line("origin", "request not admitted", {
        attempt: "r1",
        status: 429,
        reason: "quota of workspace depot used up",
        workspace: "depot",
        retryAfterMs: 900,
        documentAgeMs: 40,
        configVersion: 3,
      }),
      answered({ kind: "not-run", reason: "quota of workspace depot used up" }),
    ],
    cause:
      "refused with 429: quota of workspace depot used up, by document version 3, known to be current 40 ms before; to be tried again after 900 ms",
    missing: [],
  },
  {
    name: "request with a key that a document no longer has, or not yet",
    log: [
      line("origin", "request not admitted", {
        attempt: "r1",
        status: 401,
        reason: "unknown API key",
        documentAgeMs: 40,
        configVersion: 3,
      }),
      answered({ kind: "not-run", reason: "unknown API key" }),
    ],
    cause:
      "refused with 401: unknown API key, by document version 3, known to be current 40 ms before",
    missing: [],
  },
  {
    name: "request by a document that may be outdated",
    log: [
      line("origin", "request not admitted", {
        attempt: "r1",
        status: 503,
        reason: "the configuration may be outdated",
        retryAfterMs: 1000,
        configVersion: 3,
      }),
      answered({ kind: "not-run", reason: "the configuration may be outdated" }),
    ],
    cause:
      "refused with 503: the configuration may be outdated, by document version 3, which was never confirmed to be current; to be tried again after 1000 ms",
    missing: [],
  },
  {
    name: "request for which the limits of the targets left no room",
    log: [
      line("t1", "slot refused", { attempt: "r1", target: "a", reason: "limited" }),
      line("t2", "slot refused", { attempt: "r1", target: "b", reason: "limited" }),
      answered({ kind: "not-run", reason: "every target refused, the last one as limited" }),
    ],
    cause:
      "not run: every target refused, the last one as limited (targets refused it: 2 as limited)",
    missing: [],
  },
  {
    name: "request that was refused because equal ones have ended their targets",
    log: [
      line("origin", "request refused: quarantined", { attempt: "r1", fingerprint: "aa" }),
      answered({ kind: "not-run", reason: QUARANTINED }),
    ],
    cause: `not run: ${QUARANTINED}`,
    missing: [],
  },
  {
    name: "request whose connection to the target was lost while it ran",
    log: [
      line("origin", "slot granted", { attempt: "r1", target: "a" }),
      line("origin", "lost contact with running attempt", {
        attempt: "r1",
        target: "a",
        reason: "the connection fell silent",
      }),
      answered({ kind: "may-have-run", target: "a", reason: "no answer in time" }),
      line("t1", "run ended", { attempt: "r1", target: "a", outcome: "ok", ms: 900 }),
    ],
    cause:
      "may have run at a: no answer in time; the origin lost contact with the run: the connection fell silent; at the target the run ended as ok after 900 ms",
    missing: [],
  },
  {
    name: "request that failed at two gray targets",
    log: [
      line("origin", "slot granted", { attempt: "r1", target: "a" }),
      line("origin", "slot granted", { attempt: "r1", target: "b" }),
      answered({ kind: "done", target: "b", status: 500 }),
      line("t1", "run ended", { attempt: "r1", target: "a", outcome: "failed", ms: 1 }),
      line("t2", "run ended", { attempt: "r1", target: "b", outcome: "failed", ms: 1 }),
    ],
    cause: "b failed it with 500; it failed at a, then b",
    missing: [],
  },
  {
    name: "request whose sidecar was killed before it responded",
    log: [line("origin", "slot granted", { attempt: "r1", target: "a" })],
    cause: "the logs do not hold its answer: its process ended, or its log is not among these",
    missing: ["the answer to the caller", "the end of the run at a"],
  },
  {
    name: "request that no log line names",
    log: [line("origin", "sidecar started")],
    cause: "no line of these logs names this request",
    missing: ["the answer to the caller"],
  },
];

for (const { name, log, cause, missing } of cases) {
  test(`explain reports the cause and the missing lines of a ${name}`, (t) => {
    const timeline = explainRequest("r1", parseLog(log.join("\n")));
    t.is(timeline.cause, cause);
    t.deepEqual([...timeline.missing], [...missing]);
  });
}

test("explain lists a process's state changes before the request, latest last, and none after it", (t) => {
  const log = [
    line("t1", "target here", { target: "a" }),
    line("t2", "ejected", { target: "z" }),
    line("t1", "ejected", { target: "a", nats: 6.5 }),
    line("t1", "run ended", { attempt: "r1", target: "a", outcome: "failed", ms: 1 }),
    line("t1", "readmitted", { target: "a" }),
  ];
  const { beliefs } = explainRequest("r1", parseLog(log.join("\n")));
  t.deepEqual(
    beliefs.map((b) => `${b.process} ${b.msg}`),
    ["t1 target here", "t1 ejected"],
  );
});

test("explain ignores text before the JSON of a line, truncated lines and lines of other programs", (t) => {
  const log = [
    `  12.5 host-3 ${answered({ kind: "done", target: "a", status: 200 })}`,
    answered({ kind: "done" }).slice(0, 40),
    "plain text",
    '{"other":1}',
  ];
  const timeline = explainRequest("r1", parseLog(log.join("\n")));
  t.is(timeline.steps.length, 1);
  t.true(renderTimeline(timeline).startsWith("request r1: answered by a with 200\n"));
});
