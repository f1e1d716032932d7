import { createServer } from "node:http";
import { join } from "node:path";
import * as grpc from "@grpc/grpc-js";
import type bunyan from "bunyan";
import { admissionCodec } from "../common/rpc/admissionCodec.ts";
import type { CreditOutcome } from "../common/rpc/CreditOutcome.ts";
import { leaseCodec } from "../common/rpc/leaseCodec.ts";
import { startHttpServer } from "../common/http/startHttpServer.ts";
import { sendJson } from "../common/http/sendJson.ts";
import { publishDocument } from "../common/document/publishDocument.ts";
import { ReplicaId } from "../common/ids/ReplicaId.ts";
import { SidecarId } from "../common/ids/SidecarId.ts";
import { ZoneName } from "../common/ids/ZoneName.ts";
import { Disposable } from "../common/lifecycle/Disposable.ts";
import { ElapsedClock } from "../common/lifecycle/ElapsedClock.ts";
import { LateTimeoutReport } from "../common/lifecycle/LateTimeoutReport.ts";
import { SystemClock } from "../common/lifecycle/SystemClock.ts";
import type { LeaseReply } from "../common/rpc/LeaseReply.ts";
import { loadProto } from "../common/rpc/loadProto.ts";
import { startGrpcServer } from "../common/rpc/startGrpcServer.ts";
import type { ControlSettings } from "../common/settings/ControlSettings.ts";
import { SyncedJournal } from "../common/storage/SyncedJournal.ts";
import { renderMetrics } from "../common/telemetry/renderMetrics.ts";
import { DatagramLink } from "../membership/DatagramLink.ts";
import { EvidenceStore } from "../membership/evidence/EvidenceStore.ts";
import { logMemberUpdates } from "../membership/logMemberUpdates.ts";
import { Membership } from "../membership/Membership.ts";
import { NetworkPeers } from "../membership/NetworkPeers.ts";
import { PeerClients } from "../membership/PeerClients.ts";
import { peerHandlers } from "../membership/peerHandlers.ts";
import { TargetTable } from "../membership/TargetTable.ts";
import { ControlMetrics } from "./ControlMetrics.ts";
import { DepartureStore } from "./departures/DepartureStore.ts";
import { FileReplicaStore } from "./log/FileReplicaStore.ts";
import { GrpcReplicaLink } from "./link/GrpcReplicaLink.ts";
import { QuotaLeases } from "./quota/QuotaLeases.ts";
import { describeWorkspaces } from "./quota/describeWorkspaces.ts";
import { VoterShares } from "./quota/VoterShares.ts";
import { WorkspaceQuotas } from "./quota/WorkspaceQuotas.ts";
import { Replica } from "./replica/Replica.ts";
import { replicaHandlers } from "./link/replicaHandlers.ts";
import { ReplicatedLog } from "./log/ReplicatedLog.ts";
import type { ReplicaTiming } from "./replica/ReplicaTiming.ts";
import { controlHandlers } from "./service/controlHandlers.ts";
import { ControlService } from "./service/ControlService.ts";
import { DocumentWatchers } from "./service/DocumentWatchers.ts";

/**
 * Timing for zones 1.5 ms apart and disks on which a sync takes 2 ms, or up to 70 on a slow
 * one. A lost leader is replaced within two seconds, so that a change request sent in the
 * meantime is acknowledged within four.
 */
const TIMING: ReplicaTiming = {
  heartbeatMs: 150,
  leaseMs: 700,
  electionMinMs: 800,
  electionMaxMs: 1500,
  commitTimeoutMs: 2500,
  replaceAfterMs: 1500,
  joinIntervalMs: 300,
};

/** Limit for the random number of the first reply to a leader; the numbers are sent as 32 bits. */
const MAX_FIRST_REPLY = 2 ** 30;

/** Reply to a request for a lease where leases are not enabled. */
const LEASES_DISABLED: LeaseReply = {
  kind: "refused",
  reason: "disabled",
  holder: "",
  leftMs: 1000,
};

/** File name of the departures of targets in the data folder. */
const DEPARTURES_FILE = "departures.jsonl";

/** Maximum time that a stop waits for open calls, such as document watches, to end, ms. */
const STOP_GRACE_MS = 500;

/**
 * The control role of the daemon: one of three or five control replicas, which agree on the
 * operators' configuration document, store it on disk, and serve it to sidecars and the CLI
 * over gRPC.
 */
export class ControlRole extends Disposable {
  #cfg: ControlSettings;
  readonly #log: bunyan;
  #service: ControlService | undefined;
  readonly #metrics = new ControlMetrics();
  readonly #elapsed = new ElapsedClock();
  /** Whether the disk was empty at the start. */
  #isDiskEmpty = false;

  constructor(cfg: ControlSettings, log: bunyan) {
    super();
    this.#cfg = cfg;
    this.#log = log;
  }

  /** Handles change requests and reads; available once {@link start} has resolved. */
  get service(): ControlService {
    if (!this.#service) {
      throw new Error("the control role has not started");
    }
    return this.#service;
  }

