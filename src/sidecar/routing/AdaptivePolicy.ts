import { ServiceName } from "../../common/ids/ServiceName.ts";
import type { TargetId } from "../../common/ids/TargetId.ts";
import type { ZoneName } from "../../common/ids/ZoneName.ts";
import type { Clock } from "../../common/lifecycle/Clock.ts";
import type { TargetInfo } from "../../membership/TargetInfo.ts";
import { TargetState } from "../../membership/TargetState.ts";
import type { TargetTable } from "../../membership/TargetTable.ts";
import { AttemptOutcome } from "../detection/AttemptOutcome.ts";
import { LatencyBaseline } from "../detection/LatencyBaseline.ts";
import type { SlotReply } from "../hop/SlotReply.ts";
import type { GateLoad } from "../hop/GateLoad.ts";
import { UNSERVED_THRESHOLD } from "../hop/UNSERVED_THRESHOLD.ts";
import type { TargetNotices } from "../signals/TargetNotices.ts";
import type { Candidate } from "./Candidate.ts";
import { chooseRotation } from "./chooseRotation.ts";
import { expectedWaitMs } from "./expectedWaitMs.ts";
import { pickByCost } from "./pickByCost.ts";
import type { PickSnapshot } from "./PickSnapshot.ts";
import type { RouteMatch } from "./RouteMatch.ts";
import { TargetAssessor, type TargetBelief } from "./TargetAssessor.ts";
import type { TargetSurvey } from "./TargetSurvey.ts";
import { TargetViews, type TargetView } from "./TargetViews.ts";
import { UnservedShares } from "./UnservedShares.ts";
import { ZoneWaitEstimator } from "./ZoneWaitEstimator.ts";
import type { PickedTarget, PickContext, RoutingPolicy, SuspectTarget } from "./RoutingPolicy.ts";

/** Typical time that is assumed without any measurement, as a share of the route's objective. */
const DEFAULT_TYPICAL_SHARE = 1 / 3;

/** The assumption is dropped when a few first responses have all been faster by more than this factor. */
const REFUTED_BY_FACTOR = 2;

/** Longest expected wait at a local-zone target for which a request of a bulk route is still kept in the zone, ms. */
const BULK_MAX_LOCAL_WAIT_MS = 300;

/**
 * Longest expected wait in the local zone for which a target there without a fresh load report is preferred to other
 * zones, ms: about a round trip to another zone.
 */
const UNKNOWN_LOAD_MAX_LOCAL_WAIT_MS = 10;

/**
 * Cost of a failure probability of 1 for a request that can't be retried, in ms of expected response time: one
 * failure more in a hundred requests costs as much as 50 ms.
 */
const RISK_COST_MS = 5000;

/**
 * Age up to which a gate's report of when its target is due for a probe is used, ms. Another sidecar may have
 * probed it since; then the slot request is refused, or the target is healthy again, and at most a round trip is lost.
 */
const PROBE_MAX_AGE_MS = 4000;

/** Age up to which a gate's report that its target wants work is used, ms; it is repeated twice as often. */
const DEMAND_MAX_AGE_MS = 1000;

/** Time for which such a target is left to idempotent requests, ms. */
const DEMAND_IDEMPOTENT_FIRST_MS = 700;

/**
 * While requests of the service wait for slots, a target is probed after this share of the delay that its
 * gate asks for.
 */
const CONGESTED_PROBE_SHARE = 0.3;

/** Average wait for a slot from which on a service counts as congested, ms. */
const CONGESTED_WAIT_MS = 80;

/** Weight of the newest wait in the moving average: about the last five dominate it. */
const WAIT_WEIGHT = 0.2;

/** Initial weight of a new target, relative to its weight after the ramp-up. */
const RAMP_START = 0.2;

interface AdaptivePolicyDeps {
  readonly table: TargetTable;
  readonly zone: ZoneName;
  readonly clock: Clock;
  /** Picks a candidate by its cost; by default the cheaper of two random ones. */
  readonly choose?: typeof pickByCost;
  /** What targets have said about themselves in responses; by default nothing. */
  readonly notices?: Pick<TargetNotices, "isLeaving">;
  /** Returns a number in [0, 1); tests pass a seeded one. */
  readonly random: () => number;
}

/**
 * The default routing policy: power of two choices over the expected response time,
 * among the targets in rotation. Whether a target is gray is decided by its gate's
 * reports, whether the path to it works by this sidecar's own slot requests. The
 * service's floor limits how many targets may be left out.
 */
