import type { ServiceName } from "../../common/ids/ServiceName.ts";
import type { Clock } from "../../common/lifecycle/Clock.ts";
import type { ZoneName } from "../../common/ids/ZoneName.ts";

/** Weight of the newest report in the moving average: about the last five reports dominate it. */
const NEWEST_WEIGHT = 0.2;

/** Without new reports the average halves in this time, ms, so that a zone that was full is tried again. */
const HALF_LIFE_MS = 1500;

interface Average {
  waitMs: number;
  updatedAt: number;
}

/**
 * Estimates the wait for a slot at targets without a fresh load report, from recent reports of other targets of the same
 * service and zone. Among hundreds of targets a sidecar gets a report of any single one only occasionally. When targets
 * without a report were assumed to be free, the targets of a zone with more callers than other zones were still tried
 * first, and requests queued there while other zones had room.
 */
export class ZoneWaitEstimator {
  readonly #clock: Clock;
  readonly #averages = new Map<string, Average>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Records that a slot request would wait `waitMs` at a target of the service in the zone. */
  record(service: ServiceName, zone: ZoneName, waitMs: number): void {
    const previousMs = this.expectedMs(service, zone);
    this.#averages.set(keyOf(service, zone), {
      waitMs: previousMs + NEWEST_WEIGHT * (waitMs - previousMs),
      updatedAt: this.#clock.now(),
    });
  }

  /** Expected wait of a slot request in the zone, ms; 0 without any report. */
  expectedMs(service: ServiceName, zone: ZoneName): number {
    const average = this.#averages.get(keyOf(service, zone));
    if (!average) {
      return 0;
    }
    const age = this.#clock.now() - average.updatedAt;
    return average.waitMs * 0.5 ** (age / HALF_LIFE_MS);
  }
}

function keyOf(service: ServiceName, zone: ZoneName): string {
  return `${service}/${zone}`;
}
