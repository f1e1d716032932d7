import type { ServiceName } from "../../common/ids/ServiceName.ts";
import type { Clock } from "../../common/lifecycle/Clock.ts";
import type { ZoneName } from "../../common/ids/ZoneName.ts";

/** Weight of the newest word in the average: about the last five gates heard of count. */
const WEIGHT = 0.2;

/** Without any word, what was last heard halves in this long, ms: a zone that was full is tried again. */
const HALF_LIFE_MS = 1500;

interface Average {
  waitMs: number;
  heardAt: number;
}

/**
 * How long an ask waits for a slot at a target of which nothing fresh is known: as long as at others of its service and zone that
 * were heard of lately. Among hundreds of targets a sidecar hears of any one only now and then; taken for free until it says
 * otherwise, the targets of a zone with more callers than others were asked first all the same, and
 * requests stood in line there while other zones had room.
 */
export class ZoneWaitEstimator {
  readonly #clock: Clock;
  readonly #averages = new Map<string, Average>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Notes that an ask would wait so long, ms, at a target of a service in a zone. */
  note(service: ServiceName, zone: ZoneName, waitMs: number): void {
    const before = this.expectedMs(service, zone);
    this.#averages.set(keyOf(service, zone), {
      waitMs: before + WEIGHT * (waitMs - before),
      heardAt: this.#clock.now(),
    });
  }

  /** How long an ask is expected to wait there, ms; 0 where nothing was heard. */
  expectedMs(service: ServiceName, zone: ZoneName): number {
    const average = this.#averages.get(keyOf(service, zone));
    if (!average) {
      return 0;
    }
    const age = this.#clock.now() - average.heardAt;
    return average.waitMs * 0.5 ** (age / HALF_LIFE_MS);
  }
}

function keyOf(service: ServiceName, zone: ZoneName): string {
  return `${service}/${zone}`;
}