export class AdaptivePolicy implements RoutingPolicy {
  readonly #deps: AdaptivePolicyDeps;
  readonly #views: TargetViews;
  readonly #baselines = new Map<string, LatencyBaseline>();
  /** Moving averages of the wait for a slot, by service name, ms. */
  readonly #averageWaits = new Map<string, number>();
  readonly #zoneWaits: ZoneWaitEstimator;
  readonly #assessor: TargetAssessor;
  readonly #unservedShares: UnservedShares;
  readonly #choose: typeof pickByCost;
  /** Floors by service name, as of the service's last request. */
  readonly #floors = new Map<string, number>();

  constructor(deps: AdaptivePolicyDeps) {
    this.#deps = deps;
    this.#choose = deps.choose ?? pickByCost;
    this.#views = new TargetViews(deps);
    this.#zoneWaits = new ZoneWaitEstimator(deps.clock);
    this.#assessor = new TargetAssessor({
      views: this.#views,
      zoneWaits: this.#zoneWaits,
      typicalMs: (...args) => this.typicalMs(...args),
    });
    this.#unservedShares = new UnservedShares(deps.clock);
  }

  pick(request: PickContext, tried: ReadonlySet<TargetId>): PickedTarget | undefined {
    const snapshot = this.#snapshot(request);
    const candidates = this.#candidates(snapshot, tried);
    const { random } = this.#deps;
    const probeCandidates = request.isRetryable ? this.#probeCandidates(snapshot, candidates) : [];
    const idleCandidates = request.hedgeOf ? [] : this.#idleCandidates(snapshot, candidates);
    const inNeed = [...probeCandidates, ...idleCandidates];
    const probe = inNeed[Math.floor(random() * inNeed.length)];
    if (probe) {
      return { target: probe.target, isProbe: true };
    }
    const unsuspected = candidates.filter((c) => !this.#assessor.isSuspected(snapshot, c));
    const reachable = unsuspected.filter((c) => !c.view.link.isSuspect);
    const preferred = reachable.length > 0 ? reachable : unsuspected;
    if (request.hedgeOf) {
      return this.#pickForHedge(snapshot, reachable, request.hedgeOf.zone);
    }
    const lasting = request.isRetryable
      ? preferred
      : this.#assessor.preferLasting(snapshot, preferred);
    const local = this.#localCandidates(snapshot, lasting);
    const tier = local.length > 0 ? local : lasting;
    const picked = this.#choose(tier, (c) => this.#cost(snapshot, c), random);
    return picked && { target: picked.target };
  }

  /** Picks among targets outside the zone of the hedged run, if there are any: that zone may be what is slow. */
  #pickForHedge(
    snapshot: PickSnapshot,
    healthy: Candidate[],
    zone: ZoneName,
  ): PickedTarget | undefined {
    const elsewhere = healthy.filter((c) => c.target.zone !== zone);
    const tier = elsewhere.length > 0 ? elsewhere : healthy;
    const picked = this.#choose(tier, (c) => this.#cost(snapshot, c), this.#deps.random);
    return picked && { target: picked.target };
  }

  suspects(request: PickContext, tried: ReadonlySet<TargetId>): SuspectTarget[] {
    const snapshot = this.#snapshot(request);
    const suspects = this.#candidates(snapshot, tried).filter(
      (c) => this.#assessor.isSuspected(snapshot, c) && !c.view.link.isSuspect,
    );
    if (suspects.length === 0) {
      return [];
    }
    const { service } = request.route;
    const rotation = this.#rotation(this.#targetsOf(request.route), service.floor);
    return suspects
      .map((c) => ({
        target: c.target,
        risk: this.#assessor.riskOf(snapshot, c),
        isKeptByFloor: this.#assessor.isGray(snapshot, c) && rotation.has(c.target.id),
      }))
      .sort((a, b) => a.risk - b.risk);
  }

  recordReply(target: TargetInfo, reply: SlotReply, ms: number | undefined): void {
    const view = this.#views.of(target);
    this.#recordLoad(target, view, reply.load);
    if (ms !== undefined) {
      view.link.recordReply(ms);
    }
  }

  recordQueued(target: TargetInfo, load: GateLoad): void {
    this.#recordLoad(target, this.#views.of(target), load);
  }

  recordWait({ service }: RouteMatch, waitedMs: number): void {
    const previousMs = this.#averageWaits.get(service.name) ?? 0;
    this.#averageWaits.set(service.name, previousMs + WAIT_WEIGHT * (waitedMs - previousMs));
  }

  isCongested({ service }: RouteMatch): boolean {
    return (this.#averageWaits.get(service.name) ?? 0) >= CONGESTED_WAIT_MS;
  }

  recordResult({ service }: RouteMatch, isServed: boolean): void {
    this.#unservedShares.record(service.name, isServed);
  }

  unservedShare(service: string): number {
    return this.#unservedShares.of(service);
  }

  recordLoad(id: TargetId, load: GateLoad): void {
    const view = this.#views.existing(id);
    if (view) {
      this.#views.recordLoad(view, load);
    }
  }

  recordTimeout(target: TargetInfo): void {
    this.#views.of(target).link.recordMissingReply();
  }

  recordStart(route: RouteMatch, target: TargetInfo): (outcome: AttemptOutcome) => void {
    const { clock } = this.#deps;
    const view = this.#views.of(target);
    const startedAt = clock.now();
    view.inFlight += 1;
    return (outcome) => {
      view.inFlight -= 1;
      if (outcome === AttemptOutcome.Ok) {
        this.#baseline(route).add(clock.now() - startedAt);
      }
    };
  }

  typicalMs(route: RouteMatch, target?: TargetInfo): number {
    const { median, bound = Infinity } = this.#baseline(route);
    const isStopping =
      target !== undefined && this.#views.existing(target.id)?.load?.endsInMs !== undefined;
    const assumedMs = route.objectiveMs * DEFAULT_TYPICAL_SHARE;
    const isRefuted = isStopping && bound * REFUTED_BY_FACTOR < assumedMs;
    return median ?? (isRefuted ? bound : assumedMs);
  }

  survey(request: PickContext, tried: ReadonlySet<TargetId>): TargetSurvey {
    const snapshot = this.#snapshot(request);
    const ready = this.#targetsOf(request.route).filter((t) => this.#acceptsRequests(t));
    const untried = ready
      .filter((t) => !tried.has(t.id))
      .map((target) => ({ target, view: this.#views.of(target) }));
    const beliefs = untried.map((c) => this.#assessor.beliefAbout(snapshot, c));
    const count = (belief: TargetBelief) => beliefs.filter((b) => b === belief).length;
    const ages = untried
      .filter(({ view }) => view.load !== undefined)
      .map(({ view }) => Math.round(snapshot.now - view.loadReceivedAt));
    return {
      ready: ready.length,
      tried: ready.length - untried.length,
      free: count("free"),
      full: count("full"),
      unknown: count("unknown"),
      suspect: count("suspect"),
      unreachable: count("unreachable"),
      leaving: count("leaving"),
      oldestReportMs: ages.length > 0 ? Math.max(...ages) : undefined,
    };
  }

  describe(): { id: TargetId; rotation: "in" | "ejected" }[] {
    const { table } = this.#deps;
    return [...new Set(table.allTargets().map((t) => t.service))].flatMap((service) => {
      const targets = table.targetsOf(service);
      const rotation = this.#rotation(targets, this.#floors.get(service) ?? 0);
      return targets.map(({ id, state }) => {
        const isOut = state === TargetState.Ready && !rotation.has(id);
        return { id, rotation: isOut ? ("ejected" as const) : ("in" as const) };
      });
    });
  }

  dispose(): void {
    this.#views.clear();
  }

  #recordLoad({ service, zone }: TargetInfo, view: TargetView, load: GateLoad): void {
    this.#views.recordLoad(view, load);
    this.#zoneWaits.record(service, zone, expectedWaitMs(load, load.serviceMs));
  }

  /** Targets of the route's service that accept requests, are not in `tried` and don't stop too soon for this one. */
  #candidates(snapshot: PickSnapshot, tried: ReadonlySet<TargetId>): Candidate[] {
    const { route } = snapshot;
    this.#floors.set(route.service.name, route.service.floor);
    const candidates: Candidate[] = [];
    for (const target of this.#targetsOf(route)) {
      if (this.#acceptsRequests(target) && !tried.has(target.id)) {
        const candidate = { target, view: this.#views.of(target) };
        if (!this.#assessor.stopsTooSoon(snapshot, candidate)) {
          candidates.push(candidate);
        }
      }
    }
    return candidates;
  }

  /** Whether the target is ready, and has not said in a response of which this sidecar knows that it is leaving. */
  #acceptsRequests(target: TargetInfo): boolean {
    return target.state === TargetState.Ready && !this.#deps.notices?.isLeaving(target);
  }

  #snapshot(request: PickContext): PickSnapshot {
    const typicalMs = this.typicalMs(request.route);
    return { ...request, now: this.#deps.clock.now(), typicalMs };
  }

  /** Targets that are due for a probe and reachable. */
  #probeCandidates({ now, route }: PickSnapshot, candidates: readonly Candidate[]): Candidate[] {
    const share = this.isCongested(route) ? CONGESTED_PROBE_SHARE : 1;
    return candidates.filter(({ view: { load, loadReceivedAt, link } }) => {
      const age = now - loadReceivedAt;
      const dueInMs = (load?.probeInMs ?? Infinity) * share;
      return dueInMs <= age && age < PROBE_MAX_AGE_MS && !link.isSuspect;
    });
  }

  /** Reachable targets that want work: suspect ones, and all while this sidecar can't get enough requests served. */
  #idleCandidates({ now, route }: PickSnapshot, candidates: readonly Candidate[]): Candidate[] {
    const minMs = route.idempotent ? 0 : DEMAND_IDEMPOTENT_FIRST_MS;
    const isFailing = this.unservedShare(route.service.name) >= UNSERVED_THRESHOLD;
    return candidates.filter(({ view: { load, loadReceivedAt, wantsWorkSince, link } }) => {
      const isCurrent = load?.wantsWork === true && now - loadReceivedAt < DEMAND_MAX_AGE_MS;
      const isNeeded = isFailing || load?.suspect === true;
      return isCurrent && isNeeded && now - wantsWorkSince >= minMs && !link.isSuspect;
    });
  }

  #rotation(targets: readonly TargetInfo[], floor: number): Set<TargetId> {
    const now = this.#deps.clock.now();
    const candidates = targets.map((target) => {
      const candidate = { target, view: this.#views.of(target) };
      return {
        id: target.id,
        slots: target.slots,
        ready: target.state === TargetState.Ready,
        isGray: this.#assessor.isGray({ now }, candidate),
        risk: this.#assessor.riskOf({ now }, candidate),
      };
    });
    return chooseRotation(candidates, floor);
  }

  /**
   * Targets in this sidecar's zone that are preferred to those in other zones: the ones with a free slot
   * and, for bulk routes, the ones expected to have a free slot soon. A request within the zone arrives
   * sooner and causes no cross-zone traffic.
   */
  #localCandidates(snapshot: PickSnapshot, candidates: readonly Candidate[]): Candidate[] {
    const { zone } = this.#deps;
    const unknownLoadWaitMs = snapshot.route.bulk
      ? BULK_MAX_LOCAL_WAIT_MS
      : UNKNOWN_LOAD_MAX_LOCAL_WAIT_MS;
    const knownLoadWaitMs = snapshot.route.bulk ? BULK_MAX_LOCAL_WAIT_MS : 0;
    return candidates.filter((c) => {
      const maxWaitMs = this.#views.freshLoad(c.view, snapshot.now)
        ? knownLoadWaitMs
        : unknownLoadWaitMs;
      return c.target.zone === zone && this.#assessor.waitMs(snapshot, c) <= maxWaitMs;
    });
  }

  /**
   * Expected response time, ms, including the cost of the failure risk; higher for a new target, to avoid a
   * stampede to it.
   */
  #cost(snapshot: PickSnapshot, candidate: Candidate): number {
    const { target, view } = candidate;
    const load = this.#views.freshLoad(view, snapshot.now);
    const utilization = ((load?.busy ?? 0) + view.inFlight) / Math.max(1, target.slots);
    const workMs = snapshot.typicalMs * (load?.pace ?? 1) * (1 + utilization);
    const riskMs = snapshot.isRetryable
      ? 0
      : this.#assessor.riskOf(snapshot, candidate) * RISK_COST_MS;
    const total = this.#assessor.waitMs(snapshot, candidate) + workMs + view.link.replyMs + riskMs;
    return total / this.#rampWeight(snapshot.route, view);
  }

  #rampWeight(route: RouteMatch, view: TargetView): number {
    const share = (this.#deps.clock.now() - view.firstSeenAt) / route.service.detection.rampMs;
    return Math.min(1, RAMP_START + (1 - RAMP_START) * share);
  }

  #targetsOf(route: RouteMatch): readonly TargetInfo[] {
    this.#views.pruneDeparted();
    return this.#deps.table.targetsOf(ServiceName(route.service.name));
  }

  #baseline(route: RouteMatch): LatencyBaseline {
    let baseline = this.#baselines.get(route.name);
    if (!baseline) {
      baseline = new LatencyBaseline();
      this.#baselines.set(route.name, baseline);
    }
    return baseline;
  }
}
