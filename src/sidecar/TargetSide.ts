import { randomBytes } from "node:crypto";
import { join } from "node:path";
import type bunyan from "bunyan";
import type * as grpc from "@grpc/grpc-js";
import type { OperatorDocument } from "../common/document/OperatorDocument.ts";
import { Service } from "../common/document/Service.ts";
import type { TargetId } from "../common/ids/TargetId.ts";
import type { WorkspaceName } from "../common/ids/WorkspaceName.ts";
import { Disposable } from "../common/lifecycle/Disposable.ts";
import type { Clock } from "../common/lifecycle/Clock.ts";
import { every } from "../common/lifecycle/every.ts";
import type { SidecarSettings } from "../common/settings/SidecarSettings.ts";
import type { ProtoTypes } from "../common/rpc/ProtoTypes.ts";
import type { Tracing } from "../common/telemetry/Tracing.ts";
import type { Membership } from "../membership/Membership.ts";
import type { PeerClients } from "../membership/PeerClients.ts";
import type { TargetInfo } from "../membership/TargetInfo.ts";
import type { TargetState } from "../membership/TargetState.ts";
import type { TargetTable } from "../membership/TargetTable.ts";
import type { SidecarMetrics } from "./admin/SidecarMetrics.ts";
import type { HealthDetector } from "./detection/HealthDetector.ts";
import { GrayFailureDetector } from "./detection/GrayFailureDetector.ts";
import { AlwaysHealthyDetector } from "./detection/AlwaysHealthyDetector.ts";
import type { Quarantine } from "./quarantine/Quarantine.ts";
import { RunGuard } from "./quarantine/RunGuard.ts";
import { EndedTargets } from "./liveness/EndedTargets.ts";
import { isListening } from "./liveness/isListening.ts";
import type { Dialect } from "./dialect/Dialect.ts";
import type { ForwardResult } from "./forwarding/ForwardResult.ts";
import type { TargetRequest } from "./forwarding/TargetRequest.ts";
import { TargetSender } from "./forwarding/TargetSender.ts";
import { WorkspaceWeights } from "./fairness/WorkspaceWeights.ts";
import type { MemoryAccount } from "./memory/MemoryAccount.ts";
import { SlotServer } from "./gate/SlotServer.ts";
import { GateServer } from "./gate/GateServer.ts";
import { GrantIds } from "./gate/GrantIds.ts";
import { ActiveRuns } from "./gate/ActiveRuns.ts";
import { RunTable } from "./gate/RunTable.ts";
import { TargetGates } from "./gate/TargetGates.ts";
import { TargetRunner } from "./gate/TargetRunner.ts";
import { chooseDepartureHolders } from "./departures/chooseDepartureHolders.ts";
import type { DepartureControl } from "./departures/DepartureControl.ts";
import { DepartureCopies } from "./departures/DepartureCopies.ts";
import type { DepartureHolder } from "./departures/DepartureHolder.ts";
import { DepartureRecovery } from "./departures/DepartureRecovery.ts";
import { sendRecordCopies } from "./records/sendRecordCopies.ts";
import { RECORD_GROUP_SIZE } from "./records/RECORD_GROUP_SIZE.ts";
import type { RecordPeer } from "./records/RecordPeer.ts";
import { RefusalConfirmer } from "./records/RefusalConfirmer.ts";
import { chooseRecordGroup } from "./records/chooseRecordGroup.ts";
import { idempotencyKeyOf } from "./records/idempotencyKeyOf.ts";
import { AtMostOnceRunner } from "./records/AtMostOnceRunner.ts";
import { RecordHandover } from "./records/RecordHandover.ts";
import { RecordService } from "./records/RecordService.ts";
import { RemoteRecordPeer } from "./records/RemoteRecordPeer.ts";
import { RunRecords } from "./records/RunRecords.ts";
import { SyncedJournal } from "../common/storage/SyncedJournal.ts";
import { LocalTargetSignals } from "./signals/LocalTargetSignals.ts";
import type { CallerRequest } from "./routing/CallerRequest.ts";
import type { RouteMatch } from "./routing/RouteMatch.ts";
import type { TargetAnnouncements } from "./TargetAnnouncements.ts";