  /** Opens the log, joins the membership and the control group, and starts the servers. */
  async start(): Promise<void> {
    const { listen } = this.#cfg;
    this.register(
      new LateTimeoutReport(this.#log, (isAnswered) => {
        this.#metrics.lateTimeouts.inc({ input: isAnswered ? "arrived" : "missing" });
      }),
    );
    const replica = this.#openReplica();
    const service = new ControlService(replica, SystemClock, this.#log);
    this.#service = service;
    const watchers = new DocumentWatchers(replica, this.#log);
    const quotas = this.#createQuotas(replica);
    const leases = this.#createLeases(quotas);
    const departures = this.#createDepartureStore();
    const proto = loadProto();
    const peerService = proto.Peer.service;
    const link = new DatagramLink(SystemClock, () => undefined);
    const clients = this.register(new PeerClients(peerService));
    const membership = this.#createMembership(replica, new NetworkPeers(clients, link));
    const server = new grpc.Server();
    server.addService(proto.Control.service, controlHandlers(service, watchers));
    server.addService(loadProto("replica").Replica.service, replicaHandlers(replica));
    server.addService(
      peerService,
      peerHandlers(membership, {
        since: (version: number) =>
          (replica.currentState?.history.updatesSince(version) ?? []).map(publishDocument),
      }),
    );
    const { port } = this.register(await startGrpcServer(server, listen, STOP_GRACE_MS));
    const takeCredit = (workspace: string, canLease: boolean): CreditOutcome =>
      leases ? leases.takeCredit(workspace, canLease) : quotas.take(workspace);
    await link.listen(listen, {
      onProbe: (updates, from) => membership.onExchange(updates, from),
      onCompare: (digests) => membership.onCompare(digests),
      onProbeFor: (address) => membership.onProbe(address),
      onAdmissionAsk: ({ workspace, can_lease }) =>
        admissionCodec.encode({
          version: replica.currentState?.version ?? 0,
          ageMs: replica.inTouch ? replica.stateAgeMs : undefined,
          credit: workspace === "" ? undefined : takeCredit(workspace, can_lease),
        }),
      onDepartureAsk: async ({ sidecar_id: sidecar, departed }) => {
        await departures.store(sidecar, departed);
        return {
          replica: replica.id,
          voters: replica.group.voters.map(({ id, address }) => ({ id, address })),
          next_voters: (replica.group.next ?? []).map(({ id, address }) => ({ id, address })),
          group_index: Math.max(0, replica.groupIndex),
          complete: departures.isComplete,
          departed: departures.of(sidecar),
        };
      },
      onLeaseAsk: (ask) =>
        leaseCodec.encodeReply(leases?.ask(leaseCodec.decodeAsk(ask)) ?? LEASES_DISABLED),
      onLeaseReleased: (ask) => {
        leases?.release(leaseCodec.decodeRelease(ask));
      },
      onCreditReturned: (workspace) => {
        quotas.putBack(workspace);
      },
    });
    this.register(link);
    this.register(watchers);
    this.register({
      dispose: async () => {
        replica.handOver();
        await membership.leave();
      },
    });
    replica.start();
    membership.start(this.#cfg.gossipIntervalMs);
    this.register(
      await startHttpServer(
        this.#createAdminServer(replica, watchers, { quotas, leases }),
        this.#cfg.admin,
      ),
    );
    const { version } = replica.state;
    this.#log.info({ grpcPort: port, version, replica: replica.id }, "control started");
  }

  /** Applies the settings that can change at runtime, which are the seeds. */
  reload({ seeds }: ControlSettings): void {
    this.#cfg = { ...this.#cfg, seeds };
  }

  get #initialGroup(): readonly string[] {
    const { seeds, listen } = this.#cfg;
    return seeds.length > 0 ? seeds : [listen];
  }

  /** Number of voters needed for the configured fault tolerance. */
  get #wantedVoters(): number {
    return 2 * (this.#cfg.tolerate ?? Math.floor((this.#initialGroup.length - 1) / 2)) + 1;
  }

  #openReplica(): Replica {
    const { listen, zone, api, dataDir, bootstrap } = this.#cfg;
    const initialGroup = this.#initialGroup;
    const link = this.register(new GrpcReplicaLink());
    // A single replica cannot receive state from another one, so an empty disk means a first start.
    const isFirstStart = bootstrap || (initialGroup.length === 1 && initialGroup[0] === listen);
    const log = new ReplicatedLog(new FileReplicaStore(dataDir), () => {
      this.#isDiskEmpty = true;
      return isFirstStart
        ? {
            id: ReplicaId(listen),
            voters: initialGroup.map((address) => ({ id: ReplicaId(address), address, zone: "" })),
          }
        : { id: ReplicaId(`${listen}~${randomSuffix()}`), voters: [] };
    });
    return this.register(
      new Replica({
        self: { address: listen, zone, api: api ?? listen },
        contacts: () => [...this.#cfg.seeds, ...initialGroup],
        wantedVoters: this.#wantedVoters,
        log,
        link,
        timing: TIMING,
        clock: SystemClock,
        elapsed: () => this.#elapsed.now(),
        firstReply: Math.floor(Math.random() * MAX_FIRST_REPLY),
        random: Math.random,
        logger: this.#log,
        onWrite: (ms) => {
          this.#metrics.observeWrite(ms);
        },
      }),
    );
  }

  #createDepartureStore(): DepartureStore {
    const { dataDir, listen } = this.#cfg;
    const store = this.register(
      new DepartureStore({
        journal: new SyncedJournal(join(dataDir, DEPARTURES_FILE)),
        // A replica that joins the group later was not sent what the first voters were.
        isFirstStart: this.#isFirstStart && this.#initialGroup.includes(listen),
        clock: SystemClock,
        log: this.#log,
      }),
    );
    store.open();
    return store;
  }

