import test from "ava";
import bunyan from "bunyan";
import fc from "fast-check";
import { FakeRecordHolder } from "../../../test/fixtures/FakeRecordHolder.ts";
import { makeCallerRequest } from "../../../test/fixtures/makeCallerRequest.ts";
import { makeTarget } from "../../../test/fixtures/makeTarget.ts";
import { results } from "../../../test/fixtures/results.ts";
import { SystemClock } from "../../common/lifecycle/SystemClock.ts";
import type { ForwardResult } from "../forwarding/ForwardResult.ts";
import { AtMostOnceRunner } from "./AtMostOnceRunner.ts";
import { RefusalConfirmer } from "./RefusalConfirmer.ts";

const KEY = "desk/k";
const TIMEOUT_MS = 1000;
const log = bunyan.createLogger({ name: "test", level: "fatal" });
const target = makeTarget("vans-0");

const makeHolders = (count: number) =>
  Array.from({ length: count }, (_, n) => new FakeRecordHolder(n));

/** An attempt at the same booking that arrived `ageMs` ago. */
const makeAttempt = (ageMs = 0, body = "{}") => {
  const startedAt = SystemClock.now() - ageMs;
  const deadlineAt = startedAt + TIMEOUT_MS;
  return makeCallerRequest({ method: "POST", body: Buffer.from(body), startedAt, deadlineAt });
};

/** Runs an attempt as its target's sidecar does; resolves with the result and the number of runs. */
async function run(
  group: readonly FakeRecordHolder[],
  attempt: ReturnType<typeof makeAttempt>,
  result: ForwardResult | Promise<ForwardResult> = results.done,
) {
  let runs = 0;
  const send = () => {
    runs += 1;
    return Promise.resolve(result);
  };
  const runner = new AtMostOnceRunner({ clock: SystemClock, group: () => group, send });
  const metadata = {
    attempt: attempt.attempt,
    target: target.id,
    callerService: "" as const,
    echoHeader: undefined,
  };
  const out = await runner.run(KEY, target, { ...attempt, metadata, idempotent: false });
  return { out, runs };
}

function refuse(
  group: readonly FakeRecordHolder[],
  attempt: ReturnType<typeof makeAttempt>,
  isGroupKnown = true,
): Promise<ForwardResult> {
  const deps = { group: () => group, isGroupKnown: () => isGroupKnown, clock: SystemClock, log };
  return new RefusalConfirmer(deps).confirm(KEY, attempt, TIMEOUT_MS, results.shed);
}

const cases: readonly {
  name: string;
  /** Results of earlier attempts; without one, there was none. */
  earlier?: ForwardResult | "in progress";
  holders?: number;
  down?: number;
  isGroupKnown?: boolean;
  body?: string;
  verdict: ForwardResult["verdict"]["kind"];
}[] = [
  { name: "no earlier attempt", verdict: "not-run" },
  { name: "an earlier attempt that ran", earlier: results.done, verdict: "done" },
  {
    name: "an earlier attempt with an unknown outcome",
    earlier: results.mayHaveRun,
    verdict: "may-have-run",
  },
  { name: "an earlier attempt in progress", earlier: "in progress", verdict: "in-progress" },
  { name: "an earlier attempt that was refused", earlier: results.shed, verdict: "not-run" },
  { name: "an earlier attempt, two holders down", earlier: results.done, down: 2, verdict: "done" },
  { name: "no earlier attempt, two holders down", down: 2, verdict: "not-run" },
  { name: "no earlier attempt, three holders down", down: 3, verdict: "may-have-run" },
  {
    name: "an earlier attempt, three of five holders down",
    earlier: results.mayHaveRun,
    down: 3,
    verdict: "may-have-run",
  },
  // A sidecar that has just started knows no other member, so the record group of any key is itself.
  {
    name: "a sidecar that does not know the record group yet",
    holders: 1,
    isGroupKnown: false,
    verdict: "may-have-run",
  },
  { name: "a fleet of one sidecar", holders: 1, verdict: "not-run" },
  { name: "no record holder", holders: 0, verdict: "may-have-run" },
  {
    name: "a different request with the same key",
    earlier: results.done,
    body: '{"van":2}',
    verdict: "not-run",
  },
];

for (const c of cases) {
  test(`refusal of a keyed request, ${c.name}: ${c.verdict}`, async (t) => {
    const group = makeHolders(c.holders ?? 5);
    if (c.earlier === "in progress") {
      void run(group, makeAttempt(10), new Promise(() => undefined));
      await new Promise((r) => setTimeout(r, 5));
    } else if (c.earlier) {
      await run(group, makeAttempt(10), c.earlier);
    }
    group.slice(0, c.down ?? 0).forEach((holder) => (holder.down = true));
    const out = await refuse(group, makeAttempt(0, c.body), c.isGroupKnown);
    t.is(out.verdict.kind, c.verdict);
  });
}

test("refusal of a keyed request bars an earlier attempt that has not begun its run, and no later one", async (t) => {
  // Guards against a booking that runs after its resend was reported as not run.
  const group = makeHolders(5);
  // Its request and its claims were in transit for 600 ms, which its age doesn't include.
  const first = makeAttempt(-550);
  t.is((await refuse(group, makeAttempt(20))).verdict.kind, "not-run");
  const late = await run(group, first);
  t.deepEqual([late.out.verdict.kind, late.runs], ["not-run", 0]);
  const resend = await run(group, makeAttempt(-1000));
  t.deepEqual([resend.out.verdict.kind, resend.runs], ["done", 1]);
});

test("refusal of a keyed request: a caller that resends every 400 ms is served at the second resend", async (t) => {
  // Guards against attempts that are refused because of the refusal of the one before, without end.
  const group = makeHolders(5);
  t.is((await refuse(group, makeAttempt())).verdict.kind, "not-run");
  t.is((await run(group, makeAttempt(-400))).out.verdict.kind, "not-run");
  t.is((await refuse(group, makeAttempt(-400))).verdict.kind, "not-run");
  t.is((await run(group, makeAttempt(-800))).out.verdict.kind, "done");
});

test("refusal of a keyed request: one reported as not run has no run before or after, in any order of messages", async (t) => {
  const ms = fc.integer({ min: 0, max: 6 });
  await fc.assert(
    fc.asyncProperty(
      fc.array(ms, { minLength: 6, maxLength: 6 }),
      fc.option(fc.integer({ min: 0, max: 5 })),
      ms,
      ms,
      fc.boolean(),
      async (delays, downAt, runAfterMs, refuseAfterMs, lacksNewestMember) => {
        const pool = makeHolders(6);
        pool.forEach((holder, n) => {
          holder.delayMs = delays[n] ?? 0;
          holder.down = n === downAt;
        });
        const attempts = [makeAttempt(20), makeAttempt(10)] as const;
        const view = lacksNewestMember ? pool.slice(0, 5) : pool.slice(1, 6);
        const afterMs = (wait: number) => new Promise((r) => setTimeout(r, wait));
        const [ran, refused] = await Promise.all([
          afterMs(runAfterMs).then(() => run(pool.slice(0, 5), attempts[0])),
          afterMs(refuseAfterMs).then(() => refuse(view, attempts[1])),
        ]);
        return refused.verdict.kind !== "not-run" || ran.runs === 0;
      },
    ),
    { numRuns: 200, seed: 41 },
  );
  t.pass();
});
