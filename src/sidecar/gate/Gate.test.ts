import test from "ava";
import bunyan from "bunyan";
import { FakeClock } from "../../../test/fixtures/FakeClock.ts";
import { makeSlotRequest } from "../../../test/fixtures/makeSlotRequest.ts";
import { Service } from "../../common/document/Service.ts";
import { GrantId } from "../../common/ids/GrantId.ts";
import { AttemptOutcome } from "../detection/AttemptOutcome.ts";
import { GrayFailureDetector } from "../detection/GrayFailureDetector.ts";
import { AlwaysHealthyDetector } from "../detection/AlwaysHealthyDetector.ts";
import type { HealthDetector } from "../detection/HealthDetector.ts";
import type { SlotReply } from "../hop/SlotReply.ts";
import { Gate } from "./Gate.ts";
import { GrantIds } from "./GrantIds.ts";

const log = bunyan.createLogger({ name: "test", level: "fatal" });

/** How long a grant is good for, ms; as the gate has it. */
const GRANT_MS = 250;

/** A gate to a target with `slots`, whose replies are noted by attempt. */
function rig(slots = 2, detector: HealthDetector = AlwaysHealthyDetector, clock = new FakeClock()) {
  const target = { slots, takesWork: true, here: true };
  const gate = new Gate({
    target: () => (target.here ? target : undefined),
    detector,
    clock,
    grants: new GrantIds("b"),
  });
  const replies = new Map<string, SlotReply>();
  const ask = (attempt: string, over: Parameters<typeof makeSlotRequest>[0] = {}) =>
    gate.requestSlot(makeSlotRequest({ attempt, ...over }), (reply) => replies.set(attempt, reply));
  const grantOf = (attempt: string): GrantId => {
    const reply = replies.get(attempt);
    return reply?.kind === "granted" ? reply.grant : GrantId("none");
  };
  const run = (attempt: string, ms: number) => {
    gate.take(grantOf(attempt));
    clock.after(ms, () => {
      gate.end(grantOf(attempt), AttemptOutcome.Ok);
    });
  };
  const said = (attempt: string): string => {
    const reply = replies.get(attempt);
    return reply?.kind === "refused" ? reply.reason : (reply?.kind ?? "waits");
  };
  return { clock, target, gate, replies, ask, grantOf, run, said };
}

test("gate: no more requests are at the target than it has slots", async (t) => {
  const { clock, gate, ask, run, said } = rig(2);
  for (const attempt of ["a", "b", "c"]) {
    ask(attempt);
  }
  t.deepEqual(["a", "b", "c"].map(said), ["granted", "granted", "waits"]);
  run("a", 100);
  run("b", 200);
  await clock.advance(100);
  t.is(said("c"), "granted");
  t.is(gate.load.busy, 2);
});

test("gate: a grant that nobody takes goes to the next after a while", async (t) => {
  // Story: a sidecar is granted a slot and is killed. The slot must not stand empty.
  const { clock, gate, ask, said, grantOf } = rig(1);
  ask("a");
  ask("b");
  await clock.advance(GRANT_MS);
  t.is(said("b"), "granted");
  t.is(gate.take(grantOf("a")), undefined, "the first grant has expired");
  t.truthy(gate.take(grantOf("b")));
});

test("gate: an ask that is withdrawn frees its place or its slot", (t) => {
  const { gate, ask, said } = rig(1);
  const first = ask("a");
  const second = ask("b");
  ask("c");
  second.withdraw();
  first.withdraw();
  t.deepEqual(["b", "c"].map(said), ["waits", "granted"]);
  t.is(gate.load.queued, 0);
});

test("gate: what cannot be served in time is refused at once, and told when to come back", async (t) => {
  // Story: every slot is taken by requests of 100 ms, and a caller has 60 ms left.
  const { clock, ask, run, said, replies } = rig(1);
  for (let i = 0; i < 40; i++) {
    ask(`warm-${String(i)}`);
    run(`warm-${String(i)}`, 100);
    await clock.advance(100);
  }
  ask("a");
  run("a", 100);
  ask("late", { remainingMs: 60 });
  ask("patient", { remainingMs: 1000 });
  t.deepEqual(["late", "patient"].map(said), ["full", "waits"]);
  const reply = replies.get("late");
  t.true(reply?.kind === "refused" && reply.retryAfterMs > 50 && reply.retryAfterMs < 200);
});

