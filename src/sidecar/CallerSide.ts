import type bunyan from "bunyan";
import { ZoneName } from "../common/ids/ZoneName.ts";
import { Disposable } from "../common/lifecycle/Disposable.ts";
import type { Clock } from "../common/lifecycle/Clock.ts";
import type { Limits } from "../common/document/Limits.ts";
import type { ProtoTypes } from "../common/rpc/ProtoTypes.ts";
import type { SidecarSettings } from "../common/settings/SidecarSettings.ts";
import type { Tracing } from "../common/telemetry/Tracing.ts";
import type { DatagramLink } from "../membership/DatagramLink.ts";
import type { DocumentCatchUp } from "../membership/DocumentCatchUp.ts";
import { sampleOf } from "../membership/sampleOf.ts";
import type { TargetTable } from "../membership/TargetTable.ts";
import type { SidecarMetrics } from "./admin/SidecarMetrics.ts";
import { DocumentConfirmer } from "./config/DocumentConfirmer.ts";
import { DocumentWait } from "./config/DocumentWait.ts";
import type { SidecarDocument } from "./config/SidecarDocument.ts";
import { probeHealth } from "./detection/probeHealth.ts";
import type { Dialect } from "./dialect/Dialect.ts";
import { GateMessageDispatcher } from "./hop/GateMessageDispatcher.ts";
import { HedgeRule } from "./hedging/HedgeRule.ts";
import { HopClient } from "./hop/HopClient.ts";
import { RetryTokenClient } from "./hop/RetryTokenClient.ts";
import { SlotClient } from "./hop/SlotClient.ts";
import { CallerServer } from "./ingress/CallerServer.ts";
import { originOf } from "./ingress/originOf.ts";
import type { MemoryAccount } from "./memory/MemoryAccount.ts";
import type { Quarantine } from "./quarantine/Quarantine.ts";
import { AdaptivePolicy } from "./routing/AdaptivePolicy.ts";
import { chooseLenders } from "./routing/chooseLenders.ts";
import type { TargetResponse } from "./forwarding/TargetResponse.ts";
import { Dispatcher } from "./routing/Dispatcher.ts";
import { NaivePolicy } from "./routing/NaivePolicy.ts";
import { RetryBudgets } from "./routing/RetryBudgets.ts";
import { RetryTokenBorrower } from "./routing/RetryTokenBorrower.ts";
import type { RoutingPolicy } from "./routing/RoutingPolicy.ts";
import type { StopSchedule } from "./routing/StopSchedule.ts";
import { SplitSampler } from "./routing/SplitSampler.ts";
import { TrafficClassifier } from "./routing/TrafficClassifier.ts";
import { TargetNotices } from "./signals/TargetNotices.ts";
import type { TargetSide } from "./TargetSide.ts";
import { AdmissionAsker } from "./workspaces/AdmissionAsker.ts";
import { CreditClient } from "./workspaces/CreditClient.ts";
import { LeaseSide } from "./workspaces/leases/LeaseSide.ts";
import { RequestAdmission } from "./workspaces/RequestAdmission.ts";

/** Number of other sidecars that are asked for a confirmation of the document when no control replica gives one. */
const CONFIRMING_PEERS = 3;

/** Part of a limit on the document's age that is kept in reserve, as the clocks of two VMs differ in rate. */
const AGE_RESERVE = 0.05;

interface CallerSideDeps {
  /** The settings in force; some change while the process runs. */
  readonly cfg: () => SidecarSettings;
  readonly table: TargetTable;
  readonly link: Pick<
    DatagramLink,
    | "askAdmission"
    | "returnCredit"
    | "askLease"
    | "releaseLease"
    | "askCredit"
    | "returnLeasedCredit"
  >;
  readonly document: SidecarDocument;
  readonly documents: Pick<DocumentCatchUp, "noteVersion">;
  readonly targetSide: TargetSide;
  readonly quarantine: Quarantine;
  readonly dialect: Dialect;
  readonly tracing: Tracing;
  readonly metrics: SidecarMetrics;
  /** Counts the bytes of requests and responses held here. */
  readonly memory: MemoryAccount;
  /** Sends a datagram, which may be lost. */
  readonly sendGateMessage: (address: string, message: ProtoTypes["GateMessage"]) => void;
  /** Whether this sidecar has started recently, and may not know all members yet. */
  readonly isStarting: () => boolean;
  /** Start time of this process on `clock`, ms. */
  readonly startedAt: number;
  readonly clock: Clock;
  /** Clock by which confirmations of the document age, ms; see ElapsedClock. */
  readonly elapsed: () => number;
  readonly random: () => number;
  readonly log: bunyan;
}

