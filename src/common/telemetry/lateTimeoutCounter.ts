import { Counter, type Registry } from "prom-client";

/** Registers the counter of timeouts that ended late; its label says whether the awaited input had arrived. */
export function lateTimeoutCounter(registry: Registry): Counter {
  return new Counter({
    name: "burdockpass_late_timeouts_total",
    help: "Timeouts that ended late because the event loop was blocked, by whether the awaited input had arrived.",
    labelNames: ["input"],
    registers: [registry],
  });
}
