import type bunyan from "bunyan";
import type { RunsHere } from "../gate/RunsHere.ts";

/** Arrivals in idle times that a route of callers' requests must have missed before it is taken for one of calls. */
const MISSED = 3;

/** Of those, so many may have come all the same, as a share: a run that was given up may still make its calls. */
const STRAY_SHARE = 0.2;

/** How much a request of a route that is not known yet counts as a caller's, and as a call. */
const UNKNOWN_WEIGHT = 0.5;

interface CallTrafficDeps {
  readonly runs: Pick<RunsHere, "count" | "repeats" | "idleShare" | "beginCall">;
  readonly log: bunyan;
}

/** What is known of one route. */
interface Seen {
  /** Arrivals that were to be expected while no run was under way, were they independent of runs. */
  expectedIdle: number;
  idle: number;
}

/** A request that begins at this sidecar, and what it counts as, in shares of one. */
export interface Begun {
  /** A request of a caller's own. */
  readonly own: number;
  /** A call that a run makes which repeats an earlier one. */
  readonly repeated: number;
  /** Notes how it ended. */
  end(wasServed: boolean): void;
}

/**
 * Tells calls, which targets make in the midst of their work, from callers' own
 * requests. Both come to the sidecar beside the target, and nothing in them says which
 * is which; but a call comes only while a run is under way there. A retry of a request
 * makes its calls anew, and these are extra requests at the service that is called: seen
 * by nobody, they took a service over its retry budget, by 6 of 203 in a played day.
 */
export class CallTraffic {
  readonly #deps: CallTrafficDeps;
  readonly #seen = new Map<string, Seen>();
  /** The weight of each route as a call that the log has last told of. */
  readonly #told = new Map<string, number>();

  constructor(deps: CallTrafficDeps) {
    this.#deps = deps;
  }

  /** Notes a request of `route` that begins here, and tells what it counts as. */
  begin(route: string): Begun {
    const { runs } = this.#deps;
    const { count, repeats, idleShare } = runs;
    const seen = this.#seen.get(route) ?? { expectedIdle: 0, idle: 0 };
    seen.expectedIdle += idleShare;
    seen.idle += count === 0 ? 1 : 0;
    this.#seen.set(route, seen);
    const callWeight = weightAsCall(seen);
    this.#tell(route, callWeight, seen);
    return {
      own: 1 - callWeight,
      repeated: count > 0 ? (callWeight * repeats) / count : 0,
      end: callWeight > 0 ? runs.beginCall(route) : () => undefined,
    };
  }

  #tell(route: string, callWeight: number, seen: Seen): void {
    if (this.#told.get(route) !== callWeight) {
      this.#told.set(route, callWeight);
      this.#deps.log.info({ route, callWeight, ...seen }, "route taken for calls or callers");
    }
  }
}

function weightAsCall({ expectedIdle, idle }: Seen): number {
  if (idle > STRAY_SHARE * expectedIdle) {
    return 0;
  }
  return expectedIdle >= MISSED ? 1 : UNKNOWN_WEIGHT;
}
