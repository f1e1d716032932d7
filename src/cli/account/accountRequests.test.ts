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
    name: "a response within the latency objective",
    log: [granted("r"), ran("r", "ok"), answered("r", OK)],
    fate: "in time",
    lost: 0,
  },
  {
    name: "a response that is late because of the queue",
    log: [granted("r", "a", 120), ran("r", "ok"), answered("r", OK, 150)],
    fate: "late: in line",
    lost: 0.7,
  },
  {
    name: "a response that is late because of the target",
    log: [granted("r", "a", 5), ran("r", "ok", 140), answered("r", OK, 150)],
    fate: "late: at the target",
    lost: 0.7,
  },
  {
    name: "a response that is late for neither reason",
    log: [granted("r", "a", 5), ran("r", "ok", 5), answered("r", OK, 150)],
    fate: "late: otherwise",
    lost: 0.7,
  },
  {
    name: "the first failure of a target after a success",
    log: [ran("q", "failed"), ran("p", "ok"), granted("r"), ran("r", "failed"), answered("r", ERR)],
    fate: "failed: first",
    lost: 1,
  },
  {
    name: "the second consecutive failure of a target",
    log: [ran("q", "failed"), granted("r"), ran("r", "failed"), answered("r", ERR)],
    fate: "failed: second in a row",
    lost: 1,
  },
  {
    name: "a failure after one of another target, which does not count",
    log: [ran("q", "failed", 10, "b"), granted("r"), ran("r", "failed"), answered("r", ERR)],
    fate: "failed: first",
    lost: 1,
  },
  {
    name: "the third consecutive failure of a target",
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
    name: "a failure of a target known as suspect",
    log: [granted("r", "a", 0, { suspect: true }), ran("r", "failed"), answered("r", ERR)],
    fate: "failed: known suspect",
    lost: 1,
  },
  {
    name: "no complete response",
    log: [granted("r"), answered("r", { kind: "may-have-run", reason: "no answer in time" })],
    fate: "in doubt",
    lost: 1,
  },
  {
    name: "a refusal because the last target was full",
    log: [answered("r", refused("every target refused, the last one as full"))],
    fate: "refused: no room",
    lost: 1,
  },
  {
    name: "a refusal because only suspects are left",
    log: [answered("r", refused("every target refused, the last one as suspect"))],
    fate: "refused: suspects only",
    lost: 1,
  },
  {
    name: "a refusal for lack of a configuration document",
    log: [answered("r", refused("no accepted configuration"))],
    fate: "refused: no document",
    lost: 1,
  },
  {
    name: "a refusal for an unlisted reason",
    log: [answered("r", refused("some other reason"))],
    fate: "refused: otherwise",
    lost: 1,
  },
  {
    name: "a caller that disconnected",
    log: [granted("r"), answered("r", refused("the caller has left"))],
    fate: "caller left",
    lost: 0,
  },
  {
    name: "a receiving process that ended before the response",
    log: [granted("r")],
    fate: "process ended",
    lost: 1,
  },
];

for (const { name, log, fate, lost } of cases) {
  test(`accountRequests classifies ${name}`, (t) => {
    const [first, ...others] = accountRequests(parseLog(log.join("\n")));
    t.like(first, { attempt: "r", fate, lost });
    t.deepEqual(others, []);
  });
}

test("accountRequests leaves out requests that no route matches", (t) => {
  t.deepEqual(accountRequests(parseLog(answered("r", refused("no route")))), []);
});

test("accountRequests reports the time, receiving process, target and route of a request", (t) => {
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

test("account: logs of hundreds of thousands of lines are read", (t) => {
  // Guards against passing every line's time as an argument of one call, which overflows the stack.
  const [answer] = parseLog(answered("r", OK));
  const lines = Array.from({ length: 300_000 }, () => answer).flatMap((l) => l ?? []);
  t.is(accountRequests(lines).length, 1);
});
