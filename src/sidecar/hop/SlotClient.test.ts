import test from "ava";
import { FakeClock } from "../../../test/fixtures/FakeClock.ts";
import { granted, idleLoad, refused } from "../../../test/fixtures/FakeHop.ts";
import { makeSlotRequest } from "../../../test/fixtures/makeSlotRequest.ts";
import type { ProtoTypes } from "../../common/rpc/ProtoTypes.ts";
import { SlotClient } from "./SlotClient.ts";
import type { SlotReply } from "./SlotReply.ts";
import { gateWire } from "./gateWire.ts";

const GATE = "10.0.0.1:7000";

/** Client that asks one gate, which a test plays. */
function rig() {
  const clock = new FakeClock();
  const told: ProtoTypes["GateMessage"][] = [];
  const client = new SlotClient({ tell: (_address, message) => told.push(message), clock });
  let queued = 0;
  const ask = () => client.requestSlot(GATE, makeSlotRequest(), () => (queued += 1));
  const kinds = () => told.map((m) => (m.ask ? "ask" : m.withdrawn ? "withdrawn" : "other"));
  return { clock, client, told, ask, kinds, queued: () => queued };
}

const replies: readonly { name: string; reply: SlotReply }[] = [
  { name: "a grant", reply: granted },
  { name: "a refusal", reply: refused() },
];

for (const { name, reply } of replies) {
  test(`asks: ${name} settles the ask, and nothing is sent again`, async (t) => {
    const { clock, client, told, ask } = rig();
    const pending = ask();
    client.receive(gateWire.reply(told[0]?.ask_id ?? 0, reply), GATE);
    const answer = await pending.answer;
    t.is(answer.kind, reply.kind);
    t.deepEqual({ ...answer, load: {} }, { ...reply, load: {} });
    await clock.advance(1000);
    t.is(told.length, 1);
  });
}

test("asks: one of which nothing is heard is sent again, a few times", async (t) => {
  // Story: the link loses one packet in ten. A request would wait for a slot that it was never asked for.
  const { clock, told, ask, kinds } = rig();
  ask();
  await clock.advance(1000);
  t.deepEqual(kinds(), ["ask", "ask", "ask"]);
  t.is(new Set(told.map((m) => m.ask_id)).size, 1);
});

test("asks: one that is known to wait in line is not sent again", async (t) => {
  const { clock, client, told, ask, kinds, queued } = rig();
  ask();
  client.receive(gateWire.queued(told[0]?.ask_id ?? 0, idleLoad), GATE);
  await clock.advance(1000);
  t.is(queued(), 1);
  t.deepEqual(kinds(), ["ask"]);
});

test("asks: one that is given up is withdrawn, once", (t) => {
  const { ask, kinds } = rig();
  const pending = ask();
  pending.giveUp();
  pending.giveUp();
  t.deepEqual(kinds(), ["ask", "withdrawn"]);
});

test("asks: a grant that nobody waits for any more is given back", (t) => {
  // Story: the word that an ask is withdrawn was lost. The gate holds a slot for a request that
  // has long been granted one elsewhere.
  const { client, told, ask, kinds } = rig();
  ask().giveUp();
  client.receive(gateWire.reply(told[0]?.ask_id ?? 0, granted), GATE);
  t.deepEqual(kinds(), ["ask", "withdrawn", "withdrawn"]);
});

test("asks: a grant that is told again, as it is not taken yet, is not given back", async (t) => {
  // Story: a request with a body is on its way to the target that gave it a slot. The gate tells of the grant again after
  // 60 ms, in case it was lost. Taken for a grant that nobody waits for, it was given back, and the request came in vain.
  const { clock, client, told, ask, kinds } = rig();
  const pending = ask();
  const id = told[0]?.ask_id ?? 0;
  client.receive(gateWire.reply(id, granted), GATE);
  t.is((await pending.answer).kind, "granted");
  for (const ms of [60, 80]) {
    await clock.advance(ms);
    client.receive(gateWire.reply(id, granted), GATE);
  }
  t.deepEqual(kinds(), ["ask"]);
});

test("asks: what names no ask, or cannot be read, changes nothing", (t) => {
  const { client, ask, kinds, queued } = rig();
  ask();
  client.receive(gateWire.queued(99, idleLoad), GATE);
  client.receive(gateWire.reply(99, refused()), GATE);
  client.receive({ ...gateWire.reply(1, refused()), reply: null }, GATE);
  t.is(queued(), 0);
  t.deepEqual(kinds(), ["ask"]);
});
