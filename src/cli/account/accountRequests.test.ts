import test from "ava";
import { parseLog } from "../logs/parseLog.ts";
import type { RequestOutcome } from "./AccountedRequest.ts";
import { accountRequests } from "./accountRequests.ts";

const line = (msg: string, fields: object, atS = 0) =>
  JSON.stringify({
    name: "burdockpassd",
    id: "t1",
    ...fields,
    msg,
    time: new Date(Date.UTC(2026, 0, 1, 0, 0, atS)).toISOString(),
  });

const granted = (attempt: string, target = "a", waitedMs = 0, load: object = {}) =>
  line("slot granted", { attempt, target, waitedMs, load });

const ran = (attempt: string, outcome: string, ms = 10, target = "a") =>
  line("run ended", { attempt, target, outcome, ms });

const answered = (attempt: string, verdict: object, ms = 10) =>
  line("request answered", { attempt, route: "lookup", verdict, ms, objectiveMs: 100 });

const OK = { kind: "done", status: 200 };
const ERR = { kind: "done", status: 503 };
const refused = (reason: string) => ({ kind: "not-run", reason });

const cases: readonly {
  name: string;
  log: readonly string[];
  fate: RequestOutcome;
  lost: number;
}[] = [
  {
    name: "an answer within its objective",
    log: [granted("r"), ran("r", "ok"), answered("r", OK)],
    fate: "in time",
    lost: 0,
  },
  {
    name: "an answer late by the line",
    log: [granted("r", "a", 120), ran("r", "ok"), answered("r", OK, 150)],
    fate: "late: in line",
    lost: 0.7,
  },
  {
    name: "an answer late by the target",
    log: [granted("r", "a", 5), ran("r", "ok", 140), answered("r", OK, 150)],
    fate: "late: at the target",
    lost: 0.7,
  },
  {
    name: "an answer late by the way",
    log: [granted("r", "a", 5), ran("r", "ok", 5), answered("r", OK, 150)],
    fate: "late: otherwise",
    lost: 0.7,
  },
  {
    name: "the first failure of a target",
    log: [ran("q", "failed"), ran("p", "ok"), granted("r"), ran("r", "failed"), answered("r", ERR)],
    fate: "failed: first",
    lost: 1,
  },
  {
    name: "the second failure in a row",
    log: [ran("q", "failed"), granted("r"), ran("r", "failed"), answered("r", ERR)],
    fate: "failed: second in a row",
    lost: 1,
  },
  {
    name: "a failure of another target does not count in the row",
    log: [ran("q", "failed", 10, "b"), granted("r"), ran("r", "failed"), answered("r", ERR)],
    fate: "failed: first",
    lost: 1,
  },
  {
    name: "the third failure in a row",
    log: [
      ran("p", "failed"),
      ran("q", "failed"),
      granted("r"),
      ran("r", "failed"),
      answered("r", ERR),
    ],
    fate: "failed: later in a row",
    lost: 1,
  },
  {
    name: "a failure of a known suspect",
    log: [granted("r", "a", 0, { suspect: true }), ran("r", "failed"), answered("r", ERR)],
    fate: "failed: known suspect",
    lost: 1,
  },
  {
    name: "no whole answer",
    log: [granted("r"), answered("r", { kind: "may-have-run", reason: "no answer in time" })],
    fate: "in doubt",
    lost: 1,
  },
  {
    name: "refused for want of room",
    log: [answered("r", refused("every target refused, the last one as full"))],
    fate: "refused: no room",
    lost: 1,
  },
  {
    name: "refused since only suspects are left",
    log: [answered("r", refused("every target refused, the last one as suspect"))],
    fate: "refused: suspects only",
    lost: 1,
  },
  {
    name: "refused without a document",
    log: [answered("r", refused("no accepted configuration"))],
    fate: "refused: no document",
    lost: 1,
  },
  {
    name: "refused for another reason",
    log: [answered("r", refused("the moon"))],
    fate: "refused: otherwise",
    lost: 1,
  },
  {
    name: "the caller left",
    log: [granted("r"), answered("r", refused("the caller has left"))],
    fate: "caller left",
    lost: 0,
  },
  {
    name: "its process ended before the answer",
    log: [granted("r")],
    fate: "process ended",
    lost: 1,
  },
];

for (const { name, log, fate, lost } of cases) {
  test(`the account of a request: ${name}`, (t) => {
    const [first, ...others] = accountRequests(parseLog(log.join("\n")));
    t.like(first, { attempt: "r", fate, lost });
    t.deepEqual(others, []);
  });
}

test("a request to no route is owed nothing and is not accounted", (t) => {
  t.deepEqual(accountRequests(parseLog(answered("r", refused("no route")))), []);
});

test("the account tells when, where and on which way", (t) => {
  const log = [
    line("start", {}, 0),
    line("slot granted", { attempt: "r", target: "b", waitedMs: 0 }, 3),
    line("request answered", { attempt: "r", route: "lookup", verdict: OK, ms: 5 }, 4),
  ];
  t.like(accountRequests(parseLog(log.join("\n")))[0], {
    route: "lookup",
    origin: "t1",
    target: "b",
    atS: 4,
  });
});
