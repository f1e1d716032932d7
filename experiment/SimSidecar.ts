import bunyan from "bunyan";
import { GRAY_DETECTION } from "../platform/GRAY_DETECTION.ts";
import { SidecarId } from "../src/common/ids/SidecarId.ts";
import { TargetId } from "../src/common/ids/TargetId.ts";
import { ZoneName } from "../src/common/ids/ZoneName.ts";
import { Service } from "../src/common/document/Service.ts";
import type { ProtoTypes } from "../src/common/rpc/ProtoTypes.ts";
import type { CrashEvidence } from "../src/membership/evidence/CrashEvidence.ts";
import { EvidenceStore } from "../src/membership/evidence/EvidenceStore.ts";
import { Quarantine } from "../src/sidecar/quarantine/Quarantine.ts";
import { RunGuard } from "../src/sidecar/quarantine/RunGuard.ts";
import { TargetTable } from "../src/membership/TargetTable.ts";
import { GrayFailureDetector } from "../src/sidecar/detection/GrayFailureDetector.ts";
import { drainSidecar, type DrainedParts } from "../src/sidecar/drainSidecar.ts";
import type { ForwardResult } from "../src/sidecar/forwarding/ForwardResult.ts";
import type { TargetRequest } from "../src/sidecar/forwarding/TargetRequest.ts";
import { ActiveRuns } from "../src/sidecar/gate/ActiveRuns.ts";
import { RunTable } from "../src/sidecar/gate/RunTable.ts";
import { Gate } from "../src/sidecar/gate/Gate.ts";
import { GrantIds } from "../src/sidecar/gate/GrantIds.ts";
import { TargetRunner } from "../src/sidecar/gate/TargetRunner.ts";
import { ownDialect } from "../src/sidecar/dialect/ownDialect.ts";
import type { LimitSignal } from "../src/sidecar/signals/LimitSignal.ts";
import { TargetNotices } from "../src/sidecar/signals/TargetNotices.ts";
import { HedgeRule } from "../src/sidecar/hedging/HedgeRule.ts";
import type { HedgeReport } from "../src/sidecar/hedging/HedgeReport.ts";
import type { GateLoad } from "../src/sidecar/hop/GateLoad.ts";
import type { CallerRequest } from "../src/sidecar/routing/CallerRequest.ts";
import { AdaptivePolicy } from "../src/sidecar/routing/AdaptivePolicy.ts";
import { RetryTokenBorrower } from "../src/sidecar/routing/RetryTokenBorrower.ts";
import { TrafficClassifier } from "../src/sidecar/routing/TrafficClassifier.ts";
import { Dispatcher } from "../src/sidecar/routing/Dispatcher.ts";
import type { RetryBudgetRule } from "../src/sidecar/routing/RetryBudget.ts";
import { RetryBudgets } from "../src/sidecar/routing/RetryBudgets.ts";
import type { RouteMatch } from "../src/sidecar/routing/RouteMatch.ts";
import type { SimClock } from "./SimClock.ts";
import { SenderShares } from "./SenderShares.ts";
import { SimHop } from "./SimHop.ts";
import type { Variant } from "./Variant.ts";

/** Times of a planned stop, as on the users' platform, ms. */
const STOP_TIMES = { callersMs: 2700, endsInMs: 5300 };

/** Open requests in the log of a stop; the model has no log. */
const NO_REQUESTS = { count: 0, oldest: [] };

/** Interval at which the gate checks whether its target wants work, ms; as in the product. */
const DEMAND_CHECK_MS = 200;

/** Interval at which a planned stop checks whether all callers' requests have got responses, ms. */
const IN_FLIGHT_CHECK_MS = 20;

/** All workspaces have the same weight. */
const EQUAL_WEIGHTS = { weightOf: () => 1 };

const log = bunyan.createLogger({ name: "experiment", level: "fatal" });

/** A simulated VM with a target and its sidecar. */
export interface SimVm {
  readonly name: string;
  readonly zone: number;
  readonly service: string;
  readonly slots: number;
}

