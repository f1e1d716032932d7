import { fork } from "node:child_process";
import { once } from "node:events";
import { fileURLToPath } from "node:url";
import * as grpc from "@grpc/grpc-js";
import test from "ava";
import bunyan from "bunyan";
import { AttemptId } from "../src/common/ids/AttemptId.ts";
import { GrantId } from "../src/common/ids/GrantId.ts";
import { ReplicaId } from "../src/common/ids/ReplicaId.ts";
import { StallClock } from "../src/common/lifecycle/StallClock.ts";
import { SystemClock } from "../src/common/lifecycle/SystemClock.ts";
import { callUnary } from "../src/common/rpc/callUnary.ts";
import { loadProto } from "../src/common/rpc/loadProto.ts";
import { Election } from "../src/control/replica/Election.ts";
import type { ReplicatedLog } from "../src/control/log/ReplicatedLog.ts";
import { AttemptOutcome } from "../src/sidecar/detection/AttemptOutcome.ts";
import { AlwaysHealthyDetector } from "../src/sidecar/detection/AlwaysHealthyDetector.ts";
import { SidecarId } from "../src/common/ids/SidecarId.ts";
import { DatagramLink } from "../src/membership/DatagramLink.ts";
import { TargetTable } from "../src/membership/TargetTable.ts";
import type { PeerClient } from "../src/membership/PeerClient.ts";
import { ownDialect } from "../src/sidecar/dialect/ownDialect.ts";
import { TargetSender } from "../src/sidecar/forwarding/TargetSender.ts";
import { DocumentWait } from "../src/sidecar/config/DocumentWait.ts";
import { WatchSupervisor } from "../src/sidecar/config/WatchSupervisor.ts";
import { Gate } from "../src/sidecar/gate/Gate.ts";
import { GrantIds } from "../src/sidecar/gate/GrantIds.ts";
import { gateCodec } from "../src/sidecar/hop/gateCodec.ts";
import { RetryTokenClient } from "../src/sidecar/hop/RetryTokenClient.ts";
import { RemoteRun } from "../src/sidecar/routing/RemoteRun.ts";
import { SlotFinder } from "../src/sidecar/routing/SlotFinder.ts";
import { blockEventLoop } from "./fixtures/blockEventLoop.ts";
import { FakeClock } from "./fixtures/FakeClock.ts";
import { FakeHop, granted } from "./fixtures/FakeHop.ts";
import { FixedPolicy } from "./fixtures/FixedPolicy.ts";
import { makeCallerRequest } from "./fixtures/makeCallerRequest.ts";
import { makeRoute } from "./fixtures/makeRoute.ts";
import { makeSlotRequest } from "./fixtures/makeSlotRequest.ts";
import { makeTarget } from "./fixtures/makeTarget.ts";
import { results } from "./fixtures/results.ts";

const log = bunyan.createLogger({ name: "test", level: "fatal" });
const target = makeTarget("a", { hopAddress: "a", askAddress: "a" });

/** What a component concludes when its event loop is blocked until after a timeout, and the awaited input has arrived. */
type Scenario = (clock: FakeClock, blockedMs: number) => Promise<unknown>;

function startRun(clock: FakeClock, idempotent: boolean) {
  const hop = new FakeHop();
  const lost: string[] = [];
  const onContactLost = () => lost.push("contact lost");
  const deps = { hop, callerService: "", clock, log, onContactLost };
  const run = new RemoteRun(deps, makeRoute({ idempotent }), makeCallerRequest(), {
    target,
    id: GrantId("b.1"),
  });
  return { hop, run, lost };
}

function findSlot(clock: FakeClock) {
  const hop = new FakeHop();
  hop.onSlotRequest = () => undefined;
  const policy = new FixedPolicy([target]);
  const requestSlot: FakeHop["requestSlot"] = (...args) => hop.requestSlot(...args);
  const deps = { policy, requestSlot, clock, log };
  const request = { route: makeRoute(), isRetryable: true };
  const finder = new SlotFinder(deps, request, makeCallerRequest(), new Set());
  return { hop, policy, finder };
}

function openGate(clock: FakeClock) {
  const overdue: number[] = [];
  const detector = { ...AlwaysHealthyDetector, recordOverdue: (ms: number) => overdue.push(ms) };
  const gate = new Gate({
    target: () => ({ slots: 1, acceptsRequests: true }),
    detector,
    clock,
    grants: new GrantIds("b"),
  });
  let grant = GrantId("none");
  gate.requestSlot(makeSlotRequest({ typicalMs: 100 }), (reply) => {
    grant = reply.kind === "granted" ? reply.grant : grant;
  });
  return { gate, grant, overdue };
}

