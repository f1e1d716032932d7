import test from "ava";
import { explainRequest } from "./explainRequest.ts";
import { parseLog } from "../logs/parseLog.ts";
import { renderTimeline } from "./renderTimeline.ts";

/** A line as a process writes it. */
const line = (id: string, msg: string, fields: object = {}) =>
  JSON.stringify({ name: "burdockpassd", id, ...fields, msg, time: "2026-01-01T00:00:00Z" });

const answered = (verdict: object, ms = 5) =>
  line("origin", "request answered", { attempt: "r1", route: "lookup", verdict, ms });

const cases: readonly {
  name: string;
  log: readonly string[];
  cause: string;
  missing: readonly string[];
}[] = [
  {
    name: "refused early",
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
    name: "may have run",
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
      "may have run at a: no answer in time; the origin lost sight of it: the connection fell silent; beside the target it ended as ok after 900 ms",
    missing: [],
  },
  {
    name: "failed by a gray target, twice",
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
    name: "its process was killed before it answered",
    log: [line("origin", "slot granted", { attempt: "r1", target: "a" })],
    cause: "the logs do not hold its answer: its process ended, or its log is not among these",
    missing: ["the answer to the caller", "the end of its run at a"],
  },
  {
    name: "nobody names it",
    log: [line("origin", "sidecar started")],
    cause: "no line of these logs names this request",
    missing: ["the answer to the caller"],
  },
];

for (const { name, log, cause, missing } of cases) {
  test(`explain: ${name}`, (t) => {
    const timeline = explainRequest("r1", parseLog(log.join("\n")));
    t.is(timeline.cause, cause);
    t.deepEqual([...timeline.missing], [...missing]);
  });
}

test("explain: what a process had come to believe before is told, newest last, and nothing of after", (t) => {
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

test("explain: text before the JSON of a line, torn lines and other programs' lines do no harm", (t) => {
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
