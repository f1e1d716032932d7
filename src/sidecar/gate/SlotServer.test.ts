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
import { gateCodec } from "../hop/gateCodec.ts";
import { SlotServer } from "./SlotServer.ts";
import { Gate } from "./Gate.ts";
import { GrantIds } from "./GrantIds.ts";

/** A slot server with the gate of a target `x` that has one slot; messages sent are recorded. */
function rig() {
  const clock = new FakeClock();
  const gate = new Gate({
    target: () => ({ slots: 1, acceptsRequests: true }),
    detector: AlwaysHealthyDetector,
    clock,
    grants: new GrantIds("b"),
  });
  const sent: { to: string; message: ProtoTypes["GateMessage"] }[] = [];
  const server = new SlotServer({
    gates: { get: (id) => (id === TargetId("x") ? gate : undefined) },
    metrics: {
      countRefusal: () => undefined,
      countLimitWait: () => undefined,
      observeQueueWait: () => undefined,
    },
    sendGateMessage: (to, message) => sent.push({ to, message }),
    clock,
    log: bunyan.createLogger({ name: "test", level: "fatal" }),
  });
  const requestSlot = (
    from: string,
    id: number,
    overrides: Parameters<typeof makeSlotRequest>[0] = {},
  ) => {
    server.receive(
      gateCodec.slotRequest(id, makeSlotRequest({ attempt: `${from}-${id}`, ...overrides })),
      from,
    );
  };
  const sentMessages = () =>
    sent.map(({ to, message }) => {
      const reply = gateCodec.readReply(message);
      const what = reply?.kind === "refused" ? reply.reason : reply?.kind;
      return `${to}: ${what ?? (message.queued ? "queued" : "news")}`;
    });
  /** The last grant sent to `to`. */
  const grantOf = (to: string): GrantId => {
    const replies = sent.filter((m) => m.to === to).map((m) => gateCodec.readReply(m.message));
    const grant = replies.findLast((r) => r?.kind === "granted");
    return grant?.kind === "granted" ? grant.grant : GrantId("none");
  };
  return { clock, gate, server, requestSlot, sentMessages, grantOf };
}

test("slot server: grants the slot to the first request, queues the second, and grants it the slot when free", (t) => {
  const { gate, requestSlot, sentMessages, grantOf } = rig();
  requestSlot("a", 1);
  requestSlot("b", 1);
  gate.redeem(grantOf("a"));
  gate.end(grantOf("a"), AttemptOutcome.Ok);
  t.deepEqual(sentMessages(), ["a: granted", "b: queued", "b: granted"]);
});

test("slot server: a repeated request gets the last message again and takes no second place", (t) => {
  // The reply was lost. If the repeated request counted as a new one, it would hold two slots.
  const { gate, requestSlot, sentMessages } = rig();
  requestSlot("a", 1);
  requestSlot("a", 1);
  requestSlot("b", 1);
  requestSlot("b", 1);
  t.deepEqual(sentMessages(), ["a: granted", "a: granted", "b: queued", "b: queued"]);
  t.is(gate.load.queued, 1);
});

test("slot server: a restarted sidecar does not get the replies to requests of its previous incarnation", (t) => {
  // Guards against the response to another caller's request: the old grant leads to the run that has used it.
  const { gate, requestSlot, sentMessages, grantOf } = rig();
  requestSlot("a", 1, { attempt: "before" });
  const before = grantOf("a");
  gate.redeem(before);
  gate.end(before, AttemptOutcome.Ok);
  requestSlot("a", 1, { attempt: "after" });
  t.deepEqual(sentMessages(), ["a: granted", "a: granted"]);
  t.not(grantOf("a"), before);
});

test("slot server: a request of a sender's previous incarnation gives up its slot for one with the same id", (t) => {
  const { gate, requestSlot, sentMessages } = rig();
  requestSlot("a", 1, { attempt: "before" });
  requestSlot("a", 1, { attempt: "after" });
  t.deepEqual(sentMessages(), ["a: granted", "a: granted"]);
  t.is(gate.load.busy, 1);
});

