import type bunyan from "bunyan";
import { Disposable } from "../../common/lifecycle/Disposable.ts";
import { every } from "../../common/lifecycle/every.ts";
import type { OperatorDocument } from "../../common/document/OperatorDocument.ts";
import { ServiceName } from "../../common/ids/ServiceName.ts";
import type { TargetId } from "../../common/ids/TargetId.ts";
import { AttemptOutcome } from "../detection/AttemptOutcome.ts";
import { chooseRotation } from "./chooseRotation.ts";
import { combineEvidence } from "../detection/combineEvidence.ts";
import { ConcurrencyLimit } from "./ConcurrencyLimit.ts";
import { EjectionTerm } from "../detection/EjectionTerm.ts";
import type { Evidence } from "../detection/Evidence.ts";
import type { EvidenceSource } from "../detection/EvidenceSource.ts";
import type { Judgement } from "../detection/Judgement.ts";
import { OutlierDetector } from "../detection/OutlierDetector.ts";
import type { PickResult } from "./PickResult.ts";
import { pickByCost } from "./pickByCost.ts";
import type { RouteMatch } from "./RouteMatch.ts";
import type { RoutingPolicy } from "./RoutingPolicy.ts";
import type { TargetInfo } from "../membership/TargetInfo.ts";
import { TargetState } from "../membership/TargetState.ts";
import type { TargetTable } from "../membership/TargetTable.ts";

type Service = OperatorDocument["services"][number];

/** How often evidence is weighed and the rotation drawn up afresh, ms. */
const EVALUATE_MS = 50;

/** A target that shed a request is a last choice for this long, ms. */
const SHED_COOLDOWN_MS = 100;

/** Cost factor of a target that shed lately. */
const SHED_COST = 4;

/** A late or failed answer worth telling peers at once has at least this score. */
const NEWS_SCORE = 2;

/** What this sidecar keeps about one target. */
interface Standing {
  readonly term: EjectionTerm;
  readonly limit: ConcurrencyLimit;
  outstanding: number;
  shedAt: number;
  /** Evidence that had it ejected, to rank it against others while it is out. */
  badness: number;
  inRotation: boolean;
  /** It was ready at the last look. */
  ready: boolean;
}

/** What the policy needs from the rest of the sidecar. */
interface AdaptivePolicyDeps {
  readonly table: TargetTable;
  readonly document: () => OperatorDocument | undefined;
  /** Monotonic clock, ms. */
  readonly now: () => number;
  /** In [0, 1); tests pass a seeded one. */
  readonly random: () => number;
  /** Time this process stood still so far, ms. */
  readonly stallMs: () => number;
  readonly evidence: EvidenceSource;
  readonly log: bunyan;
}

/**
 * The product's routing policy: power of two choices over load and latency
 * among the targets in rotation, with limits that respect slots, and ejection
 * of gray targets on this sidecar's and its peers' evidence, never below the
 * service's floor.
 */
export class AdaptivePolicy extends Disposable implements RoutingPolicy {
  readonly #deps: AdaptivePolicyDeps;
  readonly #detector: OutlierDetector;
  #grouped: readonly TargetInfo[] = [];
  #byService: ReadonlyMap<ServiceName, readonly TargetInfo[]> = new Map();
  readonly #standings = new Map<TargetId, Standing>();
  readonly #rotations = new Map<string, TargetInfo[]>();
  /** Mean latency over a service's targets, ms: stands in for one not measured yet. */
  readonly #typicalMs = new Map<ServiceName, number>();

  constructor(deps: AdaptivePolicyDeps) {
    super();
    this.#deps = deps;
    this.#detector = new OutlierDetector(deps.now, deps.stallMs);
  }

  /** Starts weighing evidence until disposed. */
  start(): void {
    this.register(
      every(EVALUATE_MS, () => {
        this.evaluate();
      }),
    );
  }

