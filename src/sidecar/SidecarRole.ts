import { join } from "node:path";
import * as grpc from "@grpc/grpc-js";
import type bunyan from "bunyan";
import { Disposable } from "../common/lifecycle/Disposable.ts";
import type { DaemonSettings } from "../common/settings/DaemonSettings.ts";
import { createTracer } from "../common/telemetry/createTracer.ts";
import { every } from "../common/lifecycle/every.ts";
import type { OperatorDocument } from "../common/document/OperatorDocument.ts";
import { loadProto } from "../common/rpc/loadProto.ts";
import { meterService } from "../common/rpc/meterService.ts";
import type { NoteBytes } from "../common/rpc/NoteBytes.ts";
import { SidecarId } from "../common/ids/SidecarId.ts";
import { startGrpcServer } from "../common/rpc/startGrpcServer.ts";
import { StallClock } from "../common/lifecycle/StallClock.ts";
import { startHttpServer } from "../common/http/startHttpServer.ts";
import { ZoneName } from "../common/ids/ZoneName.ts";
import { adoptAt } from "./records/adoptAt.ts";
import { AdaptivePolicy } from "./routing/AdaptivePolicy.ts";
import { AdminServer } from "./admin/AdminServer.ts";
import { CallerServer } from "./ingress/CallerServer.ts";
import { chooseRecordGroup } from "./records/chooseRecordGroup.ts";
import { ConfigFollower } from "./config/ConfigFollower.ts";
import { Dispatcher } from "./routing/Dispatcher.ts";
import { EvidenceExchange } from "./detection/EvidenceExchange.ts";
import { Forwarder } from "./forwarding/Forwarder.ts";
import { GrpcPeers } from "./membership/GrpcPeers.ts";
import { HealthProber } from "./detection/HealthProber.ts";
import { Membership } from "./membership/Membership.ts";
import { NaivePolicy } from "./routing/NaivePolicy.ts";
import { OnceRunner } from "./records/OnceRunner.ts";
import { OnceService } from "./records/OnceService.ts";
import { PeerClients } from "./membership/PeerClients.ts";
import { peerHandlers } from "./membership/peerHandlers.ts";
import { probeHealth } from "./detection/probeHealth.ts";
import type { RoutingPolicy } from "./routing/RoutingPolicy.ts";
import { RecordHandover } from "./records/RecordHandover.ts";
import { RemoteRecordPeer } from "./records/RemoteRecordPeer.ts";
import { RunRecords } from "./records/RunRecords.ts";
import { sendOnce } from "./forwarding/sendOnce.ts";
import { shareWith } from "./detection/shareWith.ts";
import { SidecarMetrics } from "./admin/SidecarMetrics.ts";
import { SyncedJournal } from "./records/SyncedJournal.ts";
import { TargetTable } from "./membership/TargetTable.ts";
import type { TrafficKind } from "./admin/TrafficKind.ts";

/** What each method's messages count as in the traffic metrics. */
const TRAFFIC_KINDS: Readonly<Record<string, TrafficKind>> = {
  Exchange: "gossip",
  Sync: "gossip",
  Probe: "gossip",
  Share: "gossip",
  Config: "config",
  Watch: "config",
  Run: "work",
  Claim: "records",
  Settle: "records",
  Adopt: "records",
};

/** The journal of run records, under the data folder. */
const RECORDS_FILE = "run-records.jsonl";

/** How often records past their retention are dropped, ms. */
const EXPIRE_MS = 60_000;

/** How long a stop waits for runs in flight beside this sidecar's target, ms. */
const RUN_GRACE_MS = 6000;

/** The sidecar's settings. */
type SidecarSettings = Extract<DaemonSettings, { role: "sidecar" }>;

/**
 * The sidecar beside one target VM: the root of its process's component
 * tree. It owns the caller server, the admin server, membership gossip, the
 * config follower and the forwarder; disposing it stops them in reverse.
 */
export class SidecarRole extends Disposable {
  readonly #cfg: SidecarSettings;
  readonly #log: bunyan;
  #ports = { caller: 0, admin: 0, peer: 0 };

  constructor(cfg: SidecarSettings, log: bunyan) {
    super();
    this.#cfg = cfg;
    this.#log = log;
  }

  /** Ports actually bound (settings may ask for 0). */
  get ports(): Readonly<{ caller: number; admin: number; peer: number }> {
    return this.#ports;
  }

