import test from "ava";
import { ServiceName } from "../common/ServiceName.ts";
import { TargetId } from "../common/TargetId.ts";
import { ZoneName } from "../common/ZoneName.ts";
import { Dispatcher } from "./Dispatcher.ts";
import type { ForwardResult } from "./ForwardResult.ts";
import type { RouteMatch } from "./RouteMatch.ts";
import type { TargetInfo } from "./TargetInfo.ts";
import { TargetState } from "./TargetState.ts";

const targets: TargetInfo[] = ["a", "b", "c"].map((id) => ({
  id: TargetId(id),
  service: ServiceName("svc"),
  url: `http://127.0.0.1/${id}`,
  slots: 5,
  state: TargetState.Ready,
  zone: ZoneName("zone-a"),
}));

const route = (idempotent: boolean, attempts = 3): RouteMatch => ({
  service: {
    name: "svc",
    customer: "c",
    routes: ["/"],
    requests: [],
    floor: 0.5,
    timeoutMs: 1000,
    retry: { attempts, budgetRatio: 1 },
  },
  kind: idempotent ? "lookup" : "booking",
  idempotent,
});

const done: ForwardResult = {
  verdict: { kind: "done", target: TargetId("x"), status: 200 },
  headers: {},
  body: Buffer.from("ok"),
};
const notRun: ForwardResult = { verdict: { kind: "not-run", reason: "refused", retryAfterS: 1 } };
const mayHaveRun: ForwardResult = {
  verdict: { kind: "may-have-run", target: TargetId("x"), reason: "reset", retryAfterS: 1 },
};

const cases: readonly {
  name: string;
  idempotent: boolean;
  answers: ForwardResult[];
  sends: number;
  verdict: ForwardResult["verdict"]["kind"];
}[] = [
  { name: "lookup done first time", idempotent: true, answers: [done], sends: 1, verdict: "done" },
  {
    name: "lookup retried after may-have-run",
    idempotent: true,
    answers: [mayHaveRun, done],
    sends: 2,
    verdict: "done",
  },
  {
    name: "lookup retried after not-run",
    idempotent: true,
    answers: [notRun, notRun, done],
    sends: 3,
    verdict: "done",
  },
  {
    name: "lookup gives up after its attempts",
    idempotent: true,
    answers: [notRun, notRun, notRun, done],
    sends: 3,
    verdict: "not-run",
  },
  {
    name: "booking retried after not-run",
    idempotent: false,
    answers: [notRun, done],
    sends: 2,
    verdict: "done",
  },
  // A booking that may have run must not be sent again: a second run sends a van twice.
  {
    name: "booking never retried after may-have-run",
    idempotent: false,
    answers: [mayHaveRun, done],
    sends: 1,
    verdict: "may-have-run",
  },
];

for (const c of cases) {
  test(`dispatch: ${c.name}`, async (t) => {
    const answers = [...c.answers];
    const sentTo: string[] = [];
    const dispatcher = new Dispatcher({
      targetsOf: () => targets,
      pick: (candidates) => candidates[0],
      send: (target) => {
        sentTo.push(target.id);
        return Promise.resolve(answers.shift() ?? notRun);
      },
    });
    const out = await dispatcher.dispatch(route(c.idempotent), {
      method: "GET",
      path: "/",
      headers: {},
      body: undefined,
      deadline: Date.now() + 1000,
    });
    t.is(sentTo.length, c.sends);
    t.is(new Set(sentTo).size, sentTo.length, "each retry goes to another target");
    t.is(out.verdict.kind, c.verdict);
  });
}

test("dispatch: no ready target is not-run, and nothing is sent", async (t) => {
  let sends = 0;
  const dispatcher = new Dispatcher({
    targetsOf: () => targets.map((x) => ({ ...x, state: TargetState.Draining })),
    pick: (candidates) => candidates[0],
    send: () => {
      sends += 1;
      return Promise.resolve(done);
    },
  });
  const out = await dispatcher.dispatch(route(true), {
    method: "GET",
    path: "/",
    headers: {},
    body: undefined,
    deadline: Date.now() + 1000,
  });
  t.is(sends, 0);
  t.is(out.verdict.kind, "not-run");
});
