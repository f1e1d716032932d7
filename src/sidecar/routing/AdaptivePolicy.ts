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
import { runRoomMs } from "../gate/runRoomMs.ts";
import { chooseRotation } from "./chooseRotation.ts";
import { pickByCost } from "./pickByCost.ts";
import type { RouteMatch } from "./RouteMatch.ts";
import { TargetViews, type TargetView } from "./TargetViews.ts";
import { ZoneWaitEstimator } from "./ZoneWaitEstimator.ts";
import type { PickedTarget, PickContext, RoutingPolicy, SuspectTarget } from "./RoutingPolicy.ts";

/** Assumed time of a request where nothing was measured: this share of its objective. */
const DEFAULT_TYPICAL_SHARE = 1 / 3;

/** A large body or answer waits this long for a target in its own zone rather than cross zones, ms. */
const BULK_MAX_LOCAL_WAIT_MS = 300;

/**
 * A target in the own zone of which nothing was heard lately is taken for free while those of its zone are expected to
 * make an ask wait no longer than this, ms: what it takes to go to another zone and back.
 */
const UNKNOWN_LOAD_MAX_LOCAL_WAIT_MS = 10;

/**
 * What the chance to fail weighs for a request that has no other try, against its time to an answer,
 * ms: a target that fails one in a hundred more is worth 50 ms.
 */
const RISK_COST_MS = 5000;

/**
 * What a target's sidecar said of when it can be probed counts for this long, ms. Others may have
 * probed it since; then the ask is refused, or the target is well, and nothing is lost but a round trip.
 */
const PROBE_MAX_AGE_MS = 4000;

/** Where requests wait for want of room, a target is probed after this part of the time that its gate asks for. */
const CONGESTED_PROBE_SHARE = 0.3;

/** Requests wait for want of room where they did so for this long on average, ms. */
const CONGESTED_WAIT_MS = 80;

/** Weight of the newest wait in the average: about the last five count. */
const WAIT_WEIGHT = 0.2;

/** Share of its usual work that a target gets when it has just come. */
const RAMP_START = 0.2;

/** A target that may be asked, and what is known of it. */
interface Candidate {
  readonly target: TargetInfo;
  readonly view: TargetView;
}

/** One look at the targets, for one request. */
interface PickSnapshot extends PickContext {
  readonly now: number;
  /** What requests of the route usually take, ms. */
  readonly typicalMs: number;
}

interface AdaptivePolicyDeps {
  readonly table: TargetTable;
  readonly zone: ZoneName;
  readonly clock: Clock;
  /** In [0, 1); tests pass a seeded one. */
  readonly random: () => number;
}

/**
 * The product's routing policy: power of two choices over the expected time to an
 * answer, among the targets in rotation. What a target's sidecar says of it decides
 * whether it is gray, this sidecar's own asks whether the path to it is good; the
 * service's floor bounds how many may be left out for either.
 */
export class AdaptivePolicy implements RoutingPolicy {
  readonly #deps: AdaptivePolicyDeps;
  readonly #views: TargetViews;
  readonly #baselines = new Map<string, LatencyBaseline>();
  /** How long requests waited for a slot lately, on average, by services' names, ms. */
  readonly #averageWaits = new Map<string, number>();
  readonly #zoneWaits: ZoneWaitEstimator;
  /** Floors of services by their names, as of the last request. */
  readonly #floors = new Map<string, number>();

  constructor(deps: AdaptivePolicyDeps) {
    this.#deps = deps;
    this.#views = new TargetViews(deps);
    this.#zoneWaits = new ZoneWaitEstimator(deps.clock);
  }

