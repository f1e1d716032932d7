import * as grpc from "@grpc/grpc-js";
import type bunyan from "bunyan";
import { admissionCodec } from "../common/rpc/admissionCodec.ts";
import { startHttpServer } from "../common/http/startHttpServer.ts";
import { SidecarId } from "../common/ids/SidecarId.ts";
import { ZoneName } from "../common/ids/ZoneName.ts";
import { Disposable } from "../common/lifecycle/Disposable.ts";
import { ElapsedClock } from "../common/lifecycle/ElapsedClock.ts";
import { LateTimeoutReport } from "../common/lifecycle/LateTimeoutReport.ts";
import { StallClock } from "../common/lifecycle/StallClock.ts";
import { SystemClock } from "../common/lifecycle/SystemClock.ts";
import { holderReplyCodec } from "../common/rpc/holderReplyCodec.ts";
import { addMeteredService } from "../common/rpc/addMeteredService.ts";
import { loadProto } from "../common/rpc/loadProto.ts";
import type { MessageSizeListener } from "../common/rpc/MessageSizeListener.ts";
import { startGrpcServer } from "../common/rpc/startGrpcServer.ts";
import type { SidecarSettings } from "../common/settings/SidecarSettings.ts";
import { openTracing } from "../common/telemetry/openTracing.ts";
import { DatagramLink } from "../membership/DatagramLink.ts";
import { DocumentCatchUp } from "../membership/DocumentCatchUp.ts";
import { MemberZones } from "../membership/MemberZones.ts";
import { logMemberUpdates } from "../membership/logMemberUpdates.ts";
import { Membership } from "../membership/Membership.ts";
import { NetworkPeers } from "../membership/NetworkPeers.ts";
import { PeerClients } from "../membership/PeerClients.ts";
import { peerHandlers } from "../membership/peerHandlers.ts";
import { TargetTable } from "../membership/TargetTable.ts";
import { EvidenceStore } from "../membership/evidence/EvidenceStore.ts";
import { Quarantine } from "./quarantine/Quarantine.ts";
import { AdminServer } from "./admin/AdminServer.ts";
import { MemoryAccount } from "./memory/MemoryAccount.ts";
import { SidecarMetrics } from "./admin/SidecarMetrics.ts";
import type { TrafficKind } from "./admin/TrafficKind.ts";
import { CallerSide } from "./CallerSide.ts";
import type { ControlReplica } from "./config/ControlReplica.ts";
import type { ConfigFollower } from "./config/ConfigFollower.ts";
import { SidecarDocument } from "./config/SidecarDocument.ts";
import type { Dialect } from "./dialect/Dialect.ts";
import { ownDialect } from "./dialect/ownDialect.ts";
import { drainSidecar, type DrainedParts } from "./drainSidecar.ts";
import type { TargetAnnouncements } from "./TargetAnnouncements.ts";
import { TargetSide } from "./TargetSide.ts";

/** Traffic kinds of the RPC methods and datagram types, for the traffic metric. */
const TRAFFIC_KINDS: Readonly<Record<string, TrafficKind>> = {
  Datagram: "gossip",
  GateDatagram: "asks",
  Sync: "gossip",
  Config: "config",
  Watch: "config",
  Claim: "records",
  Refuse: "records",
  Settle: "records",
  Adopt: "records",
};

/** Maximum time that a stop waits for RPCs of other members, ms; the callers repeat them at other members. */
const PEER_GRACE_MS = 100;

/** Time after the start at which all live targets are known, ms; each target announces itself every 1.5 s. */
const STARTUP_MS = 2500;

/** Time at the end of a stop's grace period that is reserved for closing the remaining components, ms. */
const STOP_RESERVE_MS = 300;

/** Ports on which a sidecar listens. */
interface Ports {
  caller: number;
  admin: number;
  peer: number;
  hop: number;
}

/** The parts that exist once the sidecar has started. */
interface StartedParts extends DrainedParts {
  readonly announcements: TargetAnnouncements;
}