  pick(route: RouteMatch, tried: ReadonlySet<TargetId>): PickResult {
    const rotation = this.#rotations.get(route.service.name);
    const candidates = (rotation ?? this.#refresh(route.service)).filter((t) => !tried.has(t.id));
    if (candidates.length === 0) {
      return { kind: "none" };
    }
    const withRoom = candidates.filter((t) => {
      const standing = this.#standing(t);
      return standing.outstanding < standing.limit.value;
    });
    const target = pickByCost(withRoom, (t) => this.#cost(t), this.#deps.random);
    return target ? { kind: "target", target } : { kind: "full" };
  }

  begin(route: RouteMatch, target: TargetInfo): (outcome: AttemptOutcome) => void {
    const standing = this.#standing(target);
    const rule = route.service.detection;
    const end = this.#detector.begin(target.id, route.service.name, route.kind, rule);
    standing.outstanding += 1;
    return (outcome) => {
      standing.outstanding -= 1;
      this.#adjustLimit(standing, outcome);
      end(outcome);
      if (outcome === AttemptOutcome.Failed || outcome === AttemptOutcome.NoAnswer) {
        this.evaluate();
      }
    };
  }

  describe(): { id: TargetId; rotation: "in" | "ejected" }[] {
    return [...this.#standings].map(([id, s]) => ({
      id,
      rotation: s.inRotation ? "in" : "ejected",
    }));
  }

  /** Weighs all evidence and draws up every service's rotation. */
  evaluate(): void {
    this.#detector.checkOverdue();
    const own = new Map(this.#detector.evidence().map((e) => [e.target, e]));
    this.#deps.evidence.publish(own);
    const byService = this.#groups();
    for (const service of this.#deps.document()?.services ?? []) {
      const mine = byService.get(ServiceName(service.name)) ?? [];
      if (mine.length > 0 || this.#rotations.has(service.name)) {
        this.#evaluateService(service, mine, own);
      }
    }
  }

  /** Targets by service; drawn up afresh, and what is kept of others forgotten, when the table has changed. */
  #groups(): ReadonlyMap<ServiceName, readonly TargetInfo[]> {
    const targets = this.#deps.table.allTargets();
    if (targets !== this.#grouped) {
      this.#grouped = targets;
      this.#byService = groupByService(targets);
      this.#forgetGone(new Set(targets.map((t) => t.id)));
    }
    return this.#byService;
  }

