import test from "ava";
import { FakeClock } from "../../../test/fixtures/FakeClock.ts";
import { granted, idleLoad, refused } from "../../../test/fixtures/FakeHop.ts";
import { makeSlotRequest } from "../../../test/fixtures/makeSlotRequest.ts";
import type { ProtoTypes } from "../../common/rpc/ProtoTypes.ts";
import { SlotClient } from "./SlotClient.ts";
import type { SlotReply } from "./SlotReply.ts";
import { gateCodec } from "./gateCodec.ts";

const GATE = "10.0.0.1:7000";

/** Sets up a client that sends slot requests to one gate, whose replies the test provides. */
function setUp() {
  const clock = new FakeClock();
  const sent: ProtoTypes["GateMessage"][] = [];
  const client = new SlotClient({
    sendGateMessage: (_address, message) => sent.push(message),
    clock,
  });
  let queued = 0;
  const requestSlot = () => client.requestSlot(GATE, makeSlotRequest(), () => (queued += 1));
  const kinds = () => sent.map((m) => (m.ask ? "ask" : m.withdrawn ? "withdrawn" : "other"));
  return { clock, client, sent, requestSlot, kinds, queued: () => queued };
}

const replies: readonly { name: string; reply: SlotReply }[] = [
  { name: "a grant", reply: granted },
  { name: "a refusal", reply: refused() },
];

for (const { name, reply } of replies) {
  test(`slot client: ${name} settles the request, which is not sent again`, async (t) => {
    const { clock, client, sent, requestSlot } = setUp();
    const pending = requestSlot();
    client.receive(gateCodec.reply(sent[0]?.ask_id ?? 0, reply), GATE);
    const received = await pending.result;
    t.is(received.kind, reply.kind);
    t.deepEqual({ ...received, load: {} }, { ...reply, load: {} });
    await clock.advance(1000);
    t.is(sent.length, 1);
  });
}

test("slot client: a request without a reply is sent again, at most twice", async (t) => {
  // Guards against datagram loss: when the network loses one packet in ten, a caller's request would wait for a slot
  // request that never arrived.
  const { clock, sent, requestSlot, kinds } = setUp();
  requestSlot();
  await clock.advance(1000);
  t.deepEqual(kinds(), ["ask", "ask", "ask"]);
  t.is(new Set(sent.map((m) => m.ask_id)).size, 1);
});

test("slot client: a request that is known to be queued is not sent again", async (t) => {
  const { clock, client, sent, requestSlot, kinds, queued } = setUp();
  requestSlot();
  client.receive(gateCodec.queued(sent[0]?.ask_id ?? 0, idleLoad), GATE);
  await clock.advance(1000);
  t.is(queued(), 1);
  t.deepEqual(kinds(), ["ask"]);
});

test("slot client: a cancelled request is withdrawn once", (t) => {
  const { requestSlot, kinds } = setUp();
  const pending = requestSlot();
  pending.cancel();
  pending.cancel();
  t.deepEqual(kinds(), ["ask", "withdrawn"]);
});

test("slot client: a grant for a cancelled request is returned", (t) => {
  // Guards against a lost withdrawal: the gate would hold a slot for a request that has already been granted one
  // at another target.
  const { client, sent, requestSlot, kinds } = setUp();
  requestSlot().cancel();
  client.receive(gateCodec.reply(sent[0]?.ask_id ?? 0, granted), GATE);
  t.deepEqual(kinds(), ["ask", "withdrawn", "withdrawn"]);
});

test("slot client: a grant that is sent again because it is not used yet is not returned", async (t) => {
  // A request with a body is on its way to the target that granted the slot. After 60 ms the gate sends the grant
  // again, in case it was lost. The client treated it as a grant for a cancelled request and returned it, so that the
  // slot was gone when the request arrived.
  const { clock, client, sent, requestSlot, kinds } = setUp();
  const pending = requestSlot();
  const id = sent[0]?.ask_id ?? 0;
  client.receive(gateCodec.reply(id, granted), GATE);
  t.is((await pending.result).kind, "granted");
  for (const ms of [60, 80]) {
    await clock.advance(ms);
    client.receive(gateCodec.reply(id, granted), GATE);
  }
  t.deepEqual(kinds(), ["ask"]);
});

test("slot client: a message with an unknown request id or without readable content is ignored", (t) => {
  const { client, requestSlot, kinds, queued } = setUp();
  requestSlot();
  client.receive(gateCodec.queued(99, idleLoad), GATE);
  client.receive(gateCodec.reply(99, refused()), GATE);
  client.receive({ ...gateCodec.reply(1, refused()), reply: null }, GATE);
  t.is(queued(), 0);
  t.deepEqual(kinds(), ["ask"]);
});
