import { randomBytes } from "node:crypto";
import { join } from "node:path";
import type bunyan from "bunyan";
import type * as grpc from "@grpc/grpc-js";
import type { OperatorDocument } from "../common/document/OperatorDocument.ts";
import { Service } from "../common/document/Service.ts";
import type { TargetId } from "../common/ids/TargetId.ts";
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
import type { Dialect } from "./dialect/Dialect.ts";
import type { ForwardResult } from "./forwarding/ForwardResult.ts";
import type { TargetRequest } from "./forwarding/TargetRequest.ts";
import { TargetSender } from "./forwarding/TargetSender.ts";
import { SlotServer } from "./gate/SlotServer.ts";
import { GateServer } from "./gate/GateServer.ts";
import { GrantIds } from "./gate/GrantIds.ts";
import { ActiveRuns } from "./gate/ActiveRuns.ts";
import { RunTable } from "./gate/RunTable.ts";
import { TargetGates } from "./gate/TargetGates.ts";
import { TargetRunner } from "./gate/TargetRunner.ts";
import { adoptAt } from "./records/adoptAt.ts";
import { chooseRecordGroup } from "./records/chooseRecordGroup.ts";
import { idempotencyKeyOf } from "./records/idempotencyKeyOf.ts";
import { AtMostOnceRunner } from "./records/AtMostOnceRunner.ts";
import { RecordHandover } from "./records/RecordHandover.ts";
import { RecordService } from "./records/RecordService.ts";
import { RemoteRecordPeer } from "./records/RemoteRecordPeer.ts";
import { RunRecords } from "./records/RunRecords.ts";
import { SyncedJournal } from "./records/SyncedJournal.ts";
import type { TargetAnnouncements } from "./TargetAnnouncements.ts";

/** The journal of run records, under the data folder. */
const RECORDS_FILE = "run-records.jsonl";

/** How often records past their retention are dropped, ms. */
const EXPIRE_MS = 60_000;

/** Length of the name of a life of this process: two lives of one sidecar must not have the same. */
const BOOT_BYTES = 6;

/** Rules for a service that the document does not name (any more). */
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
  /** Sends a message that may be lost. */
  readonly tell: (address: string, message: ProtoTypes["GateMessage"]) => void;
  readonly clock: Clock;
  readonly log: bunyan;
}

/**
 * The part of a sidecar that faces the targets beside it: who is there, the gates to
 * them, what is thought of them, and the records of what ran under a key.
 */
export class TargetSide extends Disposable implements TargetAnnouncements {
  readonly #deps: TargetSideDeps;
  readonly #gates: TargetGates;
  readonly #records: RunRecords;
  readonly gateServer: GateServer;
  /** The runs under way at the targets here. */
  readonly runs: ActiveRuns;
  /** Takes what other sidecars, and this one, ask the gates here. */
  readonly slotServer: SlotServer;