  pick(request: PickContext, tried: ReadonlySet<TargetId>): PickedTarget | undefined {
    const look = this.#snapshot(request);
    const open = this.#candidates(look, tried);
    const { random } = this.#deps;
    const toProbe = request.isExpendable ? this.#probeCandidates(look, open) : [];
    const probed = toProbe[Math.floor(random() * toProbe.length)];
    if (probed) {
      return { target: probed.target, isProbe: true };
    }
    const well = open.filter((c) => !this.#isSuspected(look, c));
    const reachable = well.filter((c) => !c.view.link.isSuspect);
    const best = reachable.length > 0 ? reachable : well;
    const near = this.#localCandidates(look, best);
    const tier = near.length > 0 ? near : best;
    const picked = pickByCost(tier, (c) => this.#cost(look, c), random);
    return picked && { target: picked.target };
  }

  suspected(request: PickContext, tried: ReadonlySet<TargetId>): SuspectTarget[] {
    const look = this.#snapshot(request);
    const suspected = this.#candidates(look, tried).filter(
      (c) => this.#isSuspected(look, c) && !c.view.link.isSuspect,
    );
    if (suspected.length === 0) {
      return [];
    }
    const { service } = request.route;
    const rotation = this.#rotation(this.#targetsOf(request.route), service.floor);
    return suspected
      .map((c) => ({
        target: c.target,
        risk: this.#riskOf(look, c),
        isKept: this.#isGray(look, c) && rotation.has(c.target.id),
      }))
      .sort((a, b) => a.risk - b.risk);
  }

  noteReply(target: TargetInfo, reply: SlotReply, ms: number | undefined): void {
    const view = this.#views.getOrCreate(target);
    this.#recordLoad(target, view, reply.load);
    if (ms !== undefined) {
      view.link.noteAnswer(ms);
    }
  }

  noteQueued(target: TargetInfo, load: GateLoad): void {
    this.#recordLoad(target, this.#views.getOrCreate(target), load);
  }

  noteWait({ service }: RouteMatch, waitedMs: number): void {
    const before = this.#averageWaits.get(service.name) ?? 0;
    this.#averageWaits.set(service.name, before + WAIT_WEIGHT * (waitedMs - before));
  }

  isPressed({ service }: RouteMatch): boolean {
    return (this.#averageWaits.get(service.name) ?? 0) >= CONGESTED_WAIT_MS;
  }

  /** A gate tells how its target is thought of, without having been asked. */
  noteLoad(id: TargetId, load: GateLoad): void {
    const view = this.#views.get(id);
    if (view) {
      this.#views.recordLoad(view, load);
    }
  }

  noteTimeout(target: TargetInfo): void {
    this.#views.getOrCreate(target).link.noteSilence();
  }

  begin(route: RouteMatch, target: TargetInfo): (outcome: AttemptOutcome) => void {
    const { clock } = this.#deps;
    const view = this.#views.getOrCreate(target);
    const startedAt = clock.now();
    view.outstanding += 1;
    return (outcome) => {
      view.outstanding -= 1;
      if (outcome === AttemptOutcome.Ok) {
        this.#baseline(route).add(clock.now() - startedAt);
      }
    };
  }

  typicalMs(route: RouteMatch): number {
    return this.#baseline(route).median ?? route.objectiveMs * DEFAULT_TYPICAL_SHARE;
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

  /** Targets of a route's service that take work and have not had their chance. */
  #candidates(look: PickSnapshot, tried: ReadonlySet<TargetId>): Candidate[] {
    const { route } = look;
    this.#floors.set(route.service.name, route.service.floor);
    const open: Candidate[] = [];
    for (const target of this.#targetsOf(route)) {
      if (target.state === TargetState.Ready && !tried.has(target.id)) {
        const candidate = { target, view: this.#views.getOrCreate(target) };
        if (!stopsTooSoon(look, candidate)) {
          open.push(candidate);
        }
      }
    }
    return open;
  }

  #snapshot(request: PickContext): PickSnapshot {
    const typicalMs = this.typicalMs(request.route);
    return { ...request, now: this.#deps.clock.now(), typicalMs };
  }

  /** Known to be gray; or only under suspicion, for a request that has no other try. */
  #isSuspected({ now, isExpendable }: PickSnapshot, { view }: Candidate): boolean {
    const judged = this.#views.freshHealth(view, now);
    return judged !== undefined && (judged.ejected || (judged.suspect && !isExpendable));
  }

  #isGray({ now }: Pick<PickSnapshot, "now">, { view }: Candidate): boolean {
    return this.#views.freshHealth(view, now)?.ejected ?? false;
  }

  #riskOf({ now }: Pick<PickSnapshot, "now">, { view }: Candidate): number {
    return this.#views.freshHealth(view, now)?.risk ?? 0;
  }

