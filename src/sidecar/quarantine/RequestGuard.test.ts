import test from "ava";
import { FakeClock } from "../../../test/fixtures/FakeClock.ts";
import { makeCallerRequest } from "../../../test/fixtures/makeCallerRequest.ts";
import { makeQuarantine } from "../../../test/fixtures/makeQuarantine.ts";
import { makeTarget } from "../../../test/fixtures/makeTarget.ts";
import { results } from "../../../test/fixtures/results.ts";
import { RequestGuard } from "./RequestGuard.ts";
import { SuspectTurns } from "./SuspectTurns.ts";

function rig() {
  const clock = new FakeClock();
  const { quarantine, found } = makeQuarantine(clock);
  const turns = new SuspectTurns();
  const guardOf = (overrides: Parameters<typeof makeCallerRequest>[0] = {}) =>
    new RequestGuard({ quarantine, turns, clock }, "svc", makeCallerRequest(overrides));
  const lost = { ...results.mayHaveRun, targetEnded: true };
  /** A request ends a target, as its sender sees it. */
  const crash = async (target: string) => {
    const startedAt = clock.now();
    await clock.advance(50);
    guardOf().recordEnd(lost, makeTarget(target), startedAt);
  };
  return { clock, quarantine, found, guardOf, crash };
}

test("request guard: a request is sent to no further target after the second crash, and to none after the third", async (t) => {
  const { guardOf, crash } = rig();
  const seen: { mayRetry: boolean; isRefused: boolean }[] = [];
  for (const target of ["a", "b", "c"]) {
    await crash(target);
    const guard = guardOf();
    seen.push({ mayRetry: guard.mayRetry, isRefused: guard.refuse() !== undefined });
  }
  t.deepEqual(seen, [
    { mayRetry: true, isRefused: false },
    { mayRetry: false, isRefused: false },
    { mayRetry: false, isRefused: true },
  ]);
});

test("request guard: a blocked request is refused as not run, and not invited to come again soon", async (t) => {
  const { guardOf, crash } = rig();
  for (const target of ["a", "b", "c"]) {
    await crash(target);
  }
  const verdict = guardOf().refuse()?.verdict;
  t.true(verdict?.kind === "not-run" && verdict.retryAfterMs > 4 * 60_000);
  t.is(guardOf({ path: "/other" }).refuse(), undefined, "other requests are not affected");
});

test("request guard: a lost connection to a target whose process runs on is no evidence", async (t) => {
  const { clock, found, guardOf } = rig();
  await clock.advance(50);
  guardOf().recordEnd(results.mayHaveRun, makeTarget("a"), 0);
  t.deepEqual(found, []);
});

test("request guard: of equal requests under suspicion, one is in progress at a time", async (t) => {
  const { clock, guardOf, crash } = rig();
  await crash("a");
  const first = guardOf();
  await first.awaitTurn();
  let hasTurn = false;
  const second = guardOf();
  void second.awaitTurn().then(() => (hasTurn = true));
  await clock.advance(100);
  t.false(hasTurn);
  first.end();
  await clock.advance(1);
  t.true(hasTurn);
});

test("request guard: a request that waits for its turn is held for 1 s or until its deadline, and passes the turn on", async (t) => {
  const { clock, guardOf, crash } = rig();
  await crash("a");
  const first = guardOf();
  await first.awaitTurn();
  const released: string[] = [];
  const wait = (name: string, ms: number) => {
    const waiting = guardOf({ deadlineAt: clock.now() + ms });
    void waiting.awaitTurn().then(() => released.push(name));
  };
  wait("short", 200);
  wait("long", 9000);
  await clock.advance(200);
  t.deepEqual(released, ["short"]);
  await clock.advance(800);
  t.deepEqual(released, ["short", "long"]);
  first.end();
  await clock.advance(1);
  await t.notThrowsAsync(guardOf().awaitTurn());
});
