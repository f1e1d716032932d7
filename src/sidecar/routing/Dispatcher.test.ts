import test from "ava";
import { makeService } from "../../../test/fixtures/makeService.ts";
import { makeTarget } from "../../../test/fixtures/makeTarget.ts";
import { TargetId } from "../../common/ids/TargetId.ts";
import { AttemptOutcome } from "../detection/AttemptOutcome.ts";
import { Dispatcher } from "./Dispatcher.ts";
import type { ForwardResult } from "../forwarding/ForwardResult.ts";
import type { PickResult } from "./PickResult.ts";
import type { RouteMatch } from "./RouteMatch.ts";

const targets = ["a", "b", "c"].map((id) => makeTarget(id));

const route = (idempotent: boolean, attempts = 3): RouteMatch => ({
  service: makeService({ retry: { attempts, budgetRatio: 1 } }),
  kind: idempotent ? "lookup" : "booking",
  idempotent,
});

const noop = () => () => undefined;

/** Picks the first target not tried yet. */
const firstUntried = (_route: RouteMatch, tried: ReadonlySet<TargetId>): PickResult => {
  const target = targets.find((x) => !tried.has(x.id));
  return target ? { kind: "target", target } : { kind: "none" };
};

const done: ForwardResult = {
  verdict: { kind: "done", target: TargetId("x"), status: 200 },
  outcome: AttemptOutcome.Ok,
  headers: {},
  body: Buffer.from("ok"),
};
const notRun: ForwardResult = {
  verdict: { kind: "not-run", reason: "refused", retryAfterS: 1 },
  outcome: AttemptOutcome.Shed,
};
const failed: ForwardResult = {
  ...done,
  verdict: { kind: "done", target: TargetId("x"), status: 500 },
  outcome: AttemptOutcome.Failed,
};
const mayHaveRun: ForwardResult = {
  verdict: { kind: "may-have-run", target: TargetId("x"), reason: "reset", retryAfterS: 1 },
  outcome: AttemptOutcome.NoAnswer,
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
  {
    name: "lookup retried after a target's own error",
    idempotent: true,
    answers: [failed, done],
    sends: 2,
    verdict: "done",
  },
  {
    name: "booking that a target answered with an error is not sent again",
    idempotent: false,
    answers: [failed, done],
    sends: 1,
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
      policy: { pick: firstUntried, begin: noop },
      send: (_route, target) => {
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

const refusals: readonly { name: string; pick: PickResult; withinMs: number }[] = [
  { name: "no target in rotation", pick: { kind: "none" }, withinMs: 50 },
  // Waits a quarter of the deadline at most for room, then says so at once.
  { name: "every target full", pick: { kind: "full" }, withinMs: 400 },
];

for (const c of refusals) {
  test(`dispatch: ${c.name} is not-run, and nothing is sent`, async (t) => {
    let sends = 0;
    const dispatcher = new Dispatcher({
      policy: { pick: () => c.pick, begin: noop },
      send: () => {
        sends += 1;
        return Promise.resolve(done);
      },
    });
    const started = Date.now();
    const out = await dispatcher.dispatch(route(true), {
      method: "GET",
      path: "/",
      headers: {},
      body: undefined,
      deadline: started + 1000,
    });
    t.is(sends, 0);
    t.is(out.verdict.kind, "not-run");
    t.true(Date.now() - started <= c.withinMs);
  });
}

test("dispatch: a request waits for room instead of being refused", async (t) => {
  // Story: both targets are at their limits for the moment a request takes. A
  // caller that comes then should wait those few ms, not be sent away: before,
  // it was sent on anyway, shed by the target, and refused.
  let room = false;
  const dispatcher = new Dispatcher({
    policy: { pick: (r, tried) => (room ? firstUntried(r, tried) : { kind: "full" }), begin: noop },
    send: () => Promise.resolve(done),
  });
  setTimeout(() => (room = true), 30);
  const out = await dispatcher.dispatch(route(true), {
    method: "GET",
    path: "/",
    headers: {},
    body: undefined,
    deadline: Date.now() + 1000,
  });
  t.is(out.verdict.kind, "done");
});