/**
 * The sidecar of one target VM: the root of its process's component tree. Disposing it is an orderly stop: callers
 * are still served until load balancers route them elsewhere, requests in flight end, and then all components are
 * closed in reverse order.
 */
export class SidecarRole extends Disposable {
  #cfg: SidecarSettings;
  readonly #startedAt = SystemClock.now();
  readonly #log: bunyan;
  readonly #dialect: Dialect;
  #parts: StartedParts | undefined;
  #checkReady = () => false;
  #ports: Ports = { caller: 0, admin: 0, peer: 0, hop: 0 };

  /** @param dialect maps the headers of callers and targets; by default burdockpass's own headers */
  constructor(cfg: SidecarSettings, log: bunyan, dialect: Dialect = ownDialect) {
    super();
    this.#cfg = cfg;
    this.#log = log;
    this.#dialect = dialect;
  }

  /** The ports that were bound; a setting of 0 lets the system choose one. */
  get ports(): Readonly<Ports> {
    return this.#ports;
  }

  /** Whether callers may be routed here: there are a document and another live member, and no stop is in progress. */
  get isReady(): boolean {
    return this.#checkReady();
  }

  /** Receives the announcements of local targets; available once {@link start} has returned. */
  get announcements(): TargetAnnouncements {
    if (!this.#parts) {
      throw new Error("the sidecar has not started");
    }
    return this.#parts.announcements;
  }

