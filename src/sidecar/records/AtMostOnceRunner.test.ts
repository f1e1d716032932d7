import test from "ava";
import fc from "fast-check";
import { makeTarget } from "../../../test/fixtures/makeTarget.ts";
import { AttemptId } from "../../common/ids/AttemptId.ts";
import { SystemClock } from "../../common/lifecycle/SystemClock.ts";
import { AttemptOutcome } from "../detection/AttemptOutcome.ts";
import { chooseRecordGroup } from "./chooseRecordGroup.ts";
import type { ClaimReply } from "./ClaimReply.ts";
import type { ForwardResult } from "../forwarding/ForwardResult.ts";
import { AtMostOnceRunner } from "./AtMostOnceRunner.ts";
import type { TargetRequest } from "../forwarding/TargetRequest.ts";
import type { RecordPeer } from "./RecordPeer.ts";
import { RunRecords } from "./RunRecords.ts";

const target = makeTarget("vans-0");

const request = (over: Partial<TargetRequest> = {}): TargetRequest => ({
  method: "POST",
  path: "/vans",
  headers: [],
  body: Buffer.from("{}"),
  words: {
    attempt: AttemptId("a"),
    target: target.id,
    callerService: "",
    echoHeader: undefined,
  },
  deadlineAt: performance.now() + 1000,
  idempotent: false,
  ...over,
});

const answer: ForwardResult = {
  verdict: { kind: "done", target: target.id, status: 200 },
  outcome: AttemptOutcome.Ok,
  headers: { "content-type": "text/plain" },
  body: Buffer.from("booked"),
};

const shed: ForwardResult = {
  verdict: { kind: "not-run", reason: "shed", retryAfterMs: 1000 },
  outcome: AttemptOutcome.Shed,
};

const lost: ForwardResult = {
  verdict: {
    kind: "may-have-run",
    target: target.id,
    reason: "reset",
    timedOut: false,
    retryAfterMs: 1000,
  },
  outcome: AttemptOutcome.NoAnswer,
};

/** A replica in this process; can be down, and answers after `delay` ms. */
class FakeReplica implements RecordPeer {
  readonly id: string;
  readonly zone: string;
  records = new RunRecords(undefined, () => performance.now());
  down = false;
  delay = 0;

  constructor(n: number) {
    this.id = `s${n}`;
    this.zone = `zone-${n % 3}`;
  }

  async claim(...args: Parameters<RunRecords["claim"]>): Promise<ClaimReply> {
    await this.#reach();
    return this.records.claim(...args);
  }

  async settle(...args: Parameters<RunRecords["settle"]>): Promise<void> {
    await this.#reach();
    return this.records.settle(...args);
  }

  async #reach(): Promise<void> {
    if (this.delay > 0) {
      await new Promise((r) => setTimeout(r, this.delay));
    }
    if (this.down) {
      throw new Error("unreachable");
    }
  }
}

const replicas = (count: number) => Array.from({ length: count }, (_, n) => new FakeReplica(n));

