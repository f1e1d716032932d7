import { Counter, Gauge, Histogram, Registry } from "prom-client";
import { lateTimeoutCounter } from "../../common/telemetry/lateTimeoutCounter.ts";
import type { QuarantineEvent } from "../quarantine/QuarantineEvent.ts";
import type { LeaseEvent } from "../workspaces/leases/LeaseEvent.ts";
import type { PeerZone } from "./PeerZone.ts";
import type { TrafficKind } from "./TrafficKind.ts";

/** Buckets for added latency, seconds. They are fine below 2 ms, the users' limit for the latency that a sidecar adds. */
const LATENCY_BUCKETS = [
  0.0005, 0.001, 0.0017, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 1, 2.5,
];

/** Buckets for the wait in an admission queue, seconds: from almost none to the longest deadline. */
const QUEUE_WAIT_BUCKETS = [0.01, 0.05, 0.1, 0.25, 0.5, 1, 2, 5, 10];

/** Buckets for the time that a hedge has saved, seconds: from hardly any to the longest objective. */
const SAVED_BUCKETS = [0.01, 0.05, 0.1, 0.25, 0.5, 1, 2, 4, 8];

/** How a hedge ended; times in ms. */
interface EndedHedge {
  readonly won: string;
  readonly workMs: number;
  readonly savedMs: number;
}

/** Why a dispatcher sends a request to a further target. */
type ExtraRunCause = "retry" | "hedge";

/** Usage of a service's retry budget. The names of the figures are label values of the metric. */
interface BudgetUsage {
  readonly service: string;
  readonly figures: {
    readonly firstTries: number;
    readonly extras: number;
    readonly allowed: number;
  };
}

/** The limit that a target names. */
interface TargetLimit {
  readonly service: string;
  readonly target: string;
  /** Requests a second. */
  readonly perS: number;
}

/** A share of a local target's slot time. */
interface TargetSlotTimeShare {
  readonly service: string;
  readonly target: string;
  /** A workspace, or "no workspace", "nested calls" or "all others". */
  readonly user: string;
  /** 0 to 1. */
  readonly share: number;
}

/** The document in force, as far as the metrics report it. */
interface ConfigInForce {
  readonly version: number;
  /** Time when it came into force on the monotonic clock, ms; undefined before the first document. */
  readonly inForceSince: number | undefined;
}

/** The sidecar's prom-client metrics, in a separate registry. */
export class SidecarMetrics {
  readonly registry = new Registry();
  readonly lateTimeouts = lateTimeoutCounter(this.registry);
  readonly #requests: Counter;
  readonly #duration: Histogram;
  readonly #controlBytes: Counter;
  readonly #refusals: Counter;
  readonly #limitWaits: Counter;
  readonly #queueWait: Histogram;
  readonly #ejections: Counter;
  readonly #workDemands: Counter;
  readonly #quarantine: Counter;
  readonly #extraRuns: Counter;
  readonly #retriesDenied: Counter;
  readonly #notAdmitted: Counter;
  readonly #fairRefusals: Counter;
  readonly #limitsExceeded: Counter;
  readonly #memoryRefusals: Counter;
  readonly #leaseEvents: Counter;
  readonly #leaseRefusals: Counter;
  readonly #leasedCredits: Counter;
  readonly #hedges: Counter;
  readonly #hedgeRefusals: Counter;
  readonly #hedgeWork: Counter;
  readonly #hedgeSaved: Histogram;

