import test from "ava";
import fc from "fast-check";
import { FakeRecordHolder } from "../../../test/fixtures/FakeRecordHolder.ts";
import { makeTarget } from "../../../test/fixtures/makeTarget.ts";
import { AttemptId } from "../../common/ids/AttemptId.ts";
import { SystemClock } from "../../common/lifecycle/SystemClock.ts";
import { AttemptOutcome } from "../detection/AttemptOutcome.ts";
import { chooseRecordGroup } from "./chooseRecordGroup.ts";
import type { ForwardResult } from "../forwarding/ForwardResult.ts";
import { AtMostOnceRunner } from "./AtMostOnceRunner.ts";
import type { TargetRequest } from "../forwarding/TargetRequest.ts";
import { RunRecords } from "./RunRecords.ts";

const target = makeTarget("vans-0");

const makeRequest = (over: Partial<TargetRequest> = {}): TargetRequest => ({
  method: "POST",
  path: "/vans",
  headers: [],
  body: Buffer.from("{}"),
  metadata: {
    attempt: AttemptId("a"),
    target: target.id,
    callerService: "",
    echoHeader: undefined,
  },
  deadlineAt: performance.now() + 1000,
  idempotent: false,
  ...over,
});

const doneResult: ForwardResult = {
  verdict: { kind: "done", target: target.id, status: 200 },
  outcome: AttemptOutcome.Ok,
  headers: { "content-type": "text/plain" },
  body: Buffer.from("booked"),
};

const shedResult: ForwardResult = {
  verdict: { kind: "not-run", reason: "shed", retryAfterMs: 1000 },
  outcome: AttemptOutcome.Shed,
};

const lostResult: ForwardResult = {
  verdict: {
    kind: "may-have-run",
    target: target.id,
    reason: "reset",
    timedOut: false,
    retryAfterMs: 1000,
  },
  outcome: AttemptOutcome.NoResponse,
};

const makeReplicas = (count: number) =>
  Array.from({ length: count }, (_, n) => new FakeRecordHolder(n));

/** A runner over `pool` whose target returns `results` one after the other, and the last one from then on. */
function makeRunner(pool: readonly FakeRecordHolder[], ...results: ForwardResult[]) {
  const sent = { count: 0 };
  const runner = new AtMostOnceRunner({
    clock: SystemClock,
    group: (key) => chooseRecordGroup(key, pool),
    send: () => {
      sent.count += 1;
      return Promise.resolve(results[sent.count - 1] ?? results.at(-1) ?? doneResult);
    },
  });
  return { runner, sent };
}

const resendCases: readonly {
  name: string;
  first: ForwardResult;
  runs: number;
  verdict: ForwardResult["verdict"]["kind"];
}[] = [
  // The request ran, and its response was lost on the way to the caller.
  {
    name: "after a lost response gets the stored response",
    first: doneResult,
    runs: 1,
    verdict: "done",
  },
  // The target reset the connection, so the request may or may not have run.
  {
    name: "after an unknown outcome is not run again",
    first: lostResult,
    runs: 1,
    verdict: "may-have-run",
  },
  // The target reported that it did not run the request, so the key is released.
  { name: "after a not-run verdict is run", first: shedResult, runs: 2, verdict: "done" },
];

for (const c of resendCases) {
  test(`at most once: a resend through another sidecar ${c.name}`, async (t) => {
    const pool = makeReplicas(7);
    const first = makeRunner(pool, c.first);
    const second = makeRunner(pool, doneResult);
    await first.runner.run("k", target, makeRequest());
    const out = await second.runner.run("k", target, makeRequest());
    t.is(first.sent.count + second.sent.count, c.runs);
    t.is(out.verdict.kind, c.verdict);
    const body = "body" in out && Buffer.isBuffer(out.body) ? out.body.toString() : undefined;
    t.is(body, c.verdict === "done" ? "booked" : undefined);
  });
}

test("at most once: with the record at a single sidecar, a resend through another one runs twice", async (t) => {
  // Shows why there are record groups: each sidecar only has records of its own runs here, and the
  // caller reconnects to another sidecar and resends.
  const [a, b] = makeReplicas(2);
  const first = makeRunner(a ? [a] : [], doneResult);
  const second = makeRunner(b ? [b] : [], doneResult);
  await first.runner.run("k", target, makeRequest());
  await second.runner.run("k", target, makeRequest());
  t.is(first.sent.count + second.sent.count, 2);
});