const scenarios: readonly {
  name: string;
  blockedMs: number;
  play: Scenario;
  expected: unknown;
}[] = [
  {
    name: "a run's response at its deadline",
    blockedMs: 1000,
    play: async (clock, ms) => {
      const { hop, run } = startRun(clock, false);
      await clock.block(ms, () => hop.runs[0]?.call.answer(results.done));
      return (await run.result).verdict.kind;
    },
    expected: "done",
  },
  {
    name: "a run's heartbeat",
    blockedMs: 800,
    play: async (clock, ms) => {
      const { hop, lost } = startRun(clock, true);
      await clock.block(ms, () => hop.runs[0]?.call.onHeartbeat());
      return lost;
    },
    expected: [],
  },
  {
    name: "the response to a reattached run",
    blockedMs: 550,
    play: async (clock, ms) => {
      const { hop, run } = startRun(clock, false);
      hop.runs[0]?.call.fail();
      await clock.advance(0);
      await clock.block(ms, () => hop.reattaches[0]?.call.answer(results.done));
      return [(await run.result).verdict.kind, hop.reattaches.length];
    },
    expected: ["done", 1],
  },
  {
    name: "the reply to a slot request",
    blockedMs: 600,
    play: async (clock, ms) => {
      const { hop, policy, finder } = findSlot(clock);
      await clock.block(ms, () => hop.slotRequests[0]?.call.answer(granted));
      return [(await finder.result).kind, policy.timedOut];
    },
    expected: ["granted", []],
  },
  {
    name: "the grant to a queued request at its deadline",
    blockedMs: 900,
    play: async (clock, ms) => {
      const { hop, finder } = findSlot(clock);
      hop.slotRequests[0]?.call.onHeartbeat();
      await clock.advance(100);
      await clock.block(ms, () => hop.slotRequests[0]?.call.answer(granted));
      return (await finder.result).kind;
    },
    expected: "granted",
  },
  {
    name: "the request for a grant",
    blockedMs: 300,
    play: async (clock, ms) => {
      const { gate, grant } = openGate(clock);
      let isRedeemed = false;
      await clock.block(ms, () => {
        isRedeemed = gate.redeem(grant) !== undefined;
      });
      return isRedeemed;
    },
    expected: true,
  },
  {
    name: "the end of a run that seems overdue",
    blockedMs: 400,
    play: async (clock, ms) => {
      const { gate, grant, overdue } = openGate(clock);
      gate.redeem(grant);
      await clock.block(ms, () => {
        gate.end(grant, AttemptOutcome.Ok);
      });
      return overdue;
    },
    expected: [],
  },
  {
    name: "the reply to a request for retry tokens",
    blockedMs: 100,
    play: async (clock, ms) => {
      const ids: number[] = [];
      const sendGateMessage = (_to: string, { ask_id: id }: { ask_id: number }) => ids.push(id);
      const client = new RetryTokenClient({ sendGateMessage, clock });
      const isGranted = client.requestToken("a", []);
      await clock.block(ms, () => {
        client.receive(gateCodec.retryTokenReply(ids[0] ?? 0, true));
      });
      return isGranted;
    },
    expected: true,
  },
  {
    name: "a control replica's heartbeat",
    blockedMs: 3000,
    play: async (clock, ms) => {
      let opened = 0;
      const events: { onOpen?: () => void; onHeartbeat?: () => void } = {};
      const supervisor = new WatchSupervisor({
        choose: () => "control-1",
        open: (_address, watchEvents) => {
          opened += 1;
          Object.assign(events, watchEvents);
          return { dispose: () => undefined };
        },
        hasBetter: () => false,
        onFailure: () => undefined,
        apply: () => "taken",
        clock,
        log,
      });
      supervisor.start();
      events.onOpen?.();
      events.onHeartbeat?.();
      await clock.block(ms, () => events.onHeartbeat?.());
      return opened;
    },
    expected: 1,
  },
  {
    name: "a leader's heartbeat",
    blockedMs: 600,
    play: async (clock, ms) => {
      let elections = 0;
      const election = new Election({
        log: { id: ReplicaId("r1"), term: 1, group: { voters: [] } } as unknown as ReplicatedLog,
        link: { send: () => undefined },
        timing: { electionMinMs: 300, electionMaxMs: 500 } as never,
        clock,
        random: () => 0,
        noteTerm: () => undefined,
        onElected: () => undefined,
        canCampaign: () => true,
        onElectionTimeout: () => (elections += 1),
        writeMs: () => 0,
        enterTerm: () => true,
      });
      election.start();
      election.noteLeader();
      await clock.advance(100);
      election.noteLeader();
      await clock.block(ms, () => {
        election.noteLeader();
      });
      return elections;
    },
    expected: 0,
  },
  {
    name: "a local target's announcement",
    blockedMs: 4000,
    play: async (clock, ms) => {
      const now = () => clock.now();
      const stalls = new StallClock(now);
      const self = {
        id: SidecarId("s"),
        peerAddress: "s",
        hopAddress: "s",
        zone: target.zone,
        incarnation: 1,
      };
      const table = new TargetTable(self, now, 1500, () => stalls.totalMs);
      const announcement = {
        target_id: target.id,
        service: target.service,
        url: target.url,
        slots: 4,
        state: "ready",
        health_path: "",
        born: 1,
      };
      table.announce(announcement);
      const seen: number[] = [];
      clock.after(250, () => {
        stalls.tick();
        seen.push(table.localTargets().length);
      });
      await clock.block(ms, () => table.announce(announcement));
      await clock.advance(1400);
      seen.push(table.localTargets().length);
      return seen;
    },
    expected: [1, 1],
  },
  {
    name: "the document that held requests wait for",
    blockedMs: 900,
    play: async (clock, ms) => {
      const documentWait = new DocumentWait(clock);
      let hasDocument = false;
      const seen = documentWait.wait().then(() => hasDocument);
      await clock.block(ms, () => {
        hasDocument = true;
        documentWait.release();
      });
      return seen;
    },
    expected: true,
  },
];