interface SimSidecarDeps {
  readonly vm: SimVm;
  /** Number of this incarnation of the sidecar's process, from 1. */
  readonly incarnationNumber: number;
  readonly zoneLatencyMs: number;
  readonly budget: RetryBudgetRule;
  /** The sidecars that are running now, by the names of their VMs. */
  readonly sidecars: ReadonlyMap<string, SimSidecar>;
  /** Runs a request at the local target. */
  readonly runAtTarget: (req: TargetRequest) => Promise<ForwardResult>;
  /** Whether the process of the local target is down. */
  readonly isTargetDown: () => boolean;
  /** Called when the process of the local target is known to have ended. */
  readonly onTargetGone: () => void;
  /** Called when the health state of the local target changes, and when a planned stop begins. */
  readonly onHealthChange: (load: GateLoad) => void;
  /** Called with crash evidence that the sidecar has found, for all others. */
  readonly onEvidence: (evidence: CrashEvidence) => void;
  /** Called when the sidecar leaves the membership in a planned stop. */
  readonly onLeaving: () => void;
  readonly variant: Variant;
  readonly clock: SimClock;
  readonly random: () => number;
}

/** One incarnation of a simulated sidecar: the product's own components, connected as in the product. */
export class SimSidecar {
  readonly #deps: SimSidecarDeps;
  readonly #table: TargetTable;
  readonly #dispatcher: Dispatcher;
  readonly #grants: GrantIds;
  readonly #activeRuns: ActiveRuns;
  #inFlight = 0;
  #isReady = true;
  #hasEnded = false;
  #gate: Gate;
  /** The process of the local target is known to have ended. */
  #isTargetGone = false;
  /** Number of changes of the membership entry: the target has ended, or started again. */
  #revision = 0;
  /** Number of restarts of the local target. */
  #targetRestarts = 0;
  readonly runner: TargetRunner;
  readonly budgets: RetryBudgets;
  readonly evidence: EvidenceStore;
  readonly quarantine: Quarantine;
  readonly policy: AdaptivePolicy;
  readonly hop: SimHop;
  readonly notices: TargetNotices;
  /** Hedges that have ended. */
  readonly hedges: HedgeReport[] = [];

  constructor(deps: SimSidecarDeps) {
    this.#deps = deps;
    const { vm, clock, random, zoneLatencyMs, sidecars } = deps;
    const zone = ZoneName(zoneOf(vm));
    this.#grants = new GrantIds(String(deps.incarnationNumber));
    this.#table = this.#createTable();
    this.#activeRuns = new ActiveRuns(clock);
    this.evidence = new EvidenceStore(clock);
    this.quarantine = new Quarantine({
      store: this.evidence,
      spread: (evidence) => {
        if (this.evidence.add(evidence)) {
          deps.onEvidence(evidence);
        }
      },
      clock,
      log,
    });
    this.budgets = this.#createBudgets();
    this.#gate = this.#createGate();
    this.runner = this.#createRunner();
    this.notices = new TargetNotices(clock);
    const { notices } = this;
    const choose = deps.variant.picksCheapest ? cheapest : undefined;
    const table = this.#table;
    this.policy = new AdaptivePolicy({ table, zone, clock, choose, notices, random });
    this.hop = new SimHop({
      ...{ sidecars, zone: vm.zone, zoneLatencyMs, clock },
      cancelsRuns: deps.variant.cancelsRuns ?? false,
      shares: deps.variant.sharesLimits ? this.#createShares() : undefined,
    });
    this.#dispatcher = this.#createDispatcher();
    this.#checkDemand();
  }

  get vm(): SimVm {
    return this.#deps.vm;
  }

  /** The gate of the target's current incarnation. */
  get gate(): Gate {
    return this.#gate;
  }

  /** Replaces the gate: the target has started again. */
  restartTarget(): void {
    this.#targetRestarts += 1;
    this.#isTargetGone = false;
    this.#gate.retire();
    this.#gate = this.#createGate();
  }

  /** Whether callers may send requests to this sidecar. */
  get isReady(): boolean {
    return this.#isReady;
  }