/** File name of the journal of run records in the data folder. */
const RECORDS_FILE = "run-records.jsonl";

/** Interval at which records past their retention time are removed, ms. */
const EXPIRY_INTERVAL_MS = 60_000;

/** Interval at which idle targets are looked for, ms. */
const IDLE_CHECK_INTERVAL_MS = 200;

/** Interval at which unused targets are looked for, ms. */
const UNUSED_CHECK_INTERVAL_MS = 1000;

/** Size of the random boot id of this process, bytes. Two incarnations of a sidecar must not have the same id. */
const BOOT_ID_BYTES = 6;

/** Rules for a service that the document does not contain, or no longer contains. */
const DEFAULT_SERVICE = Service.parse({ name: "default" });

interface TargetSideDeps {
  readonly cfg: SidecarSettings;
  readonly table: TargetTable;
  readonly membership: Membership;
  readonly clients: PeerClients;
  readonly document: () => OperatorDocument | undefined;
  readonly dialect: Dialect;
  readonly tracing: Tracing;
  readonly metrics: SidecarMetrics;
  /** Counts the bytes of requests and responses held here. */
  readonly memory: MemoryAccount;
  /** Knows the requests that crash the targets that run them. */
  readonly quarantine: Quarantine;
  /** The control replicas, which store the departures of local targets. */
  readonly departureControl: DepartureControl;
  /** Whether this sidecar has started recently, and may not know all members yet. */
  readonly isStarting: () => boolean;
  /** Sends a datagram, which may be lost. */
  readonly sendGateMessage: (address: string, message: ProtoTypes["GateMessage"]) => void;
  readonly clock: Clock;
  readonly log: bunyan;
}

/**
 * The part of a sidecar that manages its local targets: their announcements, their gates and health
 * detectors, and the idempotency records of requests that ran under a key.
 */
export class TargetSide extends Disposable implements TargetAnnouncements {
  readonly #deps: TargetSideDeps;
  readonly #gates: TargetGates;
  readonly #records: RunRecords;
  readonly #refusalConfirmer: RefusalConfirmer;
  readonly gateServer: GateServer;
  readonly #departureCopies: DepartureCopies;
  /** The runs in progress at the local targets. */
  readonly runs: ActiveRuns;
  /** Receives the slot requests that other sidecars and this one send to the local gates. */
  readonly slotServer: SlotServer;

