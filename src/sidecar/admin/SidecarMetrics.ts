import { Counter, Gauge, Histogram, Registry } from "prom-client";
import type { TrafficKind } from "./TrafficKind.ts";

/** Buckets for added latency, seconds: fine below 2 ms, where the users' budget is. */
const LATENCY_BUCKETS = [
  0.0005, 0.001, 0.0017, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 1, 2.5,
];

/** Buckets for the wait in a line, seconds: from none to the longest deadline. */
const WAIT_BUCKETS = [0.01, 0.05, 0.1, 0.25, 0.5, 1, 2, 5, 10];

/** What a dispatcher sends beside requests' first tries. */
type ExtraTry = "retry" | "hedge";

/** A retry budget as the metrics show it. */
interface ShownBudget {
  readonly service: string;
  readonly figures: {
    readonly firstTries: number;
    readonly extras: number;
    readonly allowed: number;
  };
}

/** The document in force, as the metrics show it. */
interface ConfigInForce {
  readonly version: number;
  /** Since when, by the steady clock, ms; undefined before any. */
  readonly inForceSince: number | undefined;
}

/** The sidecar's prom-client metrics, in a registry of its own. */
export class SidecarMetrics {
  readonly registry = new Registry();
  readonly #requests: Counter;
  readonly #duration: Histogram;
  readonly #controlBytes: Counter;
  readonly #refusals: Counter;
  readonly #queueWait: Histogram;
  readonly #ejections: Counter;
  readonly #extraTries: Counter;
  readonly #retriesDenied: Counter;

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
    this.#refusals = new Counter({
      name: "burdockpass_slot_refusals_total",
      help: "Asks for a slot at the target beside this sidecar that were refused, by reason.",
      labelNames: ["reason"],
      registers: [this.registry],
    });
    this.#queueWait = new Histogram({
      name: "burdockpass_slot_wait_seconds",
      help: "Time that granted asks had waited for a slot at the target beside this sidecar.",
      buckets: WAIT_BUCKETS,
      registers: [this.registry],
    });
    this.#ejections = new Counter({
      name: "burdockpass_target_ejections_total",
      help: "Times that a target beside this sidecar was found gray, or well again.",
      labelNames: ["service", "change"],
      registers: [this.registry],
    });
    this.#extraTries = new Counter({
      name: "burdockpass_extra_tries_total",
      help: "Requests sent to a further target, by service and cause; the retry budget bounds them.",
      labelNames: ["service", "cause"],
      registers: [this.registry],
    });
    this.#retriesDenied = new Counter({
      name: "burdockpass_retries_denied_total",
      help: "Requests not sent to a further target as the service's retry budget had no room, by service.",
      labelNames: ["service"],
      registers: [this.registry],
    });
  }

  /** Shows the document in force; `now` is the steady clock. */
  watchConfig(read: () => ConfigInForce, now: () => number): void {
    new Gauge({
      name: "burdockpass_config_version",
      help: "Version of the document in force here.",
      registers: [this.registry],
      collect() {
        this.set(read().version);
      },
    });
    new Gauge({
      name: "burdockpass_config_age_seconds",
      help: "Time since the document in force here came into force.",
      registers: [this.registry],
      collect() {
        const { inForceSince } = read();
        this.set(inForceSince === undefined ? NaN : (now() - inForceSince) / 1000);
      },
    });
  }

  /** Counts a refused ask for a slot. */
  refused(reason: string): void {
    this.#refusals.inc({ reason });
  }

  /** Notes how long a granted ask had waited, ms. */
  waited(ms: number): void {
    this.#queueWait.observe(ms / 1000);
  }

  /** Counts a change in what is thought of a target beside this sidecar. */
  judged(service: string, isEjected: boolean): void {
    this.#ejections.inc({ service, change: isEjected ? "ejected" : "readmitted" });
  }

  /** Shows this sidecar's parts of the retry budgets: what is counted in the window that ends now. */
  watchBudgets(read: () => readonly ShownBudget[]): void {
    new Gauge({
      name: "burdockpass_retry_budget",
      help: "This sidecar's part of a service's retry budget, in its window: first tries, extra ones, extra ones allowed.",
      labelNames: ["service", "what"],
      registers: [this.registry],
      collect() {
        for (const { service, figures } of read()) {
          for (const [what, value] of Object.entries(figures)) {
            this.set({ service, what }, value);
          }
        }
      },
    });
  }

  /** Counts a request sent to a further target. */
  extraTry(service: string, cause: ExtraTry): void {
    this.#extraTries.inc({ service, cause });
  }

  /** Counts a request that was not sent to a further target for want of room in the budget. */
  retryDenied(service: string): void {
    this.#retriesDenied.inc({ service });
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
