import * as grpc from "@grpc/grpc-js";
import test from "ava";
import bunyan from "bunyan";
import { EMPTY_DOCUMENT } from "../src/common/document/EMPTY_DOCUMENT.ts";
import { SystemClock } from "../src/common/lifecycle/SystemClock.ts";
import { loadProto } from "../src/common/rpc/loadProto.ts";
import { startGrpcServer } from "../src/common/rpc/startGrpcServer.ts";
import { ConfigState } from "../src/control/log/ConfigState.ts";
import { controlHandlers } from "../src/control/service/controlHandlers.ts";
import type { ControlService } from "../src/control/service/ControlService.ts";
import { DocumentWatchers } from "../src/control/service/DocumentWatchers.ts";
import { DatagramLink } from "../src/membership/DatagramLink.ts";
import { DocumentCatchUp } from "../src/membership/DocumentCatchUp.ts";
import type { Membership } from "../src/membership/Membership.ts";
import { NetworkPeers } from "../src/membership/NetworkPeers.ts";
import { PeerClients } from "../src/membership/PeerClients.ts";
import { peerHandlers } from "../src/membership/peerHandlers.ts";
import { SidecarDocument } from "../src/sidecar/config/SidecarDocument.ts";
import { eventually } from "./fixtures/eventually.ts";

const log = bunyan.createLogger({ name: "test", level: "fatal" });
const stateOf = (version: number) =>
  new ConfigState({ version, document: EMPTY_DOCUMENT, accepted: [] });

/** Starts a control replica with version 1. */
async function startReplica(zone: string) {
  let listener: (() => void) | undefined;
  const replica = {
    currentState: stateOf(1),
    stateAgeMs: 50,
    onChange: (onChange: () => void) => {
      listener = onChange;
      return () => undefined;
    },
  };
  const watchers = new DocumentWatchers(replica, log);
  const server = new grpc.Server();
  const { Control, Peer } = loadProto();
  const control = controlHandlers({} as unknown as ControlService, watchers);
  server.addService(Control.service, control);
  const since = (version: number) => replica.currentState.history.updatesSince(version);
  server.addService(Peer.service, peerHandlers({} as unknown as Membership, { since }));
  const started = await startGrpcServer(server, "127.0.0.1:0", 0);
  return {
    replica: { address: `127.0.0.1:${started.port}`, zone },
    /** Commits another version, unless the replica is late. */
    commit: (version: number, isLate = false) => {
      if (!isLate) {
        replica.currentState = stateOf(version);
        listener?.();
      }
    },
    watchers,
    stop: async () => {
      watchers.dispose();
      await started.dispose();
    },
  };
}

/** Starts a sidecar in zone a that follows one replica in zone a and one in zone b. */
async function setUp() {
  const near = await startReplica("a");
  const far = await startReplica("b");
  const sources = new Map<number, string>();
  const document = new SidecarDocument({
    controls: () => [near.replica, far.replica],
    zone: "a",
    maxAgeMs: () => 60_000,
    dataDir: undefined,
    sidecarId: "s",
    clock: SystemClock,
    elapsed: () => SystemClock.now(),
    random: Math.random,
    log,
    onAnnounced: (address, version) => {
      catchUp.noteAnnounced(address, version);
    },
  });
  const { follower } = document;
  const config = {
    get version() {
      return follower.version;
    },
    get receivedVersion() {
      return follower.receivedVersion;
    },
    since: () => [],
    offer: (...[update, from]: Parameters<typeof follower.offer>) => {
      sources.set(update.version, from);
      return follower.offer(update, from);
    },
  };
  const clients = new PeerClients(loadProto().Peer.service);
  const link = new DatagramLink(SystemClock, () => undefined);
  const peers = new NetworkPeers(clients, link);
  const catchUp = new DocumentCatchUp({ peers, config, clock: SystemClock, log });
  follower.start();
  const dispose = async () => {
    catchUp.dispose();
    clients.dispose();
    link.dispose();
    await document.dispose();
    await Promise.all([near.stop(), far.stop()]);
  };
  await eventually(() => follower.version === 1 && near.watchers.count === 1);
  await eventually(() => far.watchers.count === 1);
  return { near, far, follower, sources, dispose };
}

const cases: readonly { name: string; isLate: boolean; isKilled: boolean }[] = [
  {
    name: "healthy: the update comes from the replica in the zone",
    isLate: false,
    isKilled: false,
  },
  {
    name: "late: the update is fetched from the replica that announced it",
    isLate: true,
    isKilled: false,
  },
  {
    name: "killed: the update is fetched from the replica that announced it",
    isLate: true,
    isKilled: true,
  },
];

for (const { name, isLate, isKilled } of cases) {
  test(`replica in the zone ${name}`, async (t) => {
    const { near, far, follower, sources, dispose } = await setUp();
    t.teardown(dispose);
    if (isKilled) {
      await near.stop();
    }
    const at = SystemClock.now();
    far.commit(2);
    near.commit(2, isLate);
    await eventually(() => follower.version === 2);
    t.log(`${Math.round(SystemClock.now() - at)} ms`);
    // A fetch ends the grace period; reopening the watch would take longer. DocumentCatchUp.test.ts tests its length.
    t.is(sources.get(2), isLate ? far.replica.address : undefined, "fetched only if need be");
  });
}
