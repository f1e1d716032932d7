import type { Clock } from "../../common/lifecycle/Clock.ts";
import { WorkDemand } from "./WorkDemand.ts";

/** Interval at which a target's demand for work is published again while it lasts, ms. */
const REPEAT_MS = 500;

interface DemandPublisherDeps {
  readonly clock: Clock;
  /** Whether the target may be granted a request now: only such a target asks for work. */
  readonly mayGrant: () => boolean;
  /** Called when the target begins to want work, repeatedly while it does, and when it no longer does. */
  readonly onChange: () => void;
  /** Called once for each time that the target is idle while its service fails a share of its requests, 0 to 1. */
  readonly onDemand?: (unservedShare: number) => void;
}

/** Publishes that a target wants work, as {@link WorkDemand} decides. */
export class DemandPublisher {
  readonly #deps: DemandPublisherDeps;
  readonly #demand: WorkDemand;
  /** When the demand was last published, by the clock, ms; undefined while there is none. */
  #publishedAt: number | undefined;
  #isReported = false;

  constructor(deps: DemandPublisherDeps) {
    this.#deps = deps;
    this.#demand = new WorkDemand(deps.clock);
  }

  /** Whether the target asks for work now. */
  get wantsWork(): boolean {
    return this.#deps.mayGrant() && this.#demand.isActive;
  }

  /** Records the unserved share of the service's requests at the sender of a slot request, 0 to 1. */
  recordReport(unservedShare: number): void {
    this.#demand.recordReport(unservedShare);
  }

  /** Records that a run has begun. */
  recordStart(): void {
    this.#demand.recordStart();
    this.#isReported = false;
    this.update();
  }

  /** Records that a run has failed. */
  recordFailure(): void {
    this.#demand.recordFailure();
  }

  /** Whether to accept a request that the target's health alone would not admit. */
  accepts(isIdempotent: boolean): boolean {
    return this.#demand.accepts(isIdempotent);
  }

  /** Publishes the demand if that is due. */
  update(): void {
    const { clock, onChange, onDemand } = this.#deps;
    const now = clock.now();
    const { wantsWork } = this;
    const hadDemand = this.#publishedAt !== undefined;
    const isDue = now - (this.#publishedAt ?? -Infinity) >= REPEAT_MS;
    if (wantsWork && this.#demand.isServiceFailing && !this.#isReported) {
      this.#isReported = true;
      onDemand?.(this.#demand.unservedShare);
    }
    if (wantsWork ? isDue : hadDemand) {
      this.#publishedAt = wantsWork ? now : undefined;
      onChange();
    }
  }
}
