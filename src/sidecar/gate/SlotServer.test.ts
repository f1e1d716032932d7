import test from "ava";
import bunyan from "bunyan";
import { FakeClock } from "../../../test/fixtures/FakeClock.ts";
import { idleLoad } from "../../../test/fixtures/FakeHop.ts";
import { makeSlotRequest } from "../../../test/fixtures/makeSlotRequest.ts";
import { AttemptId } from "../../common/ids/AttemptId.ts";
import { GrantId } from "../../common/ids/GrantId.ts";
import { TargetId } from "../../common/ids/TargetId.ts";
import type { ProtoTypes } from "../../common/rpc/ProtoTypes.ts";
import { AttemptOutcome } from "../detection/AttemptOutcome.ts";
import { AlwaysHealthyDetector } from "../detection/AlwaysHealthyDetector.ts";
import { gateWire } from "../hop/gateWire.ts";
import { SlotServer } from "./SlotServer.ts";
import { Gate } from "./Gate.ts";
import { GrantIds } from "./GrantIds.ts";

/** The gate to a target `x` with one slot, and what is told to whom. */
function rig() {
  const clock = new FakeClock();
  const gate = new Gate({
    target: () => ({ slots: 1, takesWork: true }),
    detector: AlwaysHealthyDetector,
    clock,
    grants: new GrantIds("b"),
  });
  const told: { to: string; message: ProtoTypes["GateMessage"] }[] = [];
  const server = new SlotServer({
    gates: { get: (id) => (id === TargetId("x") ? gate : undefined) },
    metrics: { refused: () => undefined, waited: () => undefined },
    tell: (to, message) => told.push({ to, message }),
    clock,
    log: bunyan.createLogger({ name: "test", level: "fatal" }),
  });
  const ask = (from: string, id: number, over: Parameters<typeof makeSlotRequest>[0] = {}) => {
    server.receive(gateWire.ask(id, makeSlotRequest({ attempt: `${from}-${id}`, ...over })), from);
  };
  const said = () =>
    told.map(({ to, message }) => {
      const reply = gateWire.readReply(message);
      const what = reply?.kind === "refused" ? reply.reason : reply?.kind;
      return `${to}: ${what ?? (message.queued ? "queued" : "news")}`;
    });
  /** The last grant that was told to `to`. */
  const grantOf = (to: string): GrantId => {
    const replies = told.filter((m) => m.to === to).map((m) => gateWire.readReply(m.message));
    const grant = replies.findLast((r) => r?.kind === "granted");
    return grant?.kind === "granted" ? grant.grant : GrantId("none");
  };
  return { clock, gate, server, ask, said, grantOf };
}

test("ask server: a slot is granted to the first, the next waits in line and is granted when it is free", (t) => {
  const { gate, ask, said, grantOf } = rig();
  ask("a", 1);
  ask("b", 1);
  gate.take(grantOf("a"));
  gate.end(grantOf("a"), AttemptOutcome.Ok);
  t.deepEqual(said(), ["a: granted", "b: queued", "b: granted"]);
});

test("ask server: an ask that is sent again is told again what was said, and takes no second place", (t) => {
  // Story: the answer was lost on its way. Taken for another request, the ask would hold two slots.
  const { gate, ask, said } = rig();
  ask("a", 1);
  ask("a", 1);
  ask("b", 1);
  ask("b", 1);
  t.deepEqual(said(), ["a: granted", "a: granted", "b: queued", "b: queued"]);
  t.is(gate.load.queued, 1);
});

test("ask server: a grant that is not taken is sent again, and expires", async (t) => {
  const { clock, gate, ask, said } = rig();
  ask("a", 1);
  await clock.advance(1000);
  t.deepEqual(said(), ["a: granted", "a: granted", "a: granted"]);
  t.is(gate.load.busy, 0);
});

test("ask server: a grant that was taken is not told again", async (t) => {
  const { clock, gate, ask, said, grantOf } = rig();
  ask("a", 1);
  gate.take(grantOf("a"));
  await clock.advance(1000);
  t.deepEqual(said(), ["a: granted"]);
});

test("ask server: a withdrawn ask leaves the line, a withdrawn grant frees its slot", (t) => {
  const { gate, server, ask, said } = rig();
  ask("a", 1);
  ask("b", 1);
  ask("c", 1);
  server.receive(gateWire.withdrawn(1), "b");
  server.receive(gateWire.withdrawn(1), "a");
  t.deepEqual(said(), ["a: granted", "b: queued", "c: queued", "c: granted"]);
  t.is(gate.load.queued, 0);
});

test("ask server: asks whose time is up are forgotten, also where their sender is gone", async (t) => {
  const { clock, gate, ask, grantOf } = rig();
  ask("a", 1);
  gate.take(grantOf("a"));
  ask("b", 1, { remainingMs: 900 });
  await clock.advance(3000);
  ask("c", 1, { remainingMs: 5000 });
  t.is(gate.load.queued, 1);
});

test("ask server: a target that is not here is said not to be, and what cannot be read is passed over", (t) => {
  const { server, said } = rig();
  const elsewhere = { ...makeSlotRequest(), target: TargetId("y") };
  server.receive(gateWire.ask(1, elsewhere), "a");
  server.receive({ ...gateWire.ask(2, elsewhere), ask: null }, "a");
  server.receive(gateWire.ask(3, { ...elsewhere, attempt: AttemptId("") }), "a");
  t.deepEqual(said(), ["a: no-target"]);
});

test("ask server: whoever has asked lately hears of a change, nobody else", async (t) => {
  // Story: a target turns gray. Sidecars that have not heard of it go on asking for it, two asks in
  // vain for each slot that was granted on a busy day.
  const { clock, server, ask, said } = rig();
  ask("a", 1);
  await clock.advance(9000);
  ask("b", 1);
  await clock.advance(2000);
  server.publishLoad(TargetId("x"), { ...idleLoad, ejected: true });
  t.deepEqual(said().slice(-1), ["b: news"]);
  t.is(said().filter((line) => line.endsWith("news")).length, 1);
});
