import { setTimeout as sleep } from "node:timers/promises";
import * as grpc from "@grpc/grpc-js";
import test, { type ExecutionContext } from "ava";
import bunyan from "bunyan";
import { DocumentHistory } from "../src/common/document/DocumentHistory.ts";
import { EMPTY_DOCUMENT } from "../src/common/document/EMPTY_DOCUMENT.ts";
import type { OperatorDocument } from "../src/common/document/OperatorDocument.ts";
import { SystemClock } from "../src/common/lifecycle/SystemClock.ts";
import { loadProto } from "../src/common/rpc/loadProto.ts";
import { startGrpcServer } from "../src/common/rpc/startGrpcServer.ts";
import type { ConfigState } from "../src/control/log/ConfigState.ts";
import { controlHandlers } from "../src/control/service/controlHandlers.ts";
import type { ControlService } from "../src/control/service/ControlService.ts";
import { DocumentWatchers } from "../src/control/service/DocumentWatchers.ts";
import { PeerClients } from "../src/membership/PeerClients.ts";
import { NetworkPeers } from "../src/membership/NetworkPeers.ts";
import type { DatagramLink } from "../src/membership/DatagramLink.ts";
import type { ConfigFollower } from "../src/sidecar/config/ConfigFollower.ts";
import { SidecarDocument } from "../src/sidecar/config/SidecarDocument.ts";
import { eventually } from "./fixtures/eventually.ts";
import { SlowLink } from "./fixtures/SlowLink.ts";

const log = bunyan.createLogger({ name: "test", level: "fatal" });

/** One-way delay, ms: a round trip takes longer than the time that a connection over a fast link has for a response. */
const DELAY_MS = 700;

/** Longer than a connection over a fast link is kept open without a response, ms. */
const PAST_IDLE_TIMEOUT_MS = 2500;

/** Limit for the first document to arrive over the slow link, ms: three round trips after one failed attempt. */
const FIRST_DOCUMENT_MS = 8000;

/** Limit for a change to arrive, ms: it crosses the link once. */
const CHANGE_ARRIVAL_MS = 2000;

/** Age of the document up to which a starting sidecar acts on it, ms. */
const MAX_AGE_MS = 2000;

/** Builds a document of about `bytes` bytes. */
function documentOf(bytes: number): OperatorDocument {
  const [limits, text] = [EMPTY_DOCUMENT.limits, "x".repeat(bytes)];
  return { ...EMPTY_DOCUMENT, limits, annotations: { text } } as unknown as OperatorDocument;
}

/** Starts a control service behind two slow links, and a sidecar's config follower that watches it through both. */
async function setUp(t: ExecutionContext) {
  const history = new DocumentHistory();
  const listeners = new Set<() => void>();
  const replica = {
    stateAgeMs: 0,
    currentState: {
      history,
      get version() {
        return history.version;
      },
    } as unknown as ConfigState,
    onChange: (listener: () => void) => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
  };
  const watchers = new DocumentWatchers(replica, log);
  const server = new grpc.Server();
  server.addService(
    loadProto().Control.service,
    controlHandlers({} as unknown as ControlService, watchers),
  );
  const started = await startGrpcServer(server, "127.0.0.1:0", 0);
  const links = [new SlowLink(started.port), new SlowLink(started.port)];
  const controls = await Promise.all(links.map((l) => l.start()));
  const document = new SidecarDocument({
    controls: () => controls.map((address) => ({ address, zone: undefined })),
    zone: "a",
    maxAgeMs: () => MAX_AGE_MS,
    dataDir: undefined,
    sidecarId: "s",
    clock: SystemClock,
    elapsed: () => SystemClock.now(),
    random: Math.random,
    log,
  });
  const { follower } = document;
  t.teardown(async () => {
    await document.dispose();
    watchers.dispose();
    links.forEach((l) => {
      l.stop();
    });
    await started.dispose();
  });
  return {
    links,
    follower,
    publish: (version: number, bytes = 0) => {
      history.apply({ kind: "whole", version, document: documentOf(bytes) });
      listeners.forEach((listener) => {
        listener();
      });
    },
  };
}

/** Waits until the follower has `version`; resolves with the time that took, ms, or Infinity if it did not arrive. */
async function waitForVersion(follower: ConfigFollower, version: number): Promise<number> {
  const startedAt = performance.now();
  await eventually(() => follower.version === version);
  return follower.version === version ? performance.now() - startedAt : Infinity;
}

test("a document change reaches a sidecar whose link has become slower than the keepalive timeout", async (t) => {
  const { links, follower, publish } = await setUp(t);
  publish(1);
  follower.start();
  await waitForVersion(follower, 1);
  links.forEach((l) => (l.delayMs = DELAY_MS));
  await sleep(PAST_IDLE_TIMEOUT_MS);
  publish(2);
  const ms = await waitForVersion(follower, 2);
  t.true(ms < CHANGE_ARRIVAL_MS, `version received after ${ms} ms`);
});

test("the first document reaches a sidecar whose link is slower than the time to open a watch", async (t) => {
  const { links, follower, publish } = await setUp(t);
  publish(1);
  links.forEach((l) => (l.delayMs = DELAY_MS));
  follower.start();
  const ms = await waitForVersion(follower, 1);
  t.true(ms < FIRST_DOCUMENT_MS, `version received after ${ms} ms`);
});

test("a large document change reaches a sidecar whose link takes seconds to transfer it", async (t) => {
  const { links, follower, publish } = await setUp(t);
  publish(1);
  follower.start();
  await waitForVersion(follower, 1);
  links.forEach((l) => (l.bytesPerS = 200_000));
  publish(2, 1_000_000);
  const ms = await waitForVersion(follower, 2);
  t.true(ms < FIRST_DOCUMENT_MS, `version received after ${ms} ms`);
});

test("a document change reaches a sidecar whose watch connections drop all data without a reset", async (t) => {
  const { links, follower, publish } = await setUp(t);
  publish(1);
  follower.start();
  await waitForVersion(follower, 1);
  links.forEach((l) => {
    l.silence();
  });
  await sleep(PAST_IDLE_TIMEOUT_MS);
  publish(2);
  const ms = await waitForVersion(follower, 2);
  t.true(ms < CHANGE_ARRIVAL_MS, `version received after ${ms} ms`);
});

test("a sidecar joins through a seed to which a connection takes longer than the timeout of a call", async (t) => {
  const { service } = loadProto().Peer;
  const server = new grpc.Server();
  const sync: grpc.handleUnaryCall<unknown, unknown> = (_call, cb) => {
    cb(null, { members: [] });
  };
  server.addService(service, { Sync: sync });
  const started = await startGrpcServer(server, "127.0.0.1:0", 0);
  const link = new SlowLink(started.port);
  link.delayMs = DELAY_MS;
  const seed = await link.start();
  const clients = new PeerClients(service);
  const peers = new NetworkPeers(clients, { dispose: () => undefined } as unknown as DatagramLink);
  t.teardown(async () => {
    clients.dispose();
    link.stop();
    await started.dispose();
  });
  let hasJoined = false;
  // Like a member that knows no others, calls the seed every second, whether or not the previous call has ended.
  await eventually(async () => {
    void peers.sync(seed, { members: [], evidence: [] }).then(
      () => (hasJoined = true),
      () => undefined,
    );
    await sleep(1000);
    return hasJoined;
  });
  t.true(hasJoined);
});