  constructor(deps: TargetSideDeps) {
    super();
    this.#deps = deps;
    const { table, clock, log, dialect, cfg, tracing, metrics, memory, sendGateMessage } = deps;
    const grants = new GrantIds(randomBytes(BOOT_ID_BYTES).toString("hex"));
    const weights = new WorkspaceWeights(() => deps.document()?.workspaces);
    this.runs = new ActiveRuns(clock);
    this.#gates = new TargetGates({
      targets: () => table.localTargets(),
      detectorOf: (target) => this.#createDetector(target),
      maxRequestBytes: ({ service }) => this.#serviceOf(service)?.maxRequestBytes,
      mayAwaitNestedCall: (since) => this.runs.hasOpenNestedCall(since),
      clock,
      grants,
      log,
      onHealthChange: (target, load) => {
        this.slotServer.publishLoad(target, load);
      },
      onDemandChange: (target, load) => {
        this.slotServer.publishDemand(target, load);
      },
      onDemand: (service) => {
        metrics.countWorkDemand(service);
      },
      onTargetRestart: (target) => {
        sender.retireConnections(target);
      },
      fairShareRule: (service) => (this.#sharesFairly(service) ? weights : undefined),
      onFairRefusal: (service) => {
        metrics.countFairRefusal(service);
      },
    });
    metrics.watchSlotTimeShares(() => this.#gates.slotTimeShares());
    const signals = this.#createSignals();
    metrics.watchLimits(() => this.#gates.limits());
    this.#records = this.register(this.#createRecords());
    const sender = this.register(
      new TargetSender({
        dialect,
        clock,
        via: cfg.via ? cfg.id : "",
        onSignals: (...args) => {
          signals.record(...args);
        },
        responseLimits: () => deps.document()?.limits.responses ?? {},
        memory,
        onLimitExceeded: ({ id, service }, { metadata: { attempt } }, limit) => {
          log.warn({ attempt, target: id, limit }, "response exceeded a limit");
          metrics.countLimitExceeded(service);
        },
        onOtherTarget: (target, other) => {
          log.info({ target: target.id, other }, "another target answers at this address");
          table.noteReplaced(target.id);
          this.#onTargetsChanged();
        },
      }),
    );
    const atMostOnceRunner = new AtMostOnceRunner({
      group: (key) => this.#recordGroup(key),
      send: (target, req) => sender.send(target, req),
      onUnreachable: ({ metadata: { attempt } }, replies) => {
        log.info({ attempt, replies }, "too few record holders reachable");
      },
      clock,
    });
    this.#refusalConfirmer = new RefusalConfirmer({
      group: (key) => this.#recordGroup(key),
      isGroupKnown: ({ length }) => length >= RECORD_GROUP_SIZE || !deps.isStarting(),
      clock,
      log,
    });
    const runner = new TargetRunner({
      gates: this.#gates,
      runs: new RunTable(clock, memory),
      activeRuns: this.runs,
      target: (id) => table.localTargets().find((t) => t.id === id),
      send: (target, req) => sendAtMostOnce(sender, atMostOnceRunner, target, req),
      guard: this.#createGuard(sender),
      clock,
      grants,
      log,
    });
    this.gateServer = new GateServer({ runner, tracing, memory, clock, log });
    this.slotServer = new SlotServer({
      gates: this.#gates,
      metrics,
      memory,
      sendGateMessage,
      clock,
      log,
    });
    this.register(
      every(EXPIRY_INTERVAL_MS, () => {
        this.#records.expire();
      }),
    );
    this.register(
      every(IDLE_CHECK_INTERVAL_MS, () => {
        this.#gates.updateDemand();
        this.#gates.reportIdle();
      }),
    );
    this.register(every(UNUSED_CHECK_INTERVAL_MS, () => void signals.checkUnused()));
    this.#startHandover();
    this.#departureCopies = new DepartureCopies({
      ...this.#departureDeps(),
      holders: () => this.#departureHolders(table.liveMembers()),
    });
  }

  announce(...args: Parameters<TargetAnnouncements["announce"]>): string | undefined {
    const [{ target_id: target, service, state, born }, sequence] = args;
    const { log, table } = this.#deps;
    if (!this.#isServiceKnown(service)) {
      // If it were recorded, it would replace the target that is known at the same address.
      log.info({ target, service }, "announcement refused: unknown service");
      return `service ${service} is not known`;
    }
    const before = this.#stateOf(target);
    if (!table.announce(...args)) {
      const isHeld = table.isRecovering;
      log.info({ target, state, sequence, born, isHeld }, "announcement ignored");
      return undefined;
    }
    if (this.#stateOf(target) !== before) {
      log.info({ target, state, before, sequence, born }, "target state");
    }
    this.#onTargetsChanged();
    return undefined;
  }

  withdraw(target: TargetId, born: number): void {
    this.#deps.log.info({ target, born }, "target has left");
    this.#deps.table.withdraw(target, born);
    this.#onTargetsChanged();
  }

  secureDepartures(): Promise<boolean> {
    return this.#departureCopies.secure();
  }

  /**
   * Starts to recover the departures that an earlier process of this sidecar has acknowledged, if other members may know of
   * any.
   */
  startRecovery(): void {
    const { table } = this.#deps;
    const deps = this.#departureDeps();
    if (deps.hasPeers() || deps.control.addresses().length > 0) {
      const holders = () =>
        this.#departureHolders([...table.liveMembers(), ...table.goneMembers()]);
      this.register(new DepartureRecovery({ ...deps, holders })).start();
    }
  }

  /** Notes that members have returned departures of local targets from before this process was started. */
  noteDeparturesRestored(): void {
    this.#deps.log.info({ departed: this.#deps.table.departed() }, "departures restored");
    this.#onTargetsChanged();
  }

  /**
   * Confirms that a request whose attempt is refused has not been run by an earlier attempt with its idempotency key;
   * see {@link RefusalConfirmer}. A request without a key, or that may be repeated, has no earlier attempts.
   */
  async confirmRefusal(
    route: RouteMatch,
    req: CallerRequest,
    refusal: ForwardResult,
  ): Promise<ForwardResult> {
    const key = route.idempotent ? undefined : idempotencyKeyOf(req.headers);
    return key === undefined
      ? refusal
      : this.#refusalConfirmer.confirm(
          recordKey(route.service.name, req.workspace, key),
          req,
          route.timeoutMs,
          refusal,
        );
  }

  /** The gRPC handlers for the records that this sidecar keeps. */
  recordHandlers(): grpc.UntypedServiceImplementation {
    return new RecordService(this.#records, this.#deps.clock).handlers();
  }

  /**
   * Announces to the gates that this sidecar exits at `endAt` (ms, by its clock). From now on, only requests
   * whose runs are expected to end before are run.
   */
  closeBy(endAt: number): void {
    this.#gates.closeBy(endAt);
  }

  /** Refuses all further slot requests. */
  close(): void {
    this.#gates.close();
  }

  /** Whether a slot of a local target is granted or in use, or a sidecar still needs the result of a run. */
  get isBusy(): boolean {
    return this.#gates.isBusy || this.gateServer.isBusy;
  }

  /** Returns the load of each local target, for `/status`. */
  describe(): Record<string, unknown>[] {
    return this.#deps.table.localTargets().map(({ id, service }) => {
      const gate = this.#gates.get(id);
      const fairShares = this.#sharesFairly(service) ? { slotTime: gate?.slotTimeShares } : {};
      return { id, ...gate?.load, ...fairShares };
    });
  }

  /** Whether the document says to share the slot time of targets of a service among workspaces. */
  #sharesFairly(service: string): boolean {
    const { workspaces, services = [] } = this.#deps.document() ?? {};
    const isAsked = services.find((s) => s.name === service)?.fairShares === true;
    return isAsked && workspaces !== undefined;
  }

  /**
   * Whether the document contains a service; true while there is no document. The service of this sidecar's
   * callers always counts as known. Targets of other services may get routes in a later document.
   */
  #isServiceKnown(name: string): boolean {
    const { cfg, document } = this.#deps;
    const services = document()?.services;
    return !services || name === cfg.callerService || services.some((s) => s.name === name);
  }

  #serviceOf(name: string): Service | undefined {
    return this.#deps.document()?.services.find((s) => s.name === name);
  }

  #stateOf(id: string): TargetState | undefined {
    return this.#deps.table.localTargets().find((t) => t.id === id)?.state;
  }

  #onTargetsChanged(): void {
    this.#gates.targetsChanged();
    this.#deps.membership.noteLocalChange();
  }

  #departureDeps() {
    const { cfg, table, departureControl: control, clock, log } = this.#deps;
    return {
      table,
      control,
      hasPeers: () => cfg.seeds.some((seed) => seed !== table.selfAddress),
      onTargetsChanged: () => {
        this.#onTargetsChanged();
      },
      clock,
      log,
    };
  }

  /** Control replicas are left out, as they store all departures. */
  #departureHolders(members: readonly ProtoTypes["Member"][]): DepartureHolder[] {
    const { table, membership } = this.#deps;
    const sidecars = members.filter((m) => !m.control);
    return chooseDepartureHolders(table.selfId, sidecars, membership);
  }

  #createDetector(target: TargetInfo): HealthDetector {
    const { cfg, clock, log, metrics } = this.#deps;
    if (cfg.policy === "naive") {
      return AlwaysHealthyDetector;
    }
    return new GrayFailureDetector({
      rule: () => {
        return (this.#serviceOf(target.service) ?? DEFAULT_SERVICE).detection;
      },
      clock,
      log: log.child({ target: target.id, service: target.service }),
      onChange: (isEjected) => {
        metrics.countHealthChange(target.service, isEjected);
      },
    });
  }

  #createSignals(): LocalTargetSignals {
    const { table, dialect, document, clock, log } = this.#deps;
    return new LocalTargetSignals({
      table,
      gates: this.#gates,
      dialect,
      document,
      onTargetsChanged: () => {
        this.#onTargetsChanged();
      },
      clock,
      log,
    });
  }

  #createGuard(sender: TargetSender): RunGuard {
    const { quarantine, table, clock, log } = this.#deps;
    const endedTargets = new EndedTargets({
      isListening,
      onEnded: (target) => {
        sender.retireConnections(target);
        table.noteEnded(target.id);
        this.#onTargetsChanged();
      },
      log,
    });
    const target = (id: TargetId) => table.localTargets().find((t) => t.id === id);
    return new RunGuard({ quarantine, endedTargets, target, clock, log });
  }

  #createRecords(): RunRecords {
    const { cfg, clock, log } = this.#deps;
    const path = cfg.dataDir && join(cfg.dataDir, RECORDS_FILE);
    const journal = path ? new SyncedJournal<never>(path) : undefined;
    return new RunRecords(journal, () => clock.now(), log);
  }

  #recordGroup(key: string): RecordPeer[] {
    const { cfg, table, clients, clock } = this.#deps;
    const records = this.#records;
    return chooseRecordGroup(key, table.recordHolderPool()).map((holder) =>
      holder.id === cfg.id
        ? {
            id: cfg.id,
            claim: records.claim.bind(records),
            refuse: records.refuse.bind(records),
            settle: records.settle.bind(records),
          }
        : new RemoteRecordPeer(holder.id, clients.get(holder.peerAddress), clock, holder.isGone),
    );
  }

  #startHandover(): void {
    const { cfg, table, clients, clock } = this.#deps;
    const handover = this.register(
      new RecordHandover({
        selfId: cfg.id,
        records: this.#records,
        pool: () => table.recordHolderPool(),
        send: (address, due) => sendRecordCopies(clients.get(address), due, clock.now()),
      }),
    );
    handover.start();
  }
}

/**
 * Sends a request to a target. A request that is not idempotent and has an idempotency key runs at most once under
 * that key, whichever sidecars its attempts come through.
 */
function sendAtMostOnce(
  sender: TargetSender,
  atMostOnceRunner: AtMostOnceRunner,
  target: TargetInfo,
  req: TargetRequest,
): Promise<ForwardResult> {
  const key = req.idempotent ? undefined : idempotencyKeyOf(req.headers);
  return key === undefined
    ? sender.send(target, req)
    : atMostOnceRunner.run(recordKey(target.service, req.metadata.workspace, key), target, req);
}

/**
 * Key of a request's records: callers choose idempotency keys for each service, and those of one workspace must not get
 * the responses of another.
 */
function recordKey(
  service: string,
  workspace: WorkspaceName | undefined,
  idempotencyKey: string,
): string {
  return workspace === undefined
    ? `${service}/${idempotencyKey}`
    : `${service}@${workspace}/${idempotencyKey}`;
}