test("slot server: an unused grant is sent again, and expires", async (t) => {
  const { clock, gate, requestSlot, sentMessages } = rig();
  requestSlot("a", 1);
  await clock.advance(1000);
  t.deepEqual(sentMessages(), ["a: granted", "a: granted", "a: granted"]);
  t.is(gate.load.busy, 0);
});

test("slot server: a used grant is not sent again", async (t) => {
  const { clock, gate, requestSlot, sentMessages, grantOf } = rig();
  requestSlot("a", 1);
  gate.redeem(grantOf("a"));
  await clock.advance(1000);
  t.deepEqual(sentMessages(), ["a: granted"]);
});

test("slot server: withdrawing a queued request removes it, withdrawing a granted one frees its slot", (t) => {
  const { gate, server, requestSlot, sentMessages } = rig();
  requestSlot("a", 1);
  requestSlot("b", 1);
  requestSlot("c", 1);
  server.receive(gateCodec.withdrawn(1), "b");
  server.receive(gateCodec.withdrawn(1), "a");
  t.deepEqual(sentMessages(), ["a: granted", "b: queued", "c: queued", "c: granted"]);
  t.is(gate.load.queued, 0);
});

test("slot server: a request that is overtaken by its withdrawal takes no slot", async (t) => {
  const { clock, gate, server, requestSlot } = rig();
  server.receive(gateCodec.withdrawn(1), "a");
  await clock.advance(100);
  requestSlot("a", 1);
  t.is(gate.load.busy, 0);
  requestSlot("a", 2);
  t.is(gate.load.busy, 1);
});

test("slot server: removes queued requests past their deadline, even if their sender is gone", async (t) => {
  const { clock, gate, requestSlot, grantOf } = rig();
  requestSlot("a", 1);
  gate.redeem(grantOf("a"));
  requestSlot("b", 1, { remainingMs: 900 });
  await clock.advance(3000);
  requestSlot("c", 1, { remainingMs: 5000 });
  t.is(gate.load.queued, 1);
});

test("slot server: refuses requests for a target that is not local, and ignores malformed messages", (t) => {
  const { server, sentMessages } = rig();
  const elsewhere = { ...makeSlotRequest(), target: TargetId("y") };
  server.receive(gateCodec.slotRequest(1, elsewhere), "a");
  server.receive({ ...gateCodec.slotRequest(2, elsewhere), ask: null }, "a");
  server.receive(gateCodec.slotRequest(3, { ...elsewhere, attempt: AttemptId("") }), "a");
  t.deepEqual(sentMessages(), ["a: no-target"]);
});

test("slot server: sends load updates to recent requesters only", async (t) => {
  // A target becomes gray. Sidecars that do not learn of it go on requesting its slots: on a busy day two requests were
  // refused for each one granted.
  const { clock, server, requestSlot, sentMessages } = rig();
  requestSlot("a", 1);
  await clock.advance(9000);
  requestSlot("b", 1);
  await clock.advance(2000);
  server.publishLoad(TargetId("x"), { ...idleLoad, ejected: true });
  t.deepEqual(sentMessages().slice(-1), ["b: news"]);
  t.is(sentMessages().filter((message) => message.endsWith("news")).length, 1);
});

test("slot server: a target that wants work does not flood the fleet", (t) => {
  const { server, requestSlot, sentMessages } = rig();
  const senders = Array.from({ length: 40 }, (_, n) => `s${n}`);
  senders.forEach((sender, n) => {
    requestSlot(sender, n + 1);
  });
  server.publishDemand(TargetId("x"), { ...idleLoad, wantsWork: true });
  const told = sentMessages().filter((message) => message.endsWith("news"));
  t.deepEqual(
    told,
    senders.slice(-16).map((sender) => `${sender}: news`),
  );
});