for (const { name, blockedMs, play, expected } of scenarios) {
  // Guards against taking input that has arrived for missing because the event loop was blocked.
  test(`event loop blocked for ${blockedMs} ms: ${name} is not missed`, async (t) => {
    t.deepEqual(await play(new FakeClock(), blockedMs), expected);
  });
}

/** Addresses of the servers of a {@link startPeer}. */
interface DelayedPeer {
  readonly target: string;
  readonly grpcPort: number;
  readonly peerAddress: string;
}

/** Time after which the peer replies, ms: shorter than each timeout, and within the time that the loop is blocked. */
const REPLY_MS = 350;

/** Time at which the event loop is blocked, ms. */
const BLOCKED_FROM_MS = 200;

/** Starts servers in a process of their own, so that they reply while this process's event loop is blocked. */
async function startPeer(): Promise<{ peer: DelayedPeer; stop: () => void }> {
  const path = fileURLToPath(new URL("fixtures/delayedPeer.ts", import.meta.url));
  const child = fork(path, [String(REPLY_MS)], { execArgv: ["--import=tsx"] });
  const [peer] = (await once(child, "message")) as [DelayedPeer];
  const stop = () => {
    child.kill();
  };
  return { peer, stop };
}

/** Blocks the event loop until `ms` from now, from the phase after its sockets were read, where timers come next. */
function blockUntil(ms: number): void {
  const until = performance.now() + ms;
  setTimeout(() => {
    setImmediate(() => {
      blockEventLoop(until - performance.now());
    });
  }, BLOCKED_FROM_MS);
}

const replies: readonly {
  name: string;
  timeoutMs: number;
  request: (peer: DelayedPeer, timeoutMs: number) => Promise<unknown>;
}[] = [
  {
    name: "a target's response at the deadline",
    timeoutMs: 500,
    request: async ({ target: url }, timeoutMs) => {
      const sender = new TargetSender({ dialect: ownDialect, clock: SystemClock, via: "" });
      const result = await sender.send(makeTarget("t", { url }), {
        method: "GET",
        path: "/",
        headers: ["Host", "desk.example"],
        body: undefined,
        metadata: {
          attempt: AttemptId("a"),
          target: target.id,
          callerService: "",
          echoHeader: "x-echo",
        },
        deadlineAt: SystemClock.now() + timeoutMs,
        idempotent: false,
      });
      sender.dispose();
      return result.verdict.kind;
    },
  },
  {
    name: "a gRPC reply",
    timeoutMs: 400,
    request: async ({ grpcPort }, timeoutMs) => {
      const Peer = loadProto().Peer;
      const credentials = grpc.credentials.createInsecure();
      const client = new Peer(`127.0.0.1:${grpcPort}`, credentials) as unknown as PeerClient;
      const req = { key: "k", attempt: "a", record: null };
      await callUnary(client.Settle.bind(client), req, timeoutMs);
      client.close();
      return "done";
    },
  },
  {
    name: "the datagram of a probe's helper",
    timeoutMs: 700,
    request: async ({ peerAddress }) => {
      const link = new DatagramLink(SystemClock, () => undefined);
      await link.listen("127.0.0.1:0", {
        onProbe: () => ({}) as never,
        onCompare: () => ({}) as never,
        onProbeFor: () => Promise.resolve(),
      });
      await link.probeFor(peerAddress, "member");
      link.dispose();
      return "done";
    },
  },
];

for (const { name, timeoutMs, request } of replies) {
  test.serial(`event loop blocked over the timeout: ${name} is read from the socket`, async (t) => {
    const { peer, stop } = await startPeer();
    t.teardown(stop);
    blockUntil(timeoutMs + 200);
    t.is(await request(peer, timeoutMs).catch(String), "done");
  });
}
