import { request, type ClientRequest, type IncomingMessage } from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import test from "ava";
import bunyan from "bunyan";
import { eventually } from "../../../test/fixtures/eventually.ts";
import { makeSlotRequest } from "../../../test/fixtures/makeSlotRequest.ts";
import { openGuard } from "../../../test/fixtures/openGuard.ts";
import { makeTarget } from "../../../test/fixtures/makeTarget.ts";
import { results } from "../../../test/fixtures/results.ts";
import { AttemptId } from "../../common/ids/AttemptId.ts";
import { GrantId } from "../../common/ids/GrantId.ts";
import { TargetId } from "../../common/ids/TargetId.ts";
import { SystemClock } from "../../common/lifecycle/SystemClock.ts";
import { openTracing } from "../../common/telemetry/openTracing.ts";
import { AlwaysHealthyDetector } from "../detection/AlwaysHealthyDetector.ts";
import type { ForwardResult } from "../forwarding/ForwardResult.ts";
import type { TargetRequest } from "../forwarding/TargetRequest.ts";
import { HOP } from "../hop/HOP.ts";
import { Gate } from "./Gate.ts";
import { GrantIds } from "./GrantIds.ts";
import { GateServer } from "./GateServer.ts";
import { ActiveRuns } from "./ActiveRuns.ts";
import { RunTable } from "./RunTable.ts";
import { TargetRunner } from "./TargetRunner.ts";

const TARGET = TargetId("x");
const ATTEMPT = AttemptId("a");
const log = bunyan.createLogger({ name: "test", level: "fatal" });

/** Longer than an unused grant is valid, and than a sidecar waits for a signal that its request is alive, ms. */
const UPLOAD_MS = 900;

const REMAINING_MS = 5000;

/** A gate server for one target with one slot, whose runs end at once. */
async function rig(result: ForwardResult = results.done) {
  const grants = new GrantIds("this incarnation");
  const gate = new Gate({
    target: () => ({ slots: 1, acceptsRequests: true }),
    detector: AlwaysHealthyDetector,
    clock: SystemClock,
    grants,
  });
  const sent: TargetRequest[] = [];
  const runner = new TargetRunner({
    gates: { get: () => gate },
    runs: new RunTable(SystemClock),
    activeRuns: new ActiveRuns(SystemClock),
    guard: openGuard,
    clock: SystemClock,
    target: () => makeTarget(TARGET),
    send: (_target, req) => {
      sent.push(req);
      return Promise.resolve(result);
    },
    grants,
    log,
  });
  const tracing = await openTracing("test", undefined);
  const gateServer = new GateServer({ runner, tracing, clock: SystemClock, log });
  const { server } = gateServer;
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const open = (moreHeaders: Record<string, string> = {}): ClientRequest =>
    request({
      port,
      host: "127.0.0.1",
      method: "POST",
      path: "/maps",
      headers: {
        [HOP.attempt]: ATTEMPT,
        [HOP.target]: TARGET,
        [HOP.grant]: grantId,
        [HOP.remaining]: String(REMAINING_MS),
        "content-length": 8,
        ...moreHeaders,
      },
    });
  let grantId = GrantId("none");
  const requestSlot = () =>
    gate.requestSlot(makeSlotRequest({ attempt: ATTEMPT, remainingMs: REMAINING_MS }), (reply) => {
      grantId = reply.kind === "granted" ? reply.grant : grantId;
    });
  const close = () => {
    server.closeAllConnections();
    server.close();
  };
  return { gate, gateServer, sent, close, open, requestSlot };
}

const responseOf = (req: ClientRequest): Promise<IncomingMessage> =>
  new Promise((resolve, reject) => {
    req.once("response", (res) => {
      res.resume();
      resolve(res);
    });
    req.once("error", reject);
  });

test("gate server: a slow upload keeps its slot, is signalled as alive, and runs with the remaining time", async (t) => {
  // On links of a few Mbit/s between sidecars, grants expired during uploads. Each body was then sent again to another
  // target and delayed the next upload on the link, until no upload succeeded.
  const { gate, sent, close, open, requestSlot } = await rig();
  requestSlot();
  const req = open();
  let signals = 0;
  req.on("information", () => (signals += 1));
  const response = responseOf(req);
  req.write("half");
  await sleep(UPLOAD_MS);
  t.true(gate.isBusy, "the slot is kept during the upload");
  t.true(signals >= 2, `${signals} alive signals`);
  req.end("half");
  const res = await response;
  t.is(res.headers[HOP.verdict], "done");
  const remainingMs = (sent[0]?.deadlineAt ?? Infinity) - SystemClock.now();
  t.true(remainingMs < REMAINING_MS - UPLOAD_MS / 2, `${remainingMs} ms left`);
  close();
});

test("gate server: headers between sidecars are not taken from a target's response", async (t) => {
  const result = { ...results.done, headers: { [HOP.timedOut]: "1", "x-own": "kept" } };
  const { close, open, requestSlot } = await rig(result);
  requestSlot();
  const req = open();
  req.end("complete");
  const { headers } = await responseOf(req);
  t.is(headers[HOP.timedOut], undefined);
  t.is(headers["x-own"], "kept");
  close();
});

test("gate server: an aborted upload releases its slot", async (t) => {
  const { gate, sent, close, open, requestSlot } = await rig();
  requestSlot();
  const req = open();
  req.on("error", () => undefined);
  req.write("half");
  await sleep(100);
  t.true(gate.isBusy);
  req.destroy();
  await sleep(100);
  t.false(gate.isBusy);
  t.is(sent.length, 0);
  close();
});

test("gate server: replies to a request with an expired grant before its body has arrived", async (t) => {
  const { sent, close, open } = await rig();
  const req = open();
  req.on("error", () => undefined);
  const response = responseOf(req);
  req.write("half");
  const res = await response;
  t.is(res.headers[HOP.verdict], "not-run");
  t.is(sent.length, 0);
  req.destroy();
  close();
});

const lostSenders: readonly {
  name: string;
  headers: Record<string, string>;
  isBusy: boolean;
}[] = [
  { name: "of a booking, which may reattach", headers: {}, isBusy: true },
  {
    name: "of a lookup, which does not reattach",
    headers: { [HOP.idempotent]: "1" },
    isBusy: false,
  },
];

for (const { name, headers, isBusy } of lostSenders) {
  test(`gate server: is ${isBusy ? "" : "not "}busy after it lost its connection to the sender ${name}`, async (t) => {
    // Guards against a stop that ends before a sender has got a result, or that waits for a result nobody asks for.
    const { gateServer, close, open, requestSlot } = await rig();
    requestSlot();
    const req = open(headers);
    req.on("error", () => undefined);
    req.write("half");
    await eventually(() => gateServer.openRequests.count > 0);
    t.true(gateServer.isBusy);
    req.destroy();
    await eventually(() => gateServer.openRequests.count === 0);
    t.is(gateServer.isBusy, isBusy);
    close();
  });
}
