import test from "ava";
import bunyan from "bunyan";
import { FakeClock } from "../../../test/fixtures/FakeClock.ts";
import { makeQuarantine } from "../../../test/fixtures/makeQuarantine.ts";
import { makeTarget } from "../../../test/fixtures/makeTarget.ts";
import { results } from "../../../test/fixtures/results.ts";
import { AttemptId } from "../../common/ids/AttemptId.ts";
import { ServiceName } from "../../common/ids/ServiceName.ts";
import { TargetId } from "../../common/ids/TargetId.ts";
import { TargetState } from "../../membership/TargetState.ts";
import type { ForwardResult } from "../forwarding/ForwardResult.ts";
import type { TargetRequest } from "../forwarding/TargetRequest.ts";
import { RunGuard } from "./RunGuard.ts";

const log = bunyan.createLogger({ name: "test", level: "fatal" });

const makeRequest = (path = "/fatal"): TargetRequest => ({
  method: "GET",
  path,
  headers: [],
  body: undefined,
  metadata: {
    attempt: AttemptId("a"),
    target: TargetId("x"),
    callerService: ServiceName("svc"),
    echoHeader: undefined,
  },
  deadlineAt: 1000,
  idempotent: true,
});

function rig({
  hasEnded,
  state: initialState,
}: {
  hasEnded: boolean;
  state: TargetState | undefined;
}) {
  let state = initialState;
  const clock = new FakeClock();
  const { quarantine, found } = makeQuarantine(clock);
  const guard = new RunGuard({
    quarantine,
    endedTargets: { check: () => Promise.resolve(hasEnded) },
    target: (id) => (state === undefined ? undefined : { ...makeTarget(id), state }),
    clock,
    log,
  });
  const examine = async (result: ForwardResult, target = "x", req = makeRequest()) => {
    const startedAt = clock.now();
    await clock.advance(50);
    return guard.examine({ target: makeTarget(target), req, startedAt }, result, false);
  };
  const forget = () => (state = undefined);
  return { guard, quarantine, found, examine, forget };
}

const cases: readonly {
  name: string;
  result: ForwardResult;
  hasEnded?: boolean;
  /** State of the target in the table; undefined if it is not there. */
  state?: TargetState | undefined;
  isEvidence: boolean;
}[] = [
  {
    name: "a run that is lost with its target is evidence",
    result: results.mayHaveRun,
    isEvidence: true,
  },
  {
    name: "a connection that is reset by a target that runs on is none",
    result: results.mayHaveRun,
    hasEnded: false,
    isEvidence: false,
  },
  {
    name: "a run that is cut by a target which leaves as it said is none",
    result: results.mayHaveRun,
    state: TargetState.Draining,
    isEvidence: false,
  },
  {
    name: "a run that is cut by a target which has left already is none",
    result: results.mayHaveRun,
    state: undefined,
    isEvidence: false,
  },
  { name: "an error of the target is none", result: results.failed, isEvidence: false },
];

for (const { name, result, isEvidence, ...target } of cases) {
  test(`run guard: ${name}`, async (t) => {
    const { found, examine } = rig({ hasEnded: true, state: TargetState.Ready, ...target });
    const examined = await examine(result);
    t.is(found.length, isEvidence ? 1 : 0);
    t.is(examined.targetEnded === true, isEvidence);
  });
}

test("run guard: a blocked request does not reach the target, whatever its sender knows", async (t) => {
  const { guard, examine } = rig({ hasEnded: true, state: TargetState.Ready });
  for (const target of ["x", "y", "z"]) {
    t.is(guard.refuse(makeTarget(target), makeRequest()), undefined);
    await examine(results.mayHaveRun, target);
  }
  const verdict = guard.refuse(makeTarget("u"), makeRequest())?.verdict;
  t.is(verdict?.kind, "not-run");
  t.is(guard.refuse(makeTarget("u"), makeRequest("/other")), undefined);
});

test("run guard: a run that succeeds refutes the suspicion, an error of a gray target does not", async (t) => {
  const { quarantine, examine } = rig({ hasEnded: true, state: TargetState.Ready });
  await examine(results.mayHaveRun);
  t.true(quarantine.isActive);
  await examine(results.failed, "y");
  t.true(quarantine.isActive);
  await examine(results.done, "z");
  t.false(quarantine.isActive);
});

test("run guard: all runs that are lost with a target are evidence, also those lost after it was found to have ended", async (t) => {
  const { found, examine, forget } = rig({ hasEnded: true, state: TargetState.Ready });
  await examine(results.mayHaveRun);
  forget();
  await examine(results.mayHaveRun, "x", makeRequest("/beside"));
  t.is(found.length, 2);
});
