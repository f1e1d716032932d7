import type bunyan from "bunyan";
import type { ActiveRuns } from "../gate/ActiveRuns.ts";
import { RequestOrigin } from "./RequestOrigin.ts";
import type { RouteMatch } from "./RouteMatch.ts";

/**
 * Share of calls that come while no run is under way, as far as this sidecar can tell: a run that was given up
 * may still make its calls.
 */
const STRAYS = 0.02;

/** The share of idle time is never surer than this, nor is it told from strays below it. */
const LEAST_SHARE = 2 * STRAYS;

/** The evidence of a route is never surer than this, nats: a new configuration may give its name to other requests. */
const MOST_NATS = 6;

/** A route is taken for one of calls, or of callers' own requests, from this evidence on, nats: 9 to 1. */
const SURE_NATS = Math.log(9);

/** Where a request comes from is taken for this much evidence that it is a call, nats; what is seen then may outweigh it. */
const ORIGIN_NATS: Readonly<Record<RequestOrigin, number>> = {
  [RequestOrigin.TargetVm]: 5,
  [RequestOrigin.Elsewhere]: -5,
  [RequestOrigin.Unknown]: 0,
};

/** A request that begins at this sidecar, and what it counts as. */
export interface StartedRequest {
  /** It is taken for a caller's own request: it gives leave for extras. */
  readonly isOwn: boolean;
  /** It is taken for a call, of a run that is lost without it. */
  readonly isCall: boolean;
  /** Notes how it ended. */
  end(wasServed: boolean): void;
}

interface TrafficClassifierDeps {
  readonly runs: Pick<ActiveRuns, "count" | "idleShare" | "beginCall">;
  readonly log: bunyan;
}

/**
 * Tells calls, which targets make in the midst of their work, from callers' own
 * requests. Both come to the sidecar beside the target, and nothing in them says which
 * is which; but a call comes from the target's address, and only while a run is under way there. A route on which requests
 * come at times when none is gathers evidence (log-likelihood ratios) of callers' own; the busier the target, the
 * slower, so that where the address tells nothing it may take a minute.
 */
export class TrafficClassifier {
  readonly #deps: TrafficClassifierDeps;
  /** Evidence that the requests of a route and an origin are calls, against callers' own, nats. */
  readonly #nats = new Map<string, number>();
  /** Requests come from other addresses than the target's: until then, callers may share it, and it tells nothing. */
  #hasElsewhere = false;
  /** What the log has last told of each. */
  readonly #told = new Map<string, number>();

  constructor(deps: TrafficClassifierDeps) {
    this.#deps = deps;
  }

  /** Notes a request of `route` that begins here, and tells what it counts as. */
  begin(
    { name: route, service }: Pick<RouteMatch, "name" | "service">,
    origin = RequestOrigin.Unknown,
  ): StartedRequest {
    const { runs } = this.#deps;
    this.#hasElsewhere ||= origin === RequestOrigin.Elsewhere;
    const tells = this.#hasElsewhere ? origin : RequestOrigin.Unknown;
    const key = `${route} from ${tells}`;
    const nats = this.#weigh(key, ORIGIN_NATS[tells]);
    const weight = weightOf(nats);
    this.#tell(key, weight, nats);
    const isOwn = weight === 0;
    return {
      isOwn,
      isCall: weight === 1,
      end: isOwn ? () => undefined : runs.beginCall({ route, service: service.name, weight }),
    };
  }

  #weigh(key: string, before: number): number {
    const nats = (this.#nats.get(key) ?? before) + this.#gained();
    const bounded = Math.min(MOST_NATS, Math.max(-MOST_NATS, nats));
    this.#nats.set(key, bounded);
    return bounded;
  }

  /** What the request that comes now adds. One beside a target that is never idle adds nothing: either kind comes so. */
  #gained(): number {
    const { count, idleShare } = this.#deps.runs;
    if (count > 0 && idleShare < LEAST_SHARE) {
      return 0;
    }
    const share = Math.min(1 - LEAST_SHARE, Math.max(LEAST_SHARE, idleShare));
    return count === 0 ? Math.log(STRAYS / share) : Math.log((1 - STRAYS) / (1 - share));
  }

  #tell(requests: string, weight: number, nats: number): void {
    if (this.#told.get(requests) !== weight) {
      this.#told.set(requests, weight);
      const { idleShare } = this.#deps.runs;
      this.#deps.log.info({ requests, weight, nats, idleShare }, "traffic classified");
    }
  }
}

/** How much a request counts as a call: 1 on a route of calls, 0 on one of callers' own, half where it is not known. */
function weightOf(nats: number): number {
  if (Math.abs(nats) < SURE_NATS) {
    return 0.5;
  }
  return nats > 0 ? 1 : 0;
}