/** The part of a sidecar that serves callers: admits their requests, finds a target for each and sends it there. */
export class CallerSide extends Disposable {
  readonly #deps: CallerSideDeps;
  readonly #documentWait: DocumentWait;
  readonly #notices: TargetNotices;
  readonly #dispatcher: Dispatcher;
  readonly #confirmer: DocumentConfirmer;
  /** Undefined if leases of quotas are not enabled. */
  readonly leases: LeaseSide | undefined;
  #isStopping = false;
  readonly policy: RoutingPolicy;
  readonly server: CallerServer;
  /** Dispatches the messages of gates and of sidecars that borrow retry tokens. */
  readonly gateMessages: GateMessageDispatcher;

  constructor(deps: CallerSideDeps) {
    super();
    this.#deps = deps;
    const { clock, sendGateMessage, targetSide, dialect, metrics, tracing, log } = deps;
    this.#documentWait = new DocumentWait(clock);
    this.#notices = new TargetNotices(clock);
    this.policy = this.register(this.#createPolicy());
    const slotClient = new SlotClient({ sendGateMessage, clock });
    const retryTokenClient = new RetryTokenClient({ sendGateMessage, clock });
    const budgets = this.#createRetryBudgets();
    this.gateMessages = new GateMessageDispatcher({
      slotClient,
      gates: targetSide.slotServer,
      policy: this.policy,
      retryTokenClient,
      budgets,
      sendGateMessage,
    });
    const asker = this.#createAsker();
    this.#confirmer = this.register(this.#createConfirmer(asker));
    this.#dispatcher = this.#createDispatcher(slotClient, retryTokenClient, budgets);
    const singles = this.#createCreditClient(asker);
    this.leases = this.#createLeaseSide(singles);
    this.server = new CallerServer({
      config: () => this.#config,
      waitForConfig: () => this.#documentWait.wait(),
      admission: this.#createAdmission(this.leases?.credits ?? singles),
      dispatcher: this.#dispatcher,
      dialect,
      onResponse: (...args) => {
        this.#recordSignals(...args);
      },
      originOf: (address) => originOf(address, this.#targetUrls),
      memory: deps.memory,
      metrics,
      tracing,
      clock,
      log,
    });
  }

  /** Starts to have the document confirmed regularly, until disposed. */
  start(): void {
    this.#confirmer.start();
  }

  /** Applies another version of the document that has come into force. */
  onDocumentChange(limits: Limits): void {
    this.server.applyLimits(limits);
    this.#documentWait.release();
  }

  /** Closes callers' connections with their next responses, and sends no hedges any more: the sidecar is being stopped. */
  beginStop(): void {
    this.#isStopping = true;
    this.server.beginStop();
  }

  /** Announces the end of this sidecar's stop: see {@link Dispatcher.closeBy}. */
  closeBy(stop: StopSchedule): void {
    this.#dispatcher.closeBy(stop);
  }

  get #config() {
    const { routes, document, workspaces, version } = this.#deps.document.follower;
    return routes && document && { version, routes, workspaces, limits: document.limits };
  }

  /** Base URLs of the local targets, and of the one in the settings, which may not have announced itself yet. */
  get #targetUrls(): string[] {
    const { table, cfg } = this.#deps;
    const { targetAddress } = cfg();
    const known = targetAddress === undefined ? [] : [`http://${targetAddress}`];
    return [...known, ...table.localTargets().map((t) => t.url)];
  }

  #createPolicy(): RoutingPolicy {
    const { cfg, table, clock, random, log } = this.#deps;
    if (cfg().policy === "naive") {
      const policy = new NaivePolicy({ table, probe: probeHealth, log });
      policy.start();
      return policy;
    }
    const zone = ZoneName(cfg().zone);
    return new AdaptivePolicy({ table, zone, clock, notices: this.#notices, random });
  }

  /** Records what a response that is returned to a caller says about its target. */
  #recordSignals({ verdict, headers }: TargetResponse, receivedAt: number): void {
    const { dialect, table, log } = this.#deps;
    const signals = dialect.readSignals(verdict.status, headers);
    const change = signals && this.#notices.record(verdict.target, table, signals, receivedAt);
    if (change) {
      log.info({ target: verdict.target, ...change }, "target has said");
    }
  }