  /** Starts every component; the caller server last, once the rest can serve it. */
  async start(): Promise<void> {
    const table = new TargetTable(
      {
        id: SidecarId(this.#cfg.id),
        peerAddress: this.#cfg.peer,
        zone: ZoneName(this.#cfg.zone),
        incarnation: Date.now(),
      },
      () => performance.now(),
    );
    const metrics = new SidecarMetrics();
    const note: NoteBytes = (method, bytes) => {
      metrics.controlBytes(TRAFFIC_KINDS[method] ?? "other", bytes);
    };
    const { service } = loadProto().Peer as grpc.ServiceClientConstructor;
    const peerService = meterService(service, note);
    const follower = this.register(
      new ConfigFollower({
        controls: this.#cfg.control,
        dataDir: this.#cfg.dataDir,
        sidecarId: this.#cfg.id,
        log: this.#log,
        note,
      }),
    );
    follower.start();

    const clients = this.register(new PeerClients(peerService));
    const membership = this.register(
      new Membership({
        table,
        peers: new GrpcPeers(clients),
        seeds: this.#cfg.seeds,
        config: follower,
        now: () => performance.now(),
        random: Math.random,
      }),
    );
    const evidence = this.#createEvidenceExchange(table, clients);
    const forwarder = this.register(new Forwarder(this.#cfg.id));
    const records = this.register(this.#openRecords());
    const runner = this.#createRunner(table, records, clients, forwarder);
    const tracer = createTracer("burdockpass-sidecar", this.#cfg.traceFile);
    const once = new OnceService({
      records,
      runner,
      localTargets: () => table.localTargets(),
      tracer,
    });
    const peerServer = new grpc.Server();
    peerServer.addService(peerService, {
      ...peerHandlers(membership, evidence, table, follower),
      ...once.handlers(),
    });
    // Stopping it waits for runs in flight here on behalf of other sidecars' callers.
    const startedPeer = await startGrpcServer(peerServer, this.#cfg.peer, RUN_GRACE_MS);
    this.#ports.peer = this.register(startedPeer).port;
    membership.start(this.#cfg.gossipIntervalMs);
    this.#startHandover(table, records, clients);

    const policy = this.#startPolicy(table, () => follower.document, evidence);
    this.#startProber(table);

    const status = () => ({
      role: "sidecar",
      id: this.#cfg.id,
      zone: this.#cfg.zone,
      configVersion: follower.version,
      members: table.memberCount,
      targets: describeTargets(table, policy),
    });
    const admin = new AdminServer({
      table,
      metrics,
      status,
      onAnnounce: () => {
        membership.noteLocalChange();
      },
    });
    this.#ports.admin = this.register(await startHttpServer(admin.server, this.#cfg.admin)).port;

    const dispatcher = new Dispatcher({
      policy,
      send: (route, target, req) => {
        if (route.idempotent) {
          return forwarder.send(target, req);
        }
        const key = `${route.service.name}/${req.headers["idempotency-key"] ?? ""}`;
        return sendOnce(clients.get(target.peerAddress), key, target, req);
      },
    });
    const caller = new CallerServer({
      routes: () => follower.routes,
      dispatcher,
      metrics,
      tracer,
      log: this.#log,
    });
    this.#ports.caller = this.register(await startHttpServer(caller.server, this.#cfg.listen)).port;
    this.#log.info({ ports: this.#ports }, "sidecar started");
  }

  #createEvidenceExchange(table: TargetTable, clients: PeerClients): EvidenceExchange {
    return new EvidenceExchange({
      selfId: table.selfId,
      selfAddress: table.selfAddress,
      share: (address, bundle) => shareWith(clients.get(address), bundle),
      now: () => performance.now(),
      random: Math.random,
    });
  }

  #startPolicy(
    table: TargetTable,
    document: () => OperatorDocument | undefined,
    evidence: EvidenceExchange,
  ): RoutingPolicy {
    if (this.#cfg.policy === "naive") {
      const naive = this.register(new NaivePolicy({ table, probe: probeHealth, log: this.#log }));
      naive.start();
      return naive;
    }
    const now = () => performance.now();
    const stalls = this.register(new StallClock(now));
    stalls.start();
    const policy = this.register(
      new AdaptivePolicy({
        table,
        document,
        now,
        random: Math.random,
        stallMs: () => stalls.totalMs,
        evidence,
        log: this.#log,
      }),
    );
    policy.start();
    return policy;
  }

  #openRecords(): RunRecords {
    const dir = this.#cfg.dataDir;
    const journal = dir ? new SyncedJournal<never>(join(dir, RECORDS_FILE)) : undefined;
    return new RunRecords(journal, Date.now);
  }

  #createRunner(
    table: TargetTable,
    records: RunRecords,
    clients: PeerClients,
    forwarder: Forwarder,
  ): OnceRunner {
    const own = {
      id: this.#cfg.id,
      claim: records.claim.bind(records),
      settle: records.settle.bind(records),
    };
    return new OnceRunner({
      group: (key) =>
        chooseRecordGroup(key, table.recordPool()).map((m) =>
          m.id === own.id ? own : new RemoteRecordPeer(m.id, clients.get(m.peerAddress)),
        ),
      send: (target, req) => forwarder.send(target, req),
    });
  }

  #startHandover(table: TargetTable, records: RunRecords, clients: PeerClients): void {
    const handover = this.register(
      new RecordHandover({
        selfId: this.#cfg.id,
        records,
        pool: () => table.recordPool(),
        send: (address, due) => adoptAt(clients.get(address), due),
      }),
    );
    handover.start();
    this.register(
      every(EXPIRE_MS, () => {
        records.expire();
      }),
    );
  }

  #startProber(table: TargetTable): void {
    const prober = this.register(
      new HealthProber({
        targets: () => table.localTargets(),
        probe: probeHealth,
        note: (target, failing) => {
          table.noteProbe(target, failing);
        },
      }),
    );
    prober.start();
  }
}

function describeTargets(table: TargetTable, policy: RoutingPolicy) {
  const rotation = new Map(policy.describe().map((d) => [d.id, d.rotation]));
  return table.allTargets().map((t) => ({ ...t, rotation: rotation.get(t.id) ?? "in" }));
}
