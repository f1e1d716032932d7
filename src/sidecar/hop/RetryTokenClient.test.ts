import test from "ava";
import { FakeClock } from "../../../test/fixtures/FakeClock.ts";
import type { ProtoTypes } from "../../common/rpc/ProtoTypes.ts";
import { gateWire } from "./gateWire.ts";
import { RetryTokenClient } from "./RetryTokenClient.ts";

const costs = [
  { service: "reports", n: 1 },
  { service: "results", n: 0.724 },
];

function rig() {
  const clock = new FakeClock();
  const told: ProtoTypes["GateMessage"][] = [];
  const client = new RetryTokenClient({ tell: (_address, message) => told.push(message), clock });
  return { clock, told, client };
}

for (const isGiven of [true, false]) {
  test(`loans: one that is ${isGiven ? "given" : "refused"} is told`, async (t) => {
    const { told, client } = rig();
    const asked = client.ask("10.0.0.1:7000", costs);
    client.receive(gateWire.loan(told[0]?.ask_id ?? 0, isGiven));
    t.is(await asked, isGiven);
  });
}

test("loans: without an answer there is none, and one that comes late changes nothing", async (t) => {
  const { clock, told, client } = rig();
  const asked = client.ask("10.0.0.1:7000", costs);
  await clock.advance(100);
  t.false(await asked);
  t.notThrows(() => {
    client.receive(gateWire.loan(told[0]?.ask_id ?? 0, true));
  });
});

test("loans: what a loan is for arrives, a fraction rounded up to hundredths", (t) => {
  const { told, client } = rig();
  void client.ask("10.0.0.1:7000", costs);
  const [message] = told;
  t.deepEqual(message && gateWire.readLoanAsk(message), [
    { service: "reports", n: 1 },
    { service: "results", n: 0.73 },
  ]);
});