  #createRetryBudgets(): RetryBudgets {
    const { cfg, table, clock, startedAt, random, metrics } = this.#deps;
    const budgets = new RetryBudgets({
      rule: () => cfg().retryBudget,
      members: () => table.knownCount,
      clock,
      startedAt: cfg().bootstrap ? -Infinity : startedAt,
      random,
    });
    metrics.watchBudgets(() => budgets.usage);
    return budgets;
  }

  #createDispatcher(
    slotClient: SlotClient,
    retryTokenClient: RetryTokenClient,
    budgets: RetryBudgets,
  ): Dispatcher {
    const { cfg, table, random, targetSide, quarantine, metrics, clock, log } = this.#deps;
    const borrower = new RetryTokenBorrower({
      lenders: () => chooseLenders(table),
      requestToken: (...args) => retryTokenClient.requestToken(...args),
      random,
    });
    return new Dispatcher({
      policy: this.policy,
      hop: this.register(
        new HopClient(slotClient, {
          responseLimits: () => this.#config?.limits.responses ?? {},
          memory: this.#deps.memory,
          clock,
        }),
      ),
      classifier: new TrafficClassifier({ runs: targetSide.runs, log }),
      budgets,
      borrower,
      quarantine,
      confirmRefusal: (...args) => targetSide.confirmRefusal(...args),
      notices: this.#notices,
      callerService: cfg().callerService,
      isStarting: this.#deps.isStarting,
      returnsWithinObjective: () => cfg().refusals.returnWithinObjective,
      onExtraRun: (service, cause) => {
        metrics.countExtraRun(service, cause);
      },
      onRetryDenied: (service) => {
        metrics.countDeniedRetry(service);
      },
      hedging: this.#createHedgeRule(budgets),
      onHedgeRefused: (service, reason) => {
        metrics.countHedgeRefusal(service, reason);
      },
      onHedgeEnd: (service, report) => {
        metrics.observeHedge(service, report);
      },
      clock,
      log,
    });
  }

  #createHedgeRule(budgets: RetryBudgets): HedgeRule {
    const { document, clock } = this.#deps;
    return new HedgeRule({
      policy: this.policy,
      budgets,
      limits: (name) => document.follower.document?.services.find((s) => s.name === name)?.hedging,
      isStopping: () => this.#isStopping,
      clock,
    });
  }

  #createAsker(): AdmissionAsker {
    const { cfg, link, document, documents, elapsed } = this.#deps;
    const canLease = cfg().quotaLeases !== undefined;
    return new AdmissionAsker({
      send: (address, workspace) => link.askAdmission(address, workspace, canLease),
      freshness: document.freshness,
      noteVersion: (address, version) => {
        documents.noteVersion(address, version);
      },
      elapsed,
    });
  }

  #createConfirmer(asker: AdmissionAsker): DocumentConfirmer {
    const { document, table, random, clock } = this.#deps;
    const peers = () => table.liveMembers().filter((m) => !m.control);
    return new DocumentConfirmer({
      freshness: document.freshness,
      ask: (address) => asker.ask(address),
      members: () => [
        ...this.#controlReplicas(),
        ...sampleOf(peers(), CONFIRMING_PEERS, random).map((m) => m.peer_address),
      ],
      isNeeded: () => !document.isActive || document.follower.workspaces !== undefined,
      clock,
    });
  }

  #createCreditClient(asker: AdmissionAsker): CreditClient {
    const { link, clock } = this.#deps;
    return new CreditClient({
      ask: (address, workspace) => asker.ask(address, workspace),
      giveBack: (address, workspace) => {
        link.returnCredit(address, workspace);
      },
      replicas: () => this.#controlReplicas(),
      clock,
    });
  }

  #createLeaseSide(singles: CreditClient): LeaseSide | undefined {
    const { cfg, document, metrics } = this.#deps;
    const { quotaLeases } = cfg();
    if (!quotaLeases) {
      return undefined;
    }
    const side = this.register(
      new LeaseSide({
        ...this.#deps,
        document: () => document.follower.document,
        replicas: () => this.#controlReplicas(),
        singles,
        termMs: quotaLeases.termMs,
        onEvent: (event) => {
          metrics.countLeaseEvent(event);
        },
      }),
    );
    metrics.watchLeases(() => side.leases);
    return side;
  }

  #createAdmission(credits: Pick<CreditClient, "take">): RequestAdmission {
    const { cfg, document, random } = this.#deps;
    const splitSampler = new SplitSampler(random);
    return new RequestAdmission({
      config: () => this.#config,
      draw: (route) => splitSampler.next(route),
      freshness: document.freshness,
      confirmer: this.#confirmer,
      credits,
      limits: () => {
        const { admitMs, refuseMs } = cfg().documentAge;
        return {
          admitMs: admitMs === undefined ? Infinity : admitMs * (1 - AGE_RESERVE),
          refuseMs: refuseMs * (1 - AGE_RESERVE),
        };
      },
    });
  }

  /** Addresses of the control replicas: live members of this zone first, then others, then those of the settings. */
  #controlReplicas(): string[] {
    const { table, random, cfg } = this.#deps;
    const controls = table.liveMembers().filter((m) => m.control);
    const inOrder = sampleOf(controls, controls.length, random);
    const near = inOrder.filter((m) => m.zone === table.selfZone);
    const members = [...near, ...inOrder].map((m) => m.peer_address);
    return [...new Set([...members, ...cfg().control])];
  }
}