  #createQuotas(replica: Replica): WorkspaceQuotas {
    const { bootstrap, quotaLeases } = this.#cfg;
    const leaseTermMs = quotaLeases?.termMs ?? 0;
    const shares = new VoterShares({
      replica,
      wantedVoters: this.#wantedVoters,
      leaseTermMs,
      clock: SystemClock,
    });
    const stopListening = replica.onChange(() => {
      shares.update();
    });
    this.register({ dispose: stopListening });
    return new WorkspaceQuotas({
      document: () => replica.state.document,
      holders: () => shares.holders,
      tolerance: () => this.#cfg.quotaTolerance,
      isFirstStart: quotaLeases ? this.#isFirstStart : bootstrap,
      leaseTermMs,
      clock: SystemClock,
    });
  }

  /** Undefined if leases are not enabled. */
  #createLeases(quotas: WorkspaceQuotas): QuotaLeases | undefined {
    const { quotaLeases } = this.#cfg;
    if (!quotaLeases) {
      return undefined;
    }
    const leases = new QuotaLeases({
      quotas,
      termMs: quotaLeases.termMs,
      isFirstStart: this.#isFirstStart,
      clock: SystemClock,
      random: Math.random,
      onEvent: (event) => {
        this.#metrics.countLeaseEvent(event);
      },
    });
    this.#metrics.watchLeases(() => leases.count);
    return leases;
  }

  /** Whether no earlier incarnation of any replica can have leased anything, also if `bootstrap` was left in the settings. */
  get #isFirstStart(): boolean {
    return this.#cfg.bootstrap && this.#isDiskEmpty;
  }

  /** Control replicas are members too, so that sidecars discover them, and each other, through any of them. */
  #createMembership(replica: Replica, peers: NetworkPeers): Membership {
    const { id, zone, listen } = this.#cfg;
    const self = {
      id: SidecarId(id),
      peerAddress: listen,
      zone: ZoneName(zone),
      incarnation: Date.now(),
    };
    const table = new TargetTable(self, () => SystemClock.now());
    return this.register(
      new Membership({
        // Control replicas run no requests, but pass evidence on, and members may join through them.
        evidence: new EvidenceStore(SystemClock),
        table,
        peers,
        seeds: () => this.#cfg.seeds,
        documents: documentVersionOf(replica),
        clock: SystemClock,
        random: Math.random,
        onMemberUpdates: logMemberUpdates(this.#log),
      }),
    );
  }

  #createAdminServer(
    replica: Replica,
    watchers: DocumentWatchers,
    { quotas, leases }: { quotas: WorkspaceQuotas; leases: QuotaLeases | undefined },
  ) {
    const { registry } = this.#metrics;
    this.#metrics.observe(replica, watchers);
    return createServer((req, res) => {
      if (req.url === "/workspaces") {
        sendJson(res, 200, describeWorkspaces(replica.state.document, quotas, leases));
        return;
      }
      if (req.url !== "/metrics") {
        sendJson(res, 200, this.#status(replica));
        return;
      }
      renderMetrics(registry).then(
        (text) => {
          res.setHeader("content-type", registry.contentType);
          res.end(text);
        },
        (err: unknown) => {
          this.#log.error({ err }, "metrics could not be gathered");
          sendJson(res, 500, { error: "metrics could not be gathered" });
        },
      );
    });
  }

  #status(replica: Replica): Record<string, unknown> {
    return {
      role: "control",
      id: this.#cfg.id,
      replica: replica.role,
      leader: replica.leader?.id ?? "",
      voters: replica.voters.map((v) => v.id),
      inTouch: replica.inTouch,
      version: replica.state.version,
    };
  }
}

/**
 * The document version that gossip announces: 0 while the state is not known to be current. Versions that other members
 * announce are ignored: a control replica receives the document only through its log.
 */
function documentVersionOf(replica: Replica) {
  return {
    get version() {
      return replica.currentState?.version ?? 0;
    },
    noteVersion: () => undefined,
  };
}

function randomSuffix(): string {
  return Math.floor(Math.random() * 2 ** 48).toString(36);
}
