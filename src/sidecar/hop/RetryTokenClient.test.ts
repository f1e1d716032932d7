import test from "ava";
import { FakeClock } from "../../../test/fixtures/FakeClock.ts";
import type { ProtoTypes } from "../../common/rpc/ProtoTypes.ts";
import { gateCodec } from "./gateCodec.ts";
import { RetryTokenClient } from "./RetryTokenClient.ts";

const costs = [
  { service: "reports", n: 1 },
  { service: "results", n: 0.724 },
];

function setUp() {
  const clock = new FakeClock();
  const sent: ProtoTypes["GateMessage"][] = [];
  const client = new RetryTokenClient({
    sendGateMessage: (_address, message) => sent.push(message),
    clock,
  });
  return { clock, sent, client };
}

for (const isGranted of [true, false]) {
  test(`retry tokens: the client learns that its request was ${isGranted ? "granted" : "refused"}`, async (t) => {
    const { sent, client } = setUp();
    const granted = client.requestToken("10.0.0.1:7000", costs);
    client.receive(gateCodec.retryTokenReply(sent[0]?.ask_id ?? 0, isGranted));
    t.is(await granted, isGranted);
  });
}

test("retry tokens: without a reply none are granted, and a late reply is ignored", async (t) => {
  const { clock, sent, client } = setUp();
  const granted = client.requestToken("10.0.0.1:7000", costs);
  await clock.advance(100);
  t.false(await granted);
  t.notThrows(() => {
    client.receive(gateCodec.retryTokenReply(sent[0]?.ask_id ?? 0, true));
  });
});

test("retry tokens: the costs reach the lender, with fractions rounded up to hundredths", (t) => {
  const { sent, client } = setUp();
  void client.requestToken("10.0.0.1:7000", costs);
  const [message] = sent;
  t.deepEqual(message && gateCodec.readRetryTokenRequest(message), [
    { service: "reports", n: 1 },
    { service: "results", n: 0.73 },
  ]);
});