test("at most once: a resend during the first run gets an in-progress verdict and is not run", async (t) => {
  const pool = makeReplicas(5);
  let finish: (out: ForwardResult) => void = () => undefined;
  const slow = new AtMostOnceRunner({
    clock: SystemClock,
    group: (key) => chooseRecordGroup(key, pool),
    send: () => new Promise((resolve) => (finish = resolve)),
  });
  const first = slow.run("k", target, makeRequest());
  await new Promise((r) => setTimeout(r, 20));
  const { runner, sent } = makeRunner(pool, doneResult);
  t.is((await runner.run("k", target, makeRequest())).verdict.kind, "in-progress");
  t.is(sent.count, 0);
  finish(doneResult);
  t.is((await first).verdict.kind, "done");
});

test("at most once: a key already used for another request is rejected, and the request not run", async (t) => {
  const pool = makeReplicas(5);
  const { runner, sent } = makeRunner(pool, doneResult);
  await runner.run("k", target, makeRequest());
  const out = await runner.run("k", target, makeRequest({ body: Buffer.from('{"van":2}') }));
  t.is(out.verdict.kind, "not-run");
  t.is(sent.count, 1);
});

const downCases = [
  { down: 1, of: 5, runs: 1 },
  { down: 2, of: 5, runs: 0 },
  { down: 1, of: 3, runs: 0 },
  { down: 0, of: 1, runs: 1 },
  // Guards against a booking without a response while the only sidecar of a fleet is being stopped.
  { down: 0, of: 0, runs: 0 },
];

for (const c of downCases) {
  test(`at most once: with ${c.down} of ${c.of} replicas unreachable, ${c.runs} runs`, async (t) => {
    const pool = makeReplicas(c.of);
    pool.slice(0, c.down).forEach((r) => (r.down = true));
    const { runner, sent } = makeRunner(pool, doneResult);
    const out = await runner.run("k", target, makeRequest());
    t.is(sent.count, c.runs);
    t.is(out.verdict.kind, c.runs === 1 ? "done" : "not-run");
  });
}

test("at most once: a record survives the loss of two replicas and their disks at the same time", async (t) => {
  // Two record holders in the same rack fail and come back without their records. A resend must
  // still find the record at the other holders, and not run again.
  const pool = makeReplicas(5);
  const first = makeRunner(pool, doneResult);
  await first.runner.run("k", target, makeRequest());
  for (const replica of pool.slice(1, 3)) {
    replica.records = new RunRecords(undefined, () => performance.now());
  }
  const { runner, sent } = makeRunner(pool, doneResult);
  const out = await runner.run("k", target, makeRequest());
  t.is(sent.count, 0);
  t.is(out.verdict.kind, "done");
});

test("at most once: concurrent resends never run twice despite delays, an unreachable replica and differing views", async (t) => {
  // The same request arrives several times at once through several sidecars, while replies of replicas
  // are reordered, one replica may be down, and some sidecars do not know the newest member yet.
  await fc.assert(
    fc.asyncProperty(
      fc.array(fc.integer({ min: 0, max: 4 }), { minLength: 7, maxLength: 7 }),
      fc.option(fc.integer({ min: 0, max: 6 })),
      fc.array(
        fc.record({ wait: fc.integer({ min: 0, max: 8 }), lacksNewestMember: fc.boolean() }),
        {
          minLength: 2,
          maxLength: 5,
        },
      ),
      async (delays, downAt, sends) => {
        const pool = makeReplicas(7);
        pool.forEach((r, n) => {
          r.delayMs = delays[n] ?? 0;
          r.down = n === downAt;
        });
        let runs = 0;
        await Promise.all(
          sends.map(async ({ wait, lacksNewestMember }) => {
            await new Promise((r) => setTimeout(r, wait));
            const view = lacksNewestMember ? pool.slice(0, 6) : pool;
            const { runner, sent } = makeRunner(view, doneResult);
            await runner.run("k", target, makeRequest());
            runs += sent.count;
          }),
        );
        return runs <= 1;
      },
    ),
    { numRuns: 150, seed: 11 },
  );
  t.pass();
});