test("gate: the queue is bounded", (t) => {
  const { ask, said } = rig(1);
  ask("running");
  for (let i = 0; i < 20; i++) {
    ask(`q-${String(i)}`, { remainingMs: 60_000 });
  }
  const waiting = Array.from({ length: 20 }, (_, i) => said(`q-${String(i)}`));
  t.is(waiting.filter((s) => s === "waits").length, 8);
  t.is(waiting.filter((s) => s === "full").length, 12);
});

/** How much time is left when an ask comes, and what its kind usually takes, ms. */
const lastAsks: readonly {
  what: string;
  leftMs: number;
  typicalMs: number;
  isExpendable: boolean;
  remainingMs?: number;
  said: string;
}[] = [
  { what: "fits", leftMs: 3000, typicalMs: 500, isExpendable: false, said: "granted" },
  { what: "may not be over", leftMs: 2000, typicalMs: 500, isExpendable: false, said: "leaving" },
  { what: "may be cut", leftMs: 2000, typicalMs: 500, isExpendable: true, said: "granted" },
  { what: "will be cut", leftMs: 1000, typicalMs: 500, isExpendable: true, said: "leaving" },
  {
    what: "is over by its deadline",
    leftMs: 1000,
    typicalMs: 500,
    isExpendable: false,
    remainingMs: 900,
    said: "granted",
  },
];

for (const { what, leftMs, said: expected, ...ask } of lastAsks) {
  test(`gate: while its sidecar is being stopped, work that ${what} is ${expected}`, async (t) => {
    const { clock, gate, ask: put, said } = rig(1);
    gate.closeBy(4000);
    await clock.advance(4000 - leftMs);
    put("a", { remainingMs: 10_000, ...ask });
    t.is(said("a"), expected);
    t.is(gate.load.endsInMs, leftMs);
  });
}

test("gate: what waits goes elsewhere as soon as it cannot be over before its sidecar ends", async (t) => {
  const { clock, gate, ask, run, said } = rig(1);
  gate.closeBy(4000);
  ask("a", { remainingMs: 10_000, typicalMs: 400 });
  run("a", 3900);
  ask("b", { remainingMs: 10_000, typicalMs: 400, isExpendable: false });
  t.is(said("b"), "waits");
  await clock.advance(1900);
  t.is(said("b"), "leaving");
});

test("gate: a target that leaves gives no more slots, and what waits is told at once", (t) => {
  const { target, gate, ask, run, said } = rig(1);
  ask("a");
  run("a", 500);
  ask("b");
  target.takesWork = false;
  gate.targetChanged();
  ask("c");
  t.deepEqual(["b", "c"].map(said), ["leaving", "leaving"]);
  t.true(gate.isBusy, "what runs there is left to end");
});

test("gate: once closed it grants nothing, and says so to what waits", (t) => {
  const { gate, ask, said } = rig(1);
  ask("a");
  ask("b");
  gate.close();
  ask("c");
  t.deepEqual(["b", "c"].map(said), ["leaving", "leaving"]);
});

test("gate: once its target has failed a request, what waits and has no other try goes elsewhere at once", (t) => {
  // Story: two bookings run at a target and a third waits. One of the two fails. The third would
  // be given the slot next, or wait for a target that it may not have.
  const detector = {
    ...AlwaysHealthyDetector,
    isSuspect: false,
    admits: () => !detector.isSuspect,
  };
  detector.note = () => (detector.isSuspect = true);
  const { gate, ask, said, grantOf } = rig(2, detector);
  ask("a");
  ask("b");
  ask("c", { isExpendable: false });
  gate.take(grantOf("a"));
  gate.end(grantOf("a"), AttemptOutcome.Failed);
  t.is(said("c"), "suspect");
});