  #checkDemand(): void {
    if (!this.#hasEnded) {
      this.#gate.updateDemand();
      this.#deps.clock.after(DEMAND_CHECK_MS, () => {
        this.#checkDemand();
      });
    }
  }

  /** Merges membership updates into this sidecar's view. */
  mergeMembers(members: readonly ProtoTypes["Member"][]): void {
    this.#table.merge(members);
  }

  /** This sidecar's own membership entry; with `isGone`, the one that announces its end. */
  describeMember(isGone: boolean): ProtoTypes["Member"] {
    const { vm, incarnationNumber } = this.#deps;
    const target = {
      target_id: vm.name,
      service: vm.service,
      url: "",
      slots: vm.slots,
      state: "ready",
      health_path: "",
      born: this.#targetRestarts,
      resumed: 0,
    };
    return {
      sidecar_id: vm.name,
      peer_address: vm.name,
      hop_address: vm.name,
      zone: zoneOf(vm),
      revision: this.#revision++,
      incarnation: incarnationNumber,
      gone: isGone,
      control: false,
      stopping: false,
      departed: [],
      targets: isGone || this.#isTargetGone ? [] : [target],
    };
  }

  /** Serves a caller's request, or a nested call of the local target. */
  async dispatch(route: RouteMatch, req: CallerRequest): Promise<ForwardResult> {
    this.#inFlight += 1;
    try {
      const result = await this.#dispatcher.dispatch(route, req);
      this.#recordSignals(result, req.startedAt);
      return result;
    } finally {
      this.#inFlight -= 1;
    }
  }

  /** Records the limit that a response of the local target names; its request was sent at `sentAt`, ms. */
  recordLimit(perS: number | undefined, sentAt: number): void {
    if (this.#deps.variant.sharesLimits) {
      return;
    }
    const signal: LimitSignal = perS === undefined ? { kind: "none" } : { kind: "limit", perS };
    this.#gate.recordLimit(signal, sentAt);
  }

  /** Records what a response that is returned to a caller says about its target. */
  #recordSignals(result: ForwardResult, receivedAt: number): void {
    if ("headers" in result) {
      const { verdict, headers } = result;
      const signals = ownDialect.readSignals(verdict.status, headers);
      if (signals) {
        this.notices.record(verdict.target, this.#table, signals, receivedAt);
      }
    }
  }

  /** Stops the sidecar as planned; resolves when the process would exit. */
  async stop(): Promise<void> {
    const { clock, onLeaving } = this.#deps;
    this.#isReady = false;
    const parts = {
      beginStop: () => undefined,
      closeCallers: () => this.#waitForCallers(),
      callers: this.#dispatcher,
      gates: this.#gates(),
      leave: () => {
        onLeaving();
        return Promise.resolve();
      },
      openRequests: () => ({
        callers: { ...NO_REQUESTS, count: this.#inFlight },
        runs: NO_REQUESTS,
      }),
    };
    await drainSidecar(parts, STOP_TIMES, clock, log);
    this.#hasEnded = true;
  }

  /** The gates as a planned stop sees them: a target that restarts meanwhile has another one. */
  #gates(): DrainedParts["gates"] {
    const gate = () => this.#gate;
    return {
      closeBy: (endAt) => {
        gate().closeBy(endAt);
      },
      close: () => {
        gate().close();
      },
      get isBusy() {
        return gate().isBusy;
      },
    };
  }

  async #waitForCallers(): Promise<void> {
    const { clock } = this.#deps;
    while (this.#inFlight > 0) {
      await new Promise<void>((resolve) => clock.after(IN_FLIGHT_CHECK_MS, resolve));
    }
  }

  #createTable(): TargetTable {
    const { vm, clock, incarnationNumber } = this.#deps;
    const own = {
      id: SidecarId(`self-${vm.name}`),
      peerAddress: `self-${vm.name}`,
      hopAddress: "none",
      zone: ZoneName(zoneOf(vm)),
      incarnation: incarnationNumber,
    };
    return new TargetTable(own, () => clock.now());
  }

  #createGate(): Gate {
    const { vm, clock, onHealthChange, variant } = this.#deps;
    const rule = Service.parse({ name: "svc", detection: GRAY_DETECTION }).detection;
    return new Gate({
      target: () => (this.#isTargetGone ? undefined : { slots: vm.slots, acceptsRequests: true }),
      detector: new GrayFailureDetector({ rule: () => rule, clock, log }),
      mayAwaitNestedCall: (since) => this.#activeRuns.hasOpenNestedCall(since),
      clock,
      grants: this.#grants,
      onHealthChange,
      onDemandChange: onHealthChange,
      fairShareRule: () => (variant.sharesSlotTime ? EQUAL_WEIGHTS : undefined),
      ...variant.gate,
    });
  }

  #createRunner(): TargetRunner {
    const { vm, clock, runAtTarget } = this.#deps;
    const id = TargetId(vm.name);
    return new TargetRunner({
      gates: { get: () => this.gate },
      runs: new RunTable(clock),
      activeRuns: this.#activeRuns,
      target: () => this.#table.target(id),
      send: (_target, req) => runAtTarget(req),
      guard: new RunGuard({
        quarantine: this.quarantine,
        endedTargets: { check: () => this.#checkTarget() },
        target: (targetId) => this.#table.target(targetId),
        clock,
        log,
      }),
      clock,
      grants: this.#grants,
      log,
    });
  }

  /** Whether the target's process is down, in which case the target is no longer offered. */
  #checkTarget(): Promise<boolean> {
    const isDown = this.#deps.isTargetDown();
    if (isDown && !this.#isTargetGone) {
      this.#isTargetGone = true;
      this.#gate.reevaluateQueue();
      this.#deps.onTargetGone();
    }
    return Promise.resolve(isDown);
  }

  #createDispatcher(): Dispatcher {
    const { vm, clock, variant } = this.#deps;
    const hedging = new HedgeRule({
      policy: this.policy,
      budgets: this.budgets,
      limits: () => variant.hedging,
      isStopping: () => !this.#isReady,
      clock,
    });
    return new Dispatcher({
      firstRequests: variant.firstRequests,
      hedging,
      onHedgeEnd: (_service, report) => {
        this.hedges.push(report);
      },
      policy: this.policy,
      hop: this.hop,
      notices: this.#deps.variant.sharesLimits ? undefined : this.notices,
      callerService: vm.service,
      budgets: this.budgets,
      quarantine: this.quarantine,
      borrower: this.#createTokenBorrower(),
      classifier: new TrafficClassifier({ runs: this.#activeRuns, log }),
      clock,
      log,
    });
  }

  #createShares(): SenderShares {
    const { sidecars, clock } = this.#deps;
    return new SenderShares({
      limitOf: (id) => {
        const target = this.#table.target(id);
        return target && this.notices.limitOf(target);
      },
      senders: () => sidecars.size,
      clock,
    });
  }

  #createBudgets(): RetryBudgets {
    const { clock, budget, incarnationNumber, random } = this.#deps;
    return new RetryBudgets({
      rule: () => budget,
      members: () => this.#table.knownCount,
      clock,
      // The simulated fleet has long been running; later incarnations get no share of the retry slack for one window.
      startedAt: incarnationNumber === 1 ? -Infinity : clock.now(),
      random,
    });
  }

  #createTokenBorrower(): RetryTokenBorrower {
    const { vm, sidecars, random } = this.#deps;
    const lenders = () =>
      [...sidecars.values()]
        .filter((s) => s.vm.zone === vm.zone && s !== this)
        .map((s) => s.vm.name);
    return new RetryTokenBorrower({
      lenders,
      requestToken: (address, costs) => this.hop.borrow(address, costs),
      random,
    });
  }
}

function zoneOf({ zone }: SimVm): string {
  return `zone-${zone}`;
}

/** The candidate with the lowest cost. */
function cheapest<T>(candidates: readonly T[], costOf: (candidate: T) => number): T | undefined {
  const costs = candidates.map(costOf);
  return candidates[costs.indexOf(Math.min(...costs))];
}