  /** Targets that an expendable request would tell something of. */
  #probeCandidates({ now, route }: PickSnapshot, open: readonly Candidate[]): Candidate[] {
    const share = this.isPressed(route) ? CONGESTED_PROBE_SHARE : 1;
    return open.filter(({ view: { load, loadReceivedAt: loadAt, link } }) => {
      const age = now - loadAt;
      const inMs = (load?.probeInMs ?? Infinity) * share;
      return inMs <= age && age < PROBE_MAX_AGE_MS && !link.isSuspect;
    });
  }

  #rotation(targets: readonly TargetInfo[], floor: number): Set<TargetId> {
    const now = this.#deps.clock.now();
    const judged = targets.map((target) => {
      const candidate = { target, view: this.#views.getOrCreate(target) };
      return {
        id: target.id,
        slots: target.slots,
        ready: target.state === TargetState.Ready,
        gray: this.#isGray({ now }, candidate),
        badness: this.#riskOf({ now }, candidate),
      };
    });
    return chooseRotation(judged, floor);
  }

  /**
   * Targets in this sidecar's zone that would serve a request as well as one elsewhere: those
   * that are free, and for what is large those that are soon. What stays in its zone is
   * there sooner, and costs no bytes between zones.
   */
  #localCandidates(look: PickSnapshot, candidates: readonly Candidate[]): Candidate[] {
    const { zone } = this.#deps;
    const unheardMs = look.route.bulk ? BULK_MAX_LOCAL_WAIT_MS : UNKNOWN_LOAD_MAX_LOCAL_WAIT_MS;
    const heardMs = look.route.bulk ? BULK_MAX_LOCAL_WAIT_MS : 0;
    return candidates.filter((c) => {
      const patienceMs = this.#views.freshLoad(c.view, look.now) ? heardMs : unheardMs;
      return c.target.zone === zone && this.#waitMs(look, c) <= patienceMs;
    });
  }

  /** Expected time to the answer, ms; more for a target that has just come, so that nobody stampedes to it. */
  #cost(look: PickSnapshot, candidate: Candidate): number {
    const { target, view } = candidate;
    const load = this.#views.freshLoad(view, look.now);
    const busy = ((load?.busy ?? 0) + view.outstanding) / Math.max(1, target.slots);
    const workMs = look.typicalMs * (load?.pace ?? 1) * (1 + busy);
    const riskMs = look.isExpendable ? 0 : this.#riskOf(look, candidate) * RISK_COST_MS;
    const total = this.#waitMs(look, candidate) + workMs + view.link.answerMs + riskMs;
    return total / this.#rampWeight(look.route, view);
  }

  #waitMs(look: PickSnapshot, { target, view }: Candidate): number {
    const load = this.#views.freshLoad(view, look.now);
    return load
      ? expectedWaitMs(load, load.serviceMs > 0 ? load.serviceMs : look.typicalMs)
      : this.#zoneWaits.expectedMs(target.service, target.zone);
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

/** The sidecar beside the target is being stopped, and ends before the request would; one that has ended may be back. */
function stopsTooSoon(
  { now, typicalMs, isExpendable }: PickSnapshot,
  { view }: Candidate,
): boolean {
  const { load, loadReceivedAt: loadAt } = view;
  if (load?.endsInMs === undefined) {
    return false;
  }
  const leftMs = load.endsInMs - (now - loadAt);
  return leftMs > 0 && leftMs < runRoomMs(typicalMs, isExpendable);
}

/** How long an ask waits at a target as busy as that, where a request takes `serviceMs`, ms. */
function expectedWaitMs({ busy, slots, queued }: GateLoad, serviceMs: number): number {
  return busy < slots ? 0 : ((queued / 2 + 1) * serviceMs) / Math.max(1, slots);
}
