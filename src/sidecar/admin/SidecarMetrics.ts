import { Counter, Histogram, Registry } from "prom-client";
import type { TrafficKind } from "./TrafficKind.ts";

/** Buckets for added latency, seconds: fine below 2 ms, where the users' budget is. */
const LATENCY_BUCKETS = [
  0.0005, 0.001, 0.0017, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 1, 2.5,
];

/** The sidecar's prom-client metrics, in a registry of its own. */
export class SidecarMetrics {
  readonly registry = new Registry();
  readonly #requests: Counter;
  readonly #duration: Histogram;
  readonly #controlBytes: Counter;

  constructor() {
    // Not prom-client's default metrics: their event loop monitor wakes the process
    // 100 times a second, most of the 8% of a core that an idle sidecar cost.
    this.#requests = new Counter({
      name: "burdockpass_requests_total",
      help: "Callers' requests answered, by service and verdict.",
      labelNames: ["service", "verdict"],
      registers: [this.registry],
    });
    this.#duration = new Histogram({
      name: "burdockpass_request_duration_seconds",
      help: "Time from a caller's request to its answer, by service.",
      labelNames: ["service"],
      buckets: LATENCY_BUCKETS,
      registers: [this.registry],
    });
    this.#controlBytes = new Counter({
      name: "burdockpass_control_bytes_total",
      help: "Bytes of burdockpass's own messages , sent and received, protobuf-encoded, by what they are for.",
      labelNames: ["kind"],
      registers: [this.registry],
    });
  }

  /** Counts bytes of our own protocol, sent or received. */
  controlBytes(kind: TrafficKind, bytes: number): void {
    this.#controlBytes.inc({ kind }, bytes);
  }

  /** Counts one answered request; `ms` is its time in the sidecar. */
  observe(service: string, verdict: string, ms: number): void {
    this.#requests.inc({ service, verdict });
    this.#duration.observe({ service }, ms / 1000);
  }
}
