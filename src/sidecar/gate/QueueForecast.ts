import type { Clock } from "../../common/lifecycle/Clock.ts";
import type { GateLoad } from "../hop/GateLoad.ts";
import type { AdmissionQueue } from "./AdmissionQueue.ts";
import type { ExpectedWait } from "./ExpectedWait.ts";
import type { GrantPacer } from "./GrantPacer.ts";
import type { QueuedRequest } from "./QueuedRequest.ts";
import { SERVED_HERE_SHARE } from "./SERVED_HERE_SHARE.ts";
import type { ServiceTime } from "./ServiceTime.ts";

interface QueueForecastDeps {
  readonly queue: AdmissionQueue;
  readonly pacer: GrantPacer;
  readonly serviceTime: ServiceTime;
  /** Number of requests that the target can run at once. */
  readonly slots: () => number;
  readonly clock: Clock;
}

/** Forecasts how long slot requests wait at a gate: for a slot, or for the limit that the target names. */
export class QueueForecast {
  readonly #deps: QueueForecastDeps;

  constructor(deps: QueueForecastDeps) {
    this.#deps = deps;
  }

  /** Mean time between two grants while requests are queued, ms. */
  get msPerGrant(): number {
    return Math.max(this.#msPerSlot, this.#deps.pacer.limit.intervalMs);
  }

  /** Estimated remaining wait of a request that is queued or about to be. */
  waitOf(waiting: QueuedRequest): ExpectedWait {
    const slotMs = this.#queueMs(waiting, this.#msPerSlot);
    const limitMs = this.#limitMs(waiting);
    const ms = Math.max(slotMs, limitMs, this.#deps.pacer.waitMs);
    return { ms, isForLimit: limitMs > slotMs };
  }

  /** What the load report of the gate says about the limit. */
  get limitLoad(): Pick<GateLoad, "limitPerS" | "limitWaitMs"> {
    const { limit, limitWaitMs } = this.#deps.pacer;
    const { perS } = limit;
    const queueMs = this.#deps.queue.length * SERVED_HERE_SHARE * limit.intervalMs;
    return perS === undefined
      ? {}
      : { limitPerS: perS, limitWaitMs: Math.round(limitWaitMs + queueMs) };
  }

  /** Mean time between two slots that come free while all are in use, ms. */
  get #msPerSlot(): number {
    return this.#deps.serviceTime.meanMs / Math.max(1, this.#deps.slots());
  }

  /** Estimated wait for the limit, ms; 0 without one. */
  #limitMs(waiting: QueuedRequest): number {
    const { limit, limitWaitMs } = this.#deps.pacer;
    const { intervalMs } = limit;
    return intervalMs > 0
      ? limitWaitMs + Math.max(0, this.#queueMs(waiting, intervalMs) - intervalMs)
      : 0;
  }

  /** Estimated time until the request and all before it in the queue are granted, ms. */
  #queueMs(waiting: QueuedRequest, msPerGrant: number): number {
    const { queue, clock, serviceTime } = this.#deps;
    return queue.waitMs(waiting, clock.now(), { msPerGrant, serviceMs: serviceTime.meanMs });
  }
}