test("gate: a request that took a target for the least bad leaves its line once it is known to be worse", async (t) => {
  // Story: a target has failed one request, and sound ones have no room: a booking that accepts a chance of failure of a
  // half joins its line. It fails the next one too, and each slot that it frees so would go to those in line: 39 and 55
  // bookings in a second were failed in a row by two targets of which that was known.
  const rule = Service.parse({ name: "svc" }).detection;
  const clock = new FakeClock();
  const detector = new GrayFailureDetector({ rule: () => rule, clock, log });
  const { gate, ask, said, grantOf } = rig(1, detector, clock);
  await clock.advance(500);
  detector.note(AttemptOutcome.Failed, 1, 0);
  ask("a", { acceptsRisk: 0.8, isExpendable: false });
  ask("b", { acceptsRisk: 0.8, isExpendable: false });
  ask("any", { acceptsRisk: 1, isExpendable: false });
  t.deepEqual(["a", "b", "any"].map(said), ["granted", "waits", "waits"]);
  gate.take(grantOf("a"));
  gate.end(grantOf("a"), AttemptOutcome.Failed);
  t.is(said("b"), "suspect");
  t.is(said("any"), "granted");
});

test("gate: a target that is gone has no slots", (t) => {
  const { target, ask, said } = rig(1);
  target.here = false;
  ask("a");
  t.is(said("a"), "no-target");
});

test("gate: the same attempt is not granted twice at a time", (t) => {
  const { ask, said } = rig(2);
  ask("a");
  ask("a");
  t.is(said("a"), "duplicate");
});

test("gate: an ask that waited past its deadline is passed over", async (t) => {
  const { clock, ask, run, said } = rig(1);
  ask("a");
  run("a", 700);
  ask("short", { remainingMs: 650, priority: 0 });
  ask("long", { remainingMs: 5000 });
  await clock.advance(700);
  t.deepEqual(["short", "long"].map(said), ["waits", "granted"]);
});

test("gate: a run that takes far longer than usual is told to the judge while it lasts", async (t) => {
  // Story: a target hangs. Its first requests are noticed long before their deadlines.
  let overdue = 0;
  const detector: HealthDetector = { ...AlwaysHealthyDetector, noteOverdue: () => (overdue += 1) };
  const { clock, gate, ask, grantOf } = rig(2, detector);
  ask("a", { typicalMs: 100 });
  gate.take(grantOf("a"));
  await clock.advance(299);
  t.is(overdue, 0);
  await clock.advance(1);
  t.is(overdue, 1);
});

test("gate: what stands in line and cannot be served in time any more is told so while it can still go elsewhere", async (t) => {
  // Story: more requests come than a target can serve. Those that have become late go last, and
  // were held until their route's time was up: 24 lookups of a played day for 6 s, to be refused.
  const { clock, ask, run, said } = rig(1);
  ask("first");
  run("first", 300);
  ask("late", { remainingMs: 5000, objectiveMs: 200, typicalMs: 300 });
  for (let n = 0; n < 20 && said("late") === "waits"; n++) {
    ask(`next-${n}`, { remainingMs: 5000, objectiveMs: 1500, typicalMs: 300 });
    await clock.advance(300);
    run(`next-${n}`, 300);
  }
  t.is(said("late"), "full");
  t.true(clock.now() < 4000, `${clock.now()} ms`);
});

for (const { name, bodyBytes, afterMs, isGood } of [
  {
    name: "without a body expires after a quarter of a second",
    bodyBytes: 0,
    afterMs: 260,
    isGood: false,
  },
  {
    name: "with a map of 60 KB has time to get there",
    bodyBytes: 60_000,
    afterMs: 800,
    isGood: true,
  },
  {
    name: "with a map of 60 KB is not kept for good",
    bodyBytes: 60_000,
    afterMs: 900,
    isGood: false,
  },
]) {
  test(`gate: the grant of a request ${name}`, async (t) => {
    // Story: on links of a few Mbit/s a map of 60 KB behind another takes half a second. Its grant was void by then.
    const { clock, gate, ask, grantOf } = rig(1);
    ask("a", { bodyBytes, remainingMs: 10_000 });
    await clock.advance(afterMs);
    t.is(gate.take(grantOf("a")) !== undefined, isGood);
  });
}