  constructor() {
    // prom-client's default metrics are not collected. Their event loop monitor wakes the process
    // 100 times a second, which was most of the 8% of a core that an idle sidecar used.
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
      help: "Bytes of burdockpass's own messages, sent and received, protobuf-encoded, by purpose and zone of the other end.",
      labelNames: ["kind", "zone"],
      registers: [this.registry],
    });
    this.#refusals = new Counter({
      name: "burdockpass_slot_refusals_total",
      help: "Asks for a slot at the target beside this sidecar that were refused, by reason.",
      labelNames: ["reason"],
      registers: [this.registry],
    });
    this.#limitWaits = new Counter({
      name: "burdockpass_slot_limit_waits_total",
      help: "Slot requests that had to wait for the limit that the target beside this sidecar names.",
      registers: [this.registry],
    });
    this.#queueWait = new Histogram({
      name: "burdockpass_slot_wait_seconds",
      help: "Time that granted asks had waited for a slot at the target beside this sidecar.",
      buckets: QUEUE_WAIT_BUCKETS,
      registers: [this.registry],
    });
    this.#ejections = new Counter({
      name: "burdockpass_target_ejections_total",
      help: "Times that a target beside this sidecar was found gray, or well again.",
      labelNames: ["service", "change"],
      registers: [this.registry],
    });
    this.#workDemands = new Counter({
      name: "burdockpass_work_demands_total",
      help: "Times that a ready target beside this sidecar was idle and asked for requests, by service.",
      labelNames: ["service"],
      registers: [this.registry],
    });
    this.#quarantine = new Counter({
      name: "burdockpass_quarantine_total",
      help: "Requests found to crash their targets: crashes counted, blocks, refusals, suspicions lifted.",
      labelNames: ["event"],
      registers: [this.registry],
    });
    this.#extraRuns = new Counter({
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
    this.#limitsExceeded = new Counter({
      name: "burdockpass_response_limits_exceeded_total",
      help: "Responses of targets beside this sidecar that exceeded a limit and were cut off, by service.",
      labelNames: ["service"],
      registers: [this.registry],
    });
    this.#memoryRefusals = new Counter({
      name: "burdockpass_memory_refusals_total",
      help: "Callers' requests refused as this sidecar holds too many bytes.",
      registers: [this.registry],
    });
    this.#hedges = new Counter({
      name: "burdockpass_hedges_total",
      help: "Hedges sent for services with hedging that have ended, by service and which run's response was used.",
      labelNames: ["service", "won"],
      registers: [this.registry],
    });
    this.#hedgeRefusals = new Counter({
      name: "burdockpass_hedges_not_sent_total",
      help: "Runs of services with hedging that lasted longer than the delay and were not hedged, by reason.",
      labelNames: ["service", "reason"],
      registers: [this.registry],
    });
    this.#hedgeWork = new Counter({
      name: "burdockpass_hedge_work_seconds_total",
      help: "Target time that hedges are charged with, by service.",
      labelNames: ["service"],
      registers: [this.registry],
    });
    this.#hedgeSaved = new Histogram({
      name: "burdockpass_hedge_saved_seconds",
      help: "Time that hedges which won have saved, estimated from the route's response times, by service.",
      labelNames: ["service"],
      buckets: SAVED_BUCKETS,
      registers: [this.registry],
    });
    this.#notAdmitted = new Counter({
      name: "burdockpass_requests_not_admitted_total",
      help: "Callers' requests refused by API key (401), route (404), quota (429) or an outdated document (503).",
      labelNames: ["status"],
      registers: [this.registry],
    });
    this.#fairRefusals = new Counter({
      name: "burdockpass_fair_share_refusals_total",
      help: "Slot requests refused by a full queue as their workspace was over its fair share, by service.",
      labelNames: ["service"],
      registers: [this.registry],
    });
    this.#leaseEvents = new Counter({
      name: "burdockpass_quota_lease_events_total",
      help: "Leases of quotas that this sidecar acquired, renewed, lost by expiry, or released.",
      labelNames: ["event"],
      registers: [this.registry],
    });
    this.#leaseRefusals = new Counter({
      name: "burdockpass_quota_lease_refusals_total",
      help: "Requests of this sidecar for leases of quotas that a control voter refused, by reason.",
      labelNames: ["reason"],
      registers: [this.registry],
    });
    this.#leasedCredits = new Counter({
      name: "burdockpass_quota_credits_total",
      help: "Credits granted here from leases of quotas, for this sidecar's own requests or others'.",
      labelNames: ["for"],
      registers: [this.registry],
    });
  }

  /** Counts a response of a local target that exceeded a limit, and was cut off. */
  countLimitExceeded(service: string): void {
    this.#limitsExceeded.inc({ service });
  }

  /** Counts a caller's request that was refused as this sidecar holds too many bytes. */
  countMemoryRefusal(): void {
    this.#memoryRefusals.inc();
  }

  /** Adds a gauge of the bytes that this sidecar holds, by holder. */
  watchHeldBytes(read: () => Readonly<Record<string, number>>): void {
    new Gauge({
      name: "burdockpass_held_bytes",
      help: "Bytes of requests and responses held here, by what holds them.",
      labelNames: ["holder"],
      registers: [this.registry],
      collect() {
        for (const [holder, bytes] of Object.entries(read())) {
          this.set({ holder }, bytes);
        }
      },
    });
  }

  /** Counts what happens to the leases of quotas, and the credits granted from them. */
  countLeaseEvent(event: LeaseEvent): void {
    if (event.kind === "credit") {
      this.#leasedCredits.inc({ for: event.isOwn ? "own" : "other" });
    } else if (event.kind === "refused") {
      this.#leaseRefusals.inc({ reason: event.reason });
    } else {
      this.#leaseEvents.inc({ event: event.kind });
    }
  }

  /** Adds a gauge of the leases of quotas in force here. */
  watchLeases(count: () => number): void {
    new Gauge({
      name: "burdockpass_quota_leases",
      help: "Leases of control voters' shares of quotas that are in force here.",
      registers: [this.registry],
      collect() {
        this.set(count());
      },
    });
  }

  /** Counts a request that was refused by its API key, route, quota or the age of the document. */
  countNotAdmitted(status: number): void {
    this.#notAdmitted.inc({ status });
  }

  /** Adds gauges of the document in force, which `read` returns; `now` is the monotonic clock, ms. */
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

  /** Counts a refused slot request. */
  countRefusal(reason: string): void {
    this.#refusals.inc({ reason });
  }

  /** Counts a slot request that waits for the limit that its target names. */
  countLimitWait(): void {
    this.#limitWaits.inc();
  }

  /** Adds a gauge of the limits that local targets name, requests a second. */
  watchLimits(read: () => readonly TargetLimit[]): void {
    new Gauge({
      name: "burdockpass_target_limit",
      help: "Limit that a target beside this sidecar names, requests a second; no sample without a limit.",
      labelNames: ["service", "target"],
      registers: [this.registry],
      collect() {
        this.reset();
        for (const { service, target, perS } of read()) {
          this.set({ service, target }, perS);
        }
      },
    });
  }

  /** Adds a gauge of the recent shares of slot time at local targets; `read` bounds the number of users of each. */
  watchSlotTimeShares(read: () => readonly TargetSlotTimeShare[]): void {
    new Gauge({
      name: "burdockpass_slot_time_share",
      help: "Recent share of the slot time of a target beside this sidecar, by workspace: the ten largest, and all others.",
      labelNames: ["service", "target", "workspace"],
      registers: [this.registry],
      collect() {
        this.reset();
        for (const { service, target, user, share } of read()) {
          this.set({ service, target, workspace: user }, share);
        }
      },
    });
  }

  /** Counts a slot request that a full queue refused as its workspace was over its fair share. */
  countFairRefusal(service: string): void {
    this.#fairRefusals.inc({ service });
  }

  /** Records how long a granted slot request waited in the admission queue, ms. */
  observeQueueWait(ms: number): void {
    this.#queueWait.observe(ms / 1000);
  }

  /** Counts an ejection or a readmission of a local target. */
  countHealthChange(service: string, isEjected: boolean): void {
    this.#ejections.inc({ service, change: isEjected ? "ejected" : "readmitted" });
  }

  /** Counts that an idle target has asked for requests. */
  countWorkDemand(service: string): void {
    this.#workDemands.inc({ service });
  }

  /** Counts what happened to the suspicion that a request crashes its targets. */
  countQuarantine(event: QuarantineEvent): void {
    this.#quarantine.inc({ event });
  }

  /** Adds a gauge of this sidecar's shares of the retry budgets, with the usage in the window that ends now. */
  watchBudgets(read: () => readonly BudgetUsage[]): void {
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

  /** Counts a retry or hedge, which sends a request to a further target. */
  countExtraRun(service: string, cause: ExtraRunCause): void {
    this.#extraRuns.inc({ service, cause });
  }

  /** Counts a retry or hedge that was not sent because the service's retry budget was used up. */
  countDeniedRetry(service: string): void {
    this.#retriesDenied.inc({ service });
  }

  /** Counts a run that lasted longer than the delay and was not hedged. */
  countHedgeRefusal(service: string, reason: string): void {
    this.#hedgeRefusals.inc({ service, reason });
  }

  /** Counts a hedge that has ended. */
  observeHedge(service: string, { won, workMs, savedMs }: EndedHedge): void {
    this.#hedges.inc({ service, won });
    this.#hedgeWork.inc({ service }, workMs / 1000);
    if (won === "second") {
      this.#hedgeSaved.observe({ service }, savedMs / 1000);
    }
  }

  /** Counts bytes of messages between burdockpass processes, sent or received; `zone` is that of the other end. */
  countControlBytes(kind: TrafficKind, zone: PeerZone, bytes: number): void {
    this.#controlBytes.inc({ kind, zone }, bytes);
  }

  /** Counts a caller's request that has its verdict; `ms` is the time from its arrival until then. */
  observeRequest(service: string, verdict: string, ms: number): void {
    this.#requests.inc({ service, verdict });
    this.#duration.observe({ service }, ms / 1000);
  }
}