  constructor(deps: TargetSideDeps) {
    super();
    this.#deps = deps;
    const { table, clock, log, dialect, cfg, tracing, metrics, tell } = deps;
    const grants = new GrantIds(randomBytes(BOOT_BYTES).toString("hex"));
    this.runs = new ActiveRuns(clock);
    this.#gates = new TargetGates({
      targets: () => table.localTargets(),
      detectorOf: (target) => this.#detectorOf(target),
      waitsForCall: (since) => this.runs.hasOpenCall(since),
      clock,
      grants,
      log,
      onJudged: (target, load) => {
        this.slotServer.publishLoad(target, load);
      },
      onNewLife: (target) => {
        sender.renew(target);
      },
    });
    this.#records = this.register(this.#openRecords());
    const sender = this.register(
      new TargetSender({
        dialect,
        clock,
        via: cfg.via ? cfg.id : "",
        onOtherTarget: (target, other) => {
          log.info({ target: target.id, other }, "another target answers at this address");
          table.noteReplaced(target.id);
          this.#changed();
        },
      }),
    );
    const once = this.#onceRunner(sender);
    const runner = new TargetRunner({
      gates: this.#gates,
      runs: new RunTable(clock),
      here: this.runs,
      target: (id) => table.localTargets().find((t) => t.id === id),
      send: (target, req) => sendUnderKey(sender, once, target, req),
      grants,
      log,
    });
    this.gateServer = new GateServer({ runner, tracing, clock, log });
    this.slotServer = new SlotServer({ gates: this.#gates, metrics, tell, clock, log });
    this.register(
      every(EXPIRE_MS, () => {
        this.#records.expire();
      }),
    );
    this.#startHandover();
  }

  announce(...args: Parameters<TargetAnnouncements["announce"]>): string | undefined {
    const [{ target_id: target, service, state, born }, sequence] = args;
    const { log, table } = this.#deps;
    if (!this.#isServiceKnown(service)) {
      // Taken for a target at its address, it would displace the one that is there.
      log.info({ target, service }, "announcement of a service that is not known");
      return `service ${service} is not known`;
    }
    const before = this.#stateOf(target);
    if (!table.announce(...args)) {
      log.info({ target, state, sequence, born }, "announcement not taken");
      return undefined;
    }
    if (this.#stateOf(target) !== before) {
      log.info({ target, state, before, sequence, born }, "target state");
    }
    this.#changed();
    return undefined;
  }

  withdraw(target: TargetId, born: number): void {
    this.#deps.log.info({ target, born }, "target has left");
    this.#deps.table.withdraw(target, born);
    this.#changed();
  }

  /** The gRPC handlers for the records that this sidecar keeps. */
  recordHandlers(): grpc.UntypedServiceImplementation {
    return new RecordService(this.#records, this.#deps.clock).handlers();
  }

  /** This sidecar is being stopped, and ends at `endAt` by its clock, ms: what can be over by then is run. */
  closeBy(endAt: number): void {
    this.#gates.closeBy(endAt);
  }

  /** Takes no more asks. */
  close(): void {
    this.#gates.close();
  }

  /** True while a slot of a target here is granted or in use. */
  get isBusy(): boolean {
    return this.#gates.isBusy;
  }

  /** Load of each target here, for `/status`. */
  describe(): Record<string, unknown>[] {
    return this.#deps.table
      .localTargets()
      .map((t) => ({ id: t.id, ...this.#gates.get(t.id)?.load }));
  }

  /** Whether the document names a service, as far as there is a document; a target of another may come to be routed to later. */
  #isServiceKnown(name: string): boolean {
    const { cfg, document } = this.#deps;
    const services = document()?.services;
    return !services || name === cfg.callerService || services.some((s) => s.name === name);
  }

  #stateOf(id: string): TargetState | undefined {
    return this.#deps.table.localTargets().find((t) => t.id === id)?.state;
  }

  #changed(): void {
    this.#gates.targetsChanged();
    this.#deps.membership.noteLocalChange();
  }

  #detectorOf(target: TargetInfo): HealthDetector {
    const { cfg, document, clock, log, metrics } = this.#deps;
    if (cfg.policy === "naive") {
      return AlwaysHealthyDetector;
    }
    return new GrayFailureDetector({
      rule: () => {
        const service = document()?.services.find((s) => s.name === target.service);
        return (service ?? DEFAULT_SERVICE).detection;
      },
      clock,
      log: log.child({ target: target.id, service: target.service }),
      onChange: (isEjected) => {
        metrics.countHealthChange(target.service, isEjected);
      },
    });
  }

  #openRecords(): RunRecords {
    const { cfg, clock } = this.#deps;
    const path = cfg.dataDir && join(cfg.dataDir, RECORDS_FILE);
    const journal = path ? new SyncedJournal<never>(path) : undefined;
    return new RunRecords(journal, () => clock.now());
  }

  #onceRunner(sender: TargetSender): AtMostOnceRunner {
    const { cfg, table, clients, clock } = this.#deps;
    const records = this.#records;
    const own = {
      id: cfg.id,
      claim: records.claim.bind(records),
      settle: records.settle.bind(records),
    };
    return new AtMostOnceRunner({
      group: (key) =>
        chooseRecordGroup(key, table.recordPool()).map((m) =>
          m.id === own.id ? own : new RemoteRecordPeer(m.id, clients.get(m.peerAddress), clock),
        ),
      send: (target, req) => sender.send(target, req),
      clock,
    });
  }

  #startHandover(): void {
    const { cfg, table, clients, clock } = this.#deps;
    const handover = this.register(
      new RecordHandover({
        selfId: cfg.id,
        records: this.#records,
        pool: () => table.recordPool(),
        send: (address, due) => adoptAt(clients.get(address), due, clock.now()),
      }),
    );
    handover.start();
  }
}

/** Work that must not repeat and has a key runs at most once under it, whatever sidecar it comes through. */
function sendUnderKey(
  sender: TargetSender,
  once: AtMostOnceRunner,
  target: TargetInfo,
  req: TargetRequest,
): Promise<ForwardResult> {
  const key = req.idempotent ? undefined : idempotencyKeyOf(req.headers);
  return key === undefined
    ? sender.send(target, req)
    : once.run(`${target.service}/${key}`, target, req);
}