/** A runner over `pool` whose target gives `answers` in turn, then the last for ever. */
function runnerOver(pool: readonly FakeReplica[], ...answers: ForwardResult[]) {
  const sent = { count: 0 };
  const runner = new AtMostOnceRunner({
    clock: SystemClock,
    group: (key) => chooseRecordGroup(key, pool),
    send: () => {
      sent.count += 1;
      return Promise.resolve(answers[sent.count - 1] ?? answers.at(-1) ?? answer);
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
  // The van is booked, the answer is lost on the way to the phone, the phone resends.
  { name: "after a lost answer gets the stored one", first: answer, runs: 1, verdict: "done" },
  // The target reset the connection: it may have booked the van or not.
  { name: "after an unknown outcome is not run", first: lost, runs: 1, verdict: "may-have-run" },
  // The target said that it did not run it, so the key is free again.
  { name: "after a not-run is run", first: shed, runs: 2, verdict: "done" },
];

for (const c of resendCases) {
  test(`a resend through another sidecar ${c.name}`, async (t) => {
    const pool = replicas(7);
    const one = runnerOver(pool, c.first);
    const two = runnerOver(pool, answer);
    await one.runner.run("k", target, request());
    const out = await two.runner.run("k", target, request());
    t.is(one.sent.count + two.sent.count, c.runs);
    t.is(out.verdict.kind, c.verdict);
    const body = "body" in out && Buffer.isBuffer(out.body) ? out.body.toString() : undefined;
    t.is(body, c.verdict === "done" ? "booked" : undefined);
  });
}

test("naive: a record at one sidecar only lets a resend through another run twice", async (t) => {
  // Story: what the record group is for. Each sidecar remembers just what
  // itself ran; the phone reconnects, lands on another sidecar and resends.
  const [a, b] = replicas(2);
  const one = runnerOver(a ? [a] : [], answer);
  const two = runnerOver(b ? [b] : [], answer);
  await one.runner.run("k", target, request());
  await two.runner.run("k", target, request());
  t.is(one.sent.count + two.sent.count, 2);
});

test("a resend while the first is running is told so, and not run", async (t) => {
  const pool = replicas(5);
  let finish: (out: ForwardResult) => void = () => undefined;
  const slow = new AtMostOnceRunner({
    clock: SystemClock,
    group: (key) => chooseRecordGroup(key, pool),
    send: () => new Promise((resolve) => (finish = resolve)),
  });
  const first = slow.run("k", target, request());
  await new Promise((r) => setTimeout(r, 20));
  const { runner, sent } = runnerOver(pool, answer);
  t.is((await runner.run("k", target, request())).verdict.kind, "in-progress");
  t.is(sent.count, 0);
  finish(answer);
  t.is((await first).verdict.kind, "done");
});

test("a key used for another request is refused, and not run", async (t) => {
  const pool = replicas(5);
  const { runner, sent } = runnerOver(pool, answer);
  await runner.run("k", target, request());
  const out = await runner.run("k", target, request({ body: Buffer.from('{"van":2}') }));
  t.is(out.verdict.kind, "not-run");
  t.is(sent.count, 1);
});

const downCases = [
  { down: 1, of: 5, runs: 1 },
  { down: 2, of: 5, runs: 0 },
  { down: 1, of: 3, runs: 0 },
  { down: 0, of: 1, runs: 1 },
];

for (const c of downCases) {
  test(`with ${c.down} of ${c.of} replicas unreachable, ${c.runs} runs`, async (t) => {
    const pool = replicas(c.of);
    pool.slice(0, c.down).forEach((r) => (r.down = true));
    const { runner, sent } = runnerOver(pool, answer);
    const out = await runner.run("k", target, request());
    t.is(sent.count, c.runs);
    t.is(out.verdict.kind, c.runs === 1 ? "done" : "not-run");
  });
}

test("a record outlives two replicas lost at once, their disks with them", async (t) => {
  // Story: a van is booked; a rack goes and takes two sidecars that kept the
  // record; they come back empty. The hirer resends: the van is not booked twice.
  const pool = replicas(5);
  const first = runnerOver(pool, answer);
  await first.runner.run("k", target, request());
  for (const replica of pool.slice(1, 3)) {
    replica.records = new RunRecords(undefined, () => performance.now());
  }
  const { runner, sent } = runnerOver(pool, answer);
  const out = await runner.run("k", target, request());
  t.is(sent.count, 0);
  t.is(out.verdict.kind, "done");
});

test("whatever the order, delays, losses and views, a request runs at most once", async (t) => {
  // Story: impatient callers send one booking several times at once through
  // several sidecars; answers of replicas overtake each other, one replica is
  // down, and one sidecar has not heard of the newest member yet.
  await fc.assert(
    fc.asyncProperty(
      fc.array(fc.integer({ min: 0, max: 4 }), { minLength: 7, maxLength: 7 }),
      fc.option(fc.integer({ min: 0, max: 6 })),
      fc.array(fc.record({ wait: fc.integer({ min: 0, max: 8 }), lacksNewest: fc.boolean() }), {
        minLength: 2,
        maxLength: 5,
      }),
      async (delays, downAt, sends) => {
        const pool = replicas(7);
        pool.forEach((r, n) => {
          r.delay = delays[n] ?? 0;
          r.down = n === downAt;
        });
        let runs = 0;
        await Promise.all(
          sends.map(async ({ wait, lacksNewest }) => {
            await new Promise((r) => setTimeout(r, wait));
            const view = lacksNewest ? pool.slice(0, 6) : pool;
            const { runner, sent } = runnerOver(view, answer);
            await runner.run("k", target, request());
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
