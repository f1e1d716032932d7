import { Counter, Gauge, Histogram, Registry } from "prom-client";
import { lateTimeoutCounter } from "../common/telemetry/lateTimeoutCounter.ts";
import type { Replica } from "./replica/Replica.ts";
import type { DocumentWatchers } from "./service/DocumentWatchers.ts";

/** Buckets for synced writes, seconds: a write takes 2 ms on a healthy disk, hundreds on a failing one. */
const WRITE_BUCKETS = [0.001, 0.0025, 0.005, 0.01, 0.025, 0.1, 0.4, 1, 5];

/** The part of a replica that its metrics are read from. */
type ObservedReplica = Pick<
  Replica,
  "state" | "holdsLease" | "inTouch" | "voters" | "leader" | "onChange"
>;

/** A control replica's prom-client metrics, in a separate registry. */
export class ControlMetrics {
  readonly registry = new Registry();
  readonly lateTimeouts = lateTimeoutCounter(this.registry);
  readonly #writeSeconds = new Histogram({
    name: "burdockpass_control_write_seconds",
    help: "Time that a synced write of the control log took.",
    buckets: WRITE_BUCKETS,
    registers: [this.registry],
  });

  readonly #leaseEvents = new Counter({
    name: "burdockpass_quota_lease_requests_total",
    help: "Quota holders' requests for leases here, by result: granted, renewed, adopted, released, or why refused.",
    labelNames: ["result"],
    registers: [this.registry],
  });

  /** Counts what was done on a quota holder's request for a lease. */
  countLeaseEvent(result: string): void {
    this.#leaseEvents.inc({ result });
  }

  /** Adds a gauge of the leases in force here. */
  watchLeases(count: () => number): void {
    this.#addGauge("burdockpass_quota_leases", "Leases of quotas in force here.", count);
  }

  /** Records the duration of a synced write, ms. */
  observeWrite(ms: number): void {
    this.#writeSeconds.observe(ms / 1000);
  }

  /** Registers the metrics that are read from `replica` and its `watchers`. */
  observe(replica: ObservedReplica, watchers: Pick<DocumentWatchers, "count">): void {
    this.#addGauge(
      "burdockpass_config_version",
      "Version of the document committed here.",
      () => replica.state.version,
    );
    this.#addGauge("burdockpass_control_leading", "1 while this replica leads with a lease.", () =>
      Number(replica.holdsLease),
    );
    this.#addGauge(
      "burdockpass_control_in_touch",
      "1 while what is committed here is at most a moment old.",
      () => Number(replica.inTouch),
    );
    this.#addGauge(
      "burdockpass_control_voters",
      "Replicas of the control group.",
      () => replica.voters.length,
    );
    this.#addGauge(
      "burdockpass_control_watches",
      "Followers of the document at this replica.",
      () => watchers.count,
    );
    this.#countLeaderChanges(replica);
  }

  #countLeaderChanges(replica: ObservedReplica): void {
    const changes = new Counter({
      name: "burdockpass_control_leader_changes_total",
      help: "Times that this replica came to know another leader, itself included.",
      registers: [this.registry],
    });
    let lastLeader = replica.leader?.id;
    replica.onChange(() => {
      const leader = replica.leader?.id;
      if (leader !== undefined && leader !== lastLeader) {
        lastLeader = leader;
        changes.inc();
      }
    });
  }

  #addGauge(name: string, help: string, value: () => number): void {
    new Gauge({
      name,
      help,
      registers: [this.registry],
      collect() {
        this.set(value());
      },
    });
  }
}
