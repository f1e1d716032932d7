import type bunyan from "bunyan";
import type { ActiveRuns } from "../gate/ActiveRuns.ts";
import { RequestOrigin } from "./RequestOrigin.ts";
import type { RouteMatch } from "./RouteMatch.ts";

/**
 * Assumed fraction of nested calls that arrive while this sidecar knows of no active run: a target may still make
 * the nested calls of a run that was given up.
 */
const STRAY_CALL_RATIO = 0.02;

/** The idle share is clamped to [this, 1 - this]; below it, idle time is indistinguishable from stray calls. */
const MIN_IDLE_SHARE = 2 * STRAY_CALL_RATIO;

/**
 * Bound on the absolute evidence, nats. It stays revisable, since a new document version may reuse a route's name for
 * other requests.
 */
const MAX_EVIDENCE_NATS = 6;

/** Evidence from which requests are classified as nested calls or as caller requests, nats: odds of 9 to 1. */
const DECISION_NATS = Math.log(9);

/** Weight as a nested call of requests whose origin proves what they are; see {@link callWeight}. */
const PROVEN_WEIGHTS: Readonly<Partial<Record<RequestOrigin, number>>> = {
  [RequestOrigin.Keyed]: 0,
  [RequestOrigin.TargetWithoutKey]: 1,
};

/** Prior evidence from a request's origin that it is a nested call, nats; later observations may outweigh it. */
const ORIGIN_PRIOR_NATS: Readonly<Partial<Record<RequestOrigin, number>>> = {
  [RequestOrigin.TargetVm]: 5,
  [RequestOrigin.Elsewhere]: -5,
  [RequestOrigin.Unknown]: 0,
};

/** A request received by this sidecar from a caller or a local target, with its classification. */
export interface ClassifiedRequest {
  /** Whether it is classified as a caller's request, which adds to the retry budget as a first try. */
  readonly isFromCaller: boolean;
  /** Whether it is classified as a nested call, whose failure makes its run fail. */
  readonly isNestedCall: boolean;
  /** Records the end of the request, and whether it was served. */
  end(wasServed: boolean): void;
}

interface TrafficClassifierDeps {
  readonly runs: Pick<ActiveRuns, "count" | "idleShare" | "beginCall">;
  readonly log: bunyan;
}

/**
 * Distinguishes nested calls, which targets make during a run, from callers' requests. Both reach the sidecar local to
 * the target, and nothing in them says which is which. But a nested call comes from the target's address, and only
 * while a run is active there. Requests that arrive while no run is active add evidence (log-likelihood ratios) that
 * their route is used by callers. The busier the target, the slower the evidence grows: where the address does not
 * distinguish the two, classification may take a minute. Where callers need API keys, the key tells at once.
 */
export class TrafficClassifier {
  readonly #deps: TrafficClassifierDeps;
  /** Evidence that requests are nested calls rather than callers' requests, nats, by route and origin. */
  readonly #evidenceNats = new Map<string, number>();
  /**
   * Whether a request came from an address other than the target's. Until then callers may share it, so it is no
   * evidence.
   */
  #sawOtherAddress = false;
  /** Weight last logged, by route and origin. */
  readonly #loggedWeights = new Map<string, number>();

  constructor(deps: TrafficClassifierDeps) {
    this.#deps = deps;
  }

  /**
   * Records the arrival of a request of `route`, and classifies it.
   *
   * @param origin by the source address
   * @param provenOrigin by the API key or the lack of one; undefined where that proves nothing
   */
  begin(
    { name: route, service }: Pick<RouteMatch, "name" | "service">,
    origin = RequestOrigin.Unknown,
    provenOrigin?: RequestOrigin,
  ): ClassifiedRequest {
    const { runs } = this.#deps;
    this.#sawOtherAddress ||= origin === RequestOrigin.Elsewhere;
    const proven = provenOrigin && PROVEN_WEIGHTS[provenOrigin];
    const weight = proven ?? this.#estimateWeight(route, origin);
    const isFromCaller = weight === 0;
    return {
      isFromCaller,
      isNestedCall: weight === 1,
      end: isFromCaller
        ? () => undefined
        : runs.beginCall({ route, service: service.name, weight }),
    };
  }

  /** Estimates a request's weight as a nested call by the evidence so far. */
  #estimateWeight(route: string, origin: RequestOrigin): number {
    const usedOrigin = this.#sawOtherAddress ? origin : RequestOrigin.Unknown;
    const key = `${route} from ${usedOrigin}`;
    const nats = this.#updateEvidence(key, ORIGIN_PRIOR_NATS[usedOrigin] ?? 0);
    const weight = callWeight(nats);
    this.#logChange(key, weight, nats);
    return weight;
  }

  #updateEvidence(key: string, priorNats: number): number {
    const nats = (this.#evidenceNats.get(key) ?? priorNats) + this.#arrivalEvidence();
    const bounded = Math.min(MAX_EVIDENCE_NATS, Math.max(-MAX_EVIDENCE_NATS, nats));
    this.#evidenceNats.set(key, bounded);
    return bounded;
  }

  /** Evidence from a request that arrives now, nats. 0 at a busy, almost never idle target: both kinds arrive then. */
  #arrivalEvidence(): number {
    const { count, idleShare } = this.#deps.runs;
    if (count > 0 && idleShare < MIN_IDLE_SHARE) {
      return 0;
    }
    const share = Math.min(1 - MIN_IDLE_SHARE, Math.max(MIN_IDLE_SHARE, idleShare));
    return count === 0
      ? Math.log(STRAY_CALL_RATIO / share)
      : Math.log((1 - STRAY_CALL_RATIO) / (1 - share));
  }

  #logChange(requests: string, weight: number, nats: number): void {
    if (this.#loggedWeights.get(requests) !== weight) {
      this.#loggedWeights.set(requests, weight);
      const { idleShare } = this.#deps.runs;
      this.#deps.log.info({ requests, weight, nats, idleShare }, "traffic classified");
    }
  }
}

/**
 * Weight of a request as a nested call: 1 if classified as one, 0 if classified as a caller's request, 0.5 if
 * undecided.
 */
function callWeight(nats: number): number {
  if (Math.abs(nats) < DECISION_NATS) {
    return 0.5;
  }
  return nats > 0 ? 1 : 0;
}