  #evaluateService(
    service: Service,
    targets: readonly TargetInfo[],
    own: ReadonlyMap<TargetId, Evidence>,
  ): void {
    const hosts = new Set(targets.map((t) => t.peerAddress));
    const suspicious = targets.filter((t) => isNews(own.get(t.id)));
    if (suspicious.length > 0) {
      this.#deps.evidence.share(service.name, suspicious, hosts);
    }
    const groupSize = this.#deps.evidence.groupSize(service.name, hosts);
    this.#warmUp(service, targets);
    const judged = targets.map((t) => ({
      target: t,
      id: t.id,
      slots: t.slots,
      ready: t.state === TargetState.Ready,
      ...this.#judge(t, service, own.get(t.id), groupSize),
    }));
    const rotation = chooseRotation(judged, service.floor);
    for (const { target, badness, ready } of judged) {
      this.#carryOut(service, target, ready && !rotation.has(target.id), badness);
    }
    this.#rotations.set(
      service.name,
      targets.filter((t) => rotation.has(t.id)),
    );
    const known = targets.flatMap((t) => this.#detector.latencyMs(t.id) ?? []);
    if (known.length > 0) {
      const mean = known.reduce((sum, ms) => sum + ms, 0) / known.length;
      this.#typicalMs.set(ServiceName(service.name), mean);
    }
  }

  /** Starts the ramp of targets that came up, or came into sight, since the last look. */
  #warmUp(service: Service, targets: readonly TargetInfo[]): void {
    const looked = this.#rotations.has(service.name);
    for (const t of targets) {
      const isNew = looked && !this.#standings.has(t.id);
      const standing = this.#standing(t);
      const ready = t.state === TargetState.Ready;
      if (ready && (isNew || !standing.ready)) {
        standing.term.warmUp(service.detection.rampMs);
      }
      standing.ready = ready;
    }
  }

  #judge(
    target: TargetInfo,
    service: Service,
    own: Evidence | undefined,
    groupSize: number,
  ): Judgement {
    const standing = this.#standing(target);
    if (standing.term.takeReadmission()) {
      this.#detector.reset(target.id);
      return { gray: false, badness: 0 };
    }
    if (standing.term.ejected) {
      return { gray: true, badness: standing.badness };
    }
    // Evidence from before the readmission already had its ejection.
    const sinceReadmission = this.#deps.now() - standing.term.endsAt;
    const current = this.#deps.evidence
      .about(target.id)
      .filter((e) => e.lastBadAgeMs < sinceReadmission);
    const threshold = service.detection.threshold * standing.term.thresholdFactor;
    return combineEvidence(own, current, target.probeFailing, threshold, groupSize);
  }

  #carryOut(service: Service, target: TargetInfo, out: boolean, badness: number): void {
    const standing = this.#standing(target);
    // Only one that was in: a term that runs out in the midst of an evaluation
    // was still running when the target was judged, and must not start anew.
    if (out && standing.inRotation && !standing.term.ejected) {
      const forMs = standing.term.eject(service.detection);
      standing.badness = badness;
      this.#deps.log.info({ target: target.id, service: service.name, badness, forMs }, "ejected");
    } else if (!out && !standing.inRotation) {
      this.#deps.log.info({ target: target.id, service: service.name }, "readmitted");
    }
    standing.inRotation = !out;
  }

  #cost(t: TargetInfo): number {
    const s = this.#standing(t);
    const load = (s.outstanding + 1) / s.limit.value;
    const shedLately = this.#deps.now() - s.shedAt < SHED_COOLDOWN_MS;
    const latency = this.#detector.latencyMs(t.id) ?? this.#typicalMs.get(t.service) ?? 1;
    return (load * latency * (shedLately ? SHED_COST : 1)) / s.term.weight;
  }

  #adjustLimit(standing: Standing, outcome: AttemptOutcome): void {
    if (outcome === AttemptOutcome.Ok || outcome === AttemptOutcome.Failed) {
      standing.limit.onAnswer();
    } else if (outcome === AttemptOutcome.Shed) {
      standing.limit.onShed();
      standing.shedAt = this.#deps.now();
    }
  }

  #refresh(service: Service): TargetInfo[] {
    return this.#deps.table
      .targetsOf(ServiceName(service.name))
      .filter((t) => t.state === TargetState.Ready);
  }

  #forgetGone(live: ReadonlySet<TargetId>): void {
    this.#detector.retain(live);
    for (const [id, standing] of this.#standings) {
      if (!live.has(id) && standing.outstanding === 0) {
        this.#standings.delete(id);
      }
    }
  }

  #standing(t: TargetInfo): Standing {
    let standing = this.#standings.get(t.id);
    if (!standing) {
      standing = {
        term: new EjectionTerm(this.#deps.now),
        limit: new ConcurrencyLimit(t.slots),
        outstanding: 0,
        shedAt: -Infinity,
        badness: 0,
        inRotation: true,
        ready: t.state === TargetState.Ready,
      };
      this.#standings.set(t.id, standing);
    }
    return standing;
  }
}

function groupByService(targets: readonly TargetInfo[]): Map<ServiceName, TargetInfo[]> {
  const groups = new Map<ServiceName, TargetInfo[]>();
  for (const target of targets) {
    const group = groups.get(target.service);
    if (group) {
      group.push(target);
    } else {
      groups.set(target.service, [target]);
    }
  }
  return groups;
}

function isNews(e: Evidence | undefined): boolean {
  if (!e) {
    return false;
  }
  const score = Math.max(e.failureScore, e.lateScore);
  return score >= NEWS_SCORE && e.lastBadAgeMs < EVALUATE_MS;
}
