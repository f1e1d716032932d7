import { request, type ClientRequest, type IncomingMessage } from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import test from "ava";
import bunyan from "bunyan";
import { makeSlotRequest } from "../../../test/fixtures/makeSlotRequest.ts";
import { makeTarget } from "../../../test/fixtures/makeTarget.ts";
import { results } from "../../../test/fixtures/results.ts";
import { AttemptId } from "../../common/ids/AttemptId.ts";
import { GrantId } from "../../common/ids/GrantId.ts";
import { TargetId } from "../../common/ids/TargetId.ts";
import { SystemClock } from "../../common/lifecycle/SystemClock.ts";
import { openTracing } from "../../common/telemetry/openTracing.ts";
import { AlwaysHealthyDetector } from "../detection/AlwaysHealthyDetector.ts";
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

/** Longer than a grant lasts that nobody takes, and than a sidecar waits for a sign of life, ms. */
const LONG_WAY_MS = 900;

const REMAINING_MS = 5000;

/** The way in to one target of one slot that does at once whatever it is given. */
async function rig() {
  const grants = new GrantIds("this life");
  const gate = new Gate({
    target: () => ({ slots: 1, takesWork: true }),
    detector: AlwaysHealthyDetector,
    clock: SystemClock,
    grants,
  });
  const sent: TargetRequest[] = [];
  const runner = new TargetRunner({
    gates: { get: () => gate },
    runs: new RunTable(SystemClock),
    here: new ActiveRuns(SystemClock),
    target: () => makeTarget(TARGET),
    send: (_target, req) => {
      sent.push(req);
      return Promise.resolve(results.done);
    },
    grants,
    log,
  });
  const tracing = await openTracing("test", undefined);
  const { server } = new GateServer({ runner, tracing, clock: SystemClock, log });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const open = (): ClientRequest =>
    request({
      port,
      host: "127.0.0.1",
      method: "POST",
      path: "/maps",
      headers: {
        [HOP.attempt]: ATTEMPT,
        [HOP.target]: TARGET,
        [HOP.grant]: given,
        [HOP.remaining]: String(REMAINING_MS),
        "content-length": 8,
      },
    });
  let given = GrantId("none");
  const grant = () =>
    gate.requestSlot(makeSlotRequest({ attempt: ATTEMPT, remainingMs: REMAINING_MS }), (reply) => {
      given = reply.kind === "granted" ? reply.grant : given;
    });
  const close = () => {
    server.closeAllConnections();
    server.close();
  };
  return { gate, sent, close, open, grant };
}

const answerOf = (req: ClientRequest): Promise<IncomingMessage> =>
  new Promise((resolve, reject) => {
    req.once("response", (res) => {
      res.resume();
      resolve(res);
    });
    req.once("error", reject);
  });

test("gate server: an upload that is long on its way keeps its slot, shows that it is alive, and gets the time that is left", async (t) => {
  // Story: sidecars on links of a few Mbit/s pass uploads on. A grant ran out while the body was on its way: it
  // came in vain, was sent again to another target, and took the link from the next one, until nothing got through.
  const { gate, sent, close, open, grant } = await rig();
  grant();
  const req = open();
  let signs = 0;
  req.on("information", () => (signs += 1));
  const answered = answerOf(req);
  req.write("half");
  await sleep(LONG_WAY_MS);
  t.true(gate.isBusy, "the slot is kept");
  t.true(signs >= 2, `${signs} signs of life`);
  req.end("half");
  const res = await answered;
  t.is(res.headers[HOP.verdict], "done");
  const leftMs = (sent[0]?.deadlineAt ?? Infinity) - SystemClock.now();
  t.true(leftMs < REMAINING_MS - LONG_WAY_MS / 2, `${leftMs} ms left`);
  close();
});

test("gate server: an upload that breaks off gives its slot back", async (t) => {
  const { gate, sent, close, open, grant } = await rig();
  grant();
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

test("gate server: a request whose grant has expired is answered before its body has arrived", async (t) => {
  const { sent, close, open } = await rig();
  const req = open();
  req.on("error", () => undefined);
  const answered = answerOf(req);
  req.write("half");
  const res = await answered;
  t.is(res.headers[HOP.verdict], "not-run");
  t.is(sent.length, 0);
  req.destroy();
  close();
});
