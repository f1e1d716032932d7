import { finished, type Readable } from "node:stream";
import type { Clock } from "../../common/lifecycle/Clock.ts";
import { LatencyBaseline } from "../detection/LatencyBaseline.ts";
import type { RouteMatch } from "./RouteMatch.ts";

/**
 * How long streamed responses take until their bodies have been passed on whole. The response times of the routing
 * policy end when the start of a response has arrived.
 */
export class StreamTimes {
  readonly #clock: Clock;
  readonly #baselines = new Map<string, LatencyBaseline>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Records the time from `startedAt`, ms, to the end of `body`, unless that is cut off. */
  record({ name }: RouteMatch, body: Readable, startedAt: number): void {
    finished(body, { writable: false }, (err) => {
      if (!err) {
        const baseline = this.#baselines.get(name) ?? new LatencyBaseline();
        this.#baselines.set(name, baseline);
        baseline.add(this.#clock.now() - startedAt);
      }
    });
  }

  /** Typical time of a streamed response of the route, or a bound while there are few, ms; 0 if it is not known. */
  typicalMs({ name }: RouteMatch): number {
    const { median, bound = 0 } = this.#baselines.get(name) ?? {};
    return median ?? bound;
  }
}