  /** Starts all components; the caller server last, when the components that it needs are running. */
  async start(): Promise<void> {
    const cfg = this.#cfg;
    const metrics = new SidecarMetrics();
    this.register(
      new LateTimeoutReport(this.#log, (isAnswered) => {
        metrics.lateTimeouts.inc({ input: isAnswered ? "arrived" : "missing" });
      }),
    );
    const memory = new MemoryAccount({
      maxHeldBytes: () => this.#cfg.memory.maxHeldBytes,
      onChange: (isRefusing, heldBytes) => {
        this.#log.warn({ isRefusing, heldBytes }, "memory limit");
      },
    });
    metrics.watchHeldBytes(() => memory.heldBytes);
    const tracing = await openTracing("burdockpass-sidecar", cfg.traceFile);
    const table = this.#createTable();
    const zones = new MemberZones(() => table.liveMembers());
    const onMessageSize: MessageSizeListener = (method, bytes, peer) => {
      const zone = zones.of(peer) === cfg.zone ? "same" : "other";
      metrics.countControlBytes(TRAFFIC_KINDS[method] ?? "other", zone, bytes);
    };
    const elapsed = new ElapsedClock();
    const caller: { side?: CallerSide } = {};
    const document = this.#createDocument(table, elapsed, {
      onMessageSize,
      onAnnounced: (address, version) => {
        documents.noteAnnounced(address, version);
      },
      onChange: () => {
        const { limits } = document.follower.document ?? {};
        if (limits) {
          caller.side?.onDocumentChange(limits);
        }
      },
    });
    const { follower: configFollower } = document;
    const { service: peerService } = loadProto().Peer;
    const clients = this.register(new PeerClients(peerService, onMessageSize));
    const link = this.register(new DatagramLink(SystemClock, onMessageSize));
    const sendGateMessage: DatagramLink["sendGateMessage"] = (address, message) => {
      link.sendGateMessage(address, message);
    };
    const peers = new NetworkPeers(clients, link);
    const catchUp = { peers, config: configFollower, clock: SystemClock, log: this.#log };
    const documents = this.register(new DocumentCatchUp(catchUp));
    const evidence = new EvidenceStore(SystemClock);
    const targets: { side?: TargetSide } = {};
    const membership = this.register(
      new Membership({
        evidence,
        table,
        peers,
        seeds: () => this.#cfg.seeds,
        documents,
        clock: SystemClock,
        random: Math.random,
        onMemberUpdates: logMemberUpdates(this.#log),
        onDeparturesRestored: () => {
          targets.side?.noteDeparturesRestored();
        },
      }),
    );
    const quarantine = new Quarantine({
      store: evidence,
      spread: (found) => {
        membership.addEvidence(found);
      },
      clock: SystemClock,
      log: this.#log,
      onEvent: (event) => {
        metrics.countQuarantine(event);
      },
    });
    const targetSide = this.register(
      new TargetSide({
        quarantine,
        departureControl: {
          addresses: () => this.#possibleControlAddresses(table),
          ask: (address, departed) =>
            link.askDepartures(address, { sidecar_id: cfg.id, departed: [...departed] }),
        },
        isStarting: () => this.#isStarting,
        cfg,
        table,
        membership,
        clients,
        document: () => configFollower.document,
        dialect: this.#dialect,
        tracing,
        metrics,
        memory,
        sendGateMessage,
        clock: SystemClock,
        log: this.#log,
      }),
    );
    targets.side = targetSide;
    const callerSide = this.register(
      new CallerSide({
        cfg: () => this.#cfg,
        table,
        link,
        document,
        documents,
        targetSide,
        quarantine,
        dialect: this.#dialect,
        tracing,
        metrics,
        memory,
        sendGateMessage,
        isStarting: () => this.#isStarting,
        startedAt: this.#startedAt,
        clock: SystemClock,
        elapsed: () => elapsed.now(),
        random: Math.random,
        log: this.#log,
      }),
    );
    caller.side = callerSide;
    metrics.watchConfig(
      () => configFollower,
      () => SystemClock.now(),
    );
    const peerServer = new grpc.Server();
    const peerCalls = {
      ...peerHandlers(membership, configFollower),
      ...targetSide.recordHandlers(),
    };
    addMeteredService(peerServer, peerService, peerCalls, onMessageSize);
    const peerPort = await startGrpcServer(peerServer, cfg.peer, PEER_GRACE_MS);
    this.#ports.peer = this.register(peerPort).port;
    await link.listen(cfg.peer, {
      onProbe: (gossip, from) => membership.onExchange(gossip, from),
      onCompare: (digests) => membership.onCompare(digests),
      onProbeFor: (address) => membership.onProbe(address),
      onGate: (message, from) => {
        callerSide.gateMessages.dispatch(message, from);
      },
      onAdmissionAsk: () => admissionCodec.encode(document.confirmation),
      onCreditAsk: (ask) =>
        callerSide.leases?.onCreditAsk(ask) ??
        Promise.resolve(holderReplyCodec.encode({ kind: "disabled" })),
      onLeasedCreditReturned: (ask) => {
        callerSide.leases?.onCreditReturned(ask);
      },
    });
    const hopPort = this.register(await startHttpServer(targetSide.gateServer.server, cfg.hop));
    this.#ports.hop = hopPort.port;
    membership.start(cfg.gossipIntervalMs);
    targetSide.startRecovery();
    configFollower.start();

    callerSide.start();
    const admin = new AdminServer({
      announcements: targetSide,
      metrics,
      status: () => ({
        ...this.#status(table, configFollower, callerSide, targetSide),
        quarantine: quarantine.describe(),
      }),
      quarantine,
      isReady: () => this.isReady,
      log: this.#log,
    });
    this.#ports.admin = this.register(await startHttpServer(admin.server, cfg.admin)).port;
    const callerPort = await startHttpServer(callerSide.server.server, cfg.listen);
    this.#ports.caller = callerPort.port;
    this.#parts = {
      announcements: targetSide,
      beginStop: () => {
        callerSide.beginStop();
        membership.beginStop();
        callerSide.leases?.stop();
      },
      closeCallers: () => Promise.resolve(callerPort.dispose()),
      callers: callerSide,
      gates: targetSide,
      leave: () => membership.leave(),
      openRequests: () => ({
        callers: callerSide.server.openRequests.describe(),
        runs: targetSide.gateServer.openRequests.describe(),
      }),
    };
    this.#checkReady = () => configFollower.version > 0 && table.memberCount > 1;
    this.#log.info({ ports: this.#ports, version: configFollower.version }, "sidecar started");
  }

  /** Applies the settings that can change at run time: seeds, retry budget, stop and memory. */
  reload({ seeds, retryBudget, stop, memory }: SidecarSettings): void {
    this.#cfg = { ...this.#cfg, seeds, retryBudget, stop, memory };
  }

  /** Stops in an orderly way, with the durations of the setting `stop`. */
  override async dispose(): Promise<void> {
    if (this.isDisposed) {
      return;
    }
    const parts = this.#parts;
    this.#parts = undefined;
    this.#checkReady = () => false;
    if (parts) {
      const { callersMs, graceMs } = this.#cfg.stop;
      const stopTimes = { callersMs, endsInMs: graceMs - STOP_RESERVE_MS };
      await drainSidecar(parts, stopTimes, SystemClock, this.#log);
    }
    // No caller or member waits for the remaining components, so closing them must not exceed the reserve.
    await Promise.race([super.dispose(), sleep(STOP_RESERVE_MS)]);
  }

  /** Whether this sidecar has started recently, and may not know all members and targets yet. */
  get #isStarting(): boolean {
    return SystemClock.now() - this.#startedAt < STARTUP_MS;
  }

  #createTable(): TargetTable {
    const { id, peer, hop, advertise, zone, announceTimeoutMs } = this.#cfg;
    const self = {
      id: SidecarId(id),
      peerAddress: advertise.peer ?? peer,
      hopAddress: advertise.hop ?? hop,
      zone: ZoneName(zone),
      incarnation: Date.now(),
    };
    const stalls = this.register(new StallClock(() => SystemClock.now()));
    stalls.start();
    const now = () => SystemClock.now();
    return new TargetTable(self, now, announceTimeoutMs, () => stalls.totalMs);
  }

  #createDocument(
    table: TargetTable,
    elapsed: ElapsedClock,
    listeners: Pick<
      ConstructorParameters<typeof SidecarDocument>[0],
      "onMessageSize" | "onAnnounced" | "onChange"
    >,
  ): SidecarDocument {
    const { dataDir, id, zone } = this.#cfg;
    return this.register(
      new SidecarDocument({
        controls: () => this.#controlReplicas(table),
        zone,
        maxAgeMs: () => this.#cfg.documentAge.refuseMs,
        dataDir,
        sidecarId: id,
        clock: SystemClock,
        elapsed: () => elapsed.now(),
        random: Math.random,
        log: this.#log,
        ...listeners,
      }),
    );
  }

  /** The control replicas among the live members, and those of the settings, whose zones are not known. */
  #controlReplicas(table: TargetTable): ControlReplica[] {
    const members = table.controlReplicas();
    const known = new Set(members.map((m) => m.address));
    const others = this.#cfg.control.filter((address) => !known.has(address));
    return [...members, ...others.map((address) => ({ address, zone: undefined }))];
  }

  /** Addresses of known control replicas, and of seeds, which may be some: before it joins, a sidecar knows no others. */
  #possibleControlAddresses(table: TargetTable): string[] {
    const { control, seeds } = this.#cfg;
    const known = table.controlReplicas().map((c) => c.address);
    const isSidecar = new Set(
      table.liveMembers().flatMap((m) => (m.control ? [] : [m.peer_address])),
    );
    const addresses = [...known, ...control, ...seeds].filter((a) => a !== table.selfAddress);
    return [...new Set(addresses)].filter((address) => !isSidecar.has(address));
  }

  #status(
    table: TargetTable,
    configFollower: ConfigFollower,
    { policy, leases }: CallerSide,
    targetSide: TargetSide,
  ): Record<string, unknown> {
    const rotation = new Map(policy.describe().map((d) => [d.id, d.rotation]));
    return {
      role: "sidecar",
      id: this.#cfg.id,
      zone: this.#cfg.zone,
      configVersion: configFollower.version,
      members: table.memberCount,
      targets: table.allTargets().map((t) => ({ ...t, rotation: rotation.get(t.id) ?? "in" })),
      beside: targetSide.describe(),
      ...(leases ? { heldQuotas: leases.describe() } : {}),
    };
  }
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, Math.max(0, ms)));
}
