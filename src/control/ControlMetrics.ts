import { Counter, Gauge, Histogram, Registry } from "prom-client";
import type { Replica } from "./replica/Replica.ts";
import type { DocumentWatchers } from "./service/DocumentWatchers.ts";

/** Buckets for synced writes, seconds: a healthy one takes 2 ms, one on a sick disk hundreds. */
const WRITE_BUCKETS = [0.001, 0.0025, 0.005, 0.01, 0.025, 0.1, 0.4, 1, 5];

/** The parts of a replica that its metrics show. */
type Watched = Pick<Replica, "state" | "holdsLease" | "inTouch" | "voters" | "leader" | "onChange">;

/** A control replica's prom-client metrics, in a registry of its own. */
export class ControlMetrics {
  readonly registry = new Registry();
  readonly #writes = new Histogram({
    name: "burdockpass_control_write_seconds",
    help: "Time that a synced write of the control log took.",
    buckets: WRITE_BUCKETS,
    registers: [this.registry],
  });

  /** Notes how long a synced write took, ms. */
  wrote(ms: number): void {
    this.#writes.observe(ms / 1000);
  }

  /** Shows the state of `replica` and of those that follow the document there. */
  watch(replica: Watched, watchers: Pick<DocumentWatchers, "count">): void {
    this.#gauge(
      "burdockpass_config_version",
      "Version of the document committed here.",
      () => replica.state.version,
    );
    this.#gauge("burdockpass_control_leading", "1 while this replica leads with a lease.", () =>
      Number(replica.holdsLease),
    );
    this.#gauge(
      "burdockpass_control_in_touch",
      "1 while what is committed here is at most a moment old.",
      () => Number(replica.inTouch),
    );
    this.#gauge(
      "burdockpass_control_voters",
      "Replicas of the control group.",
      () => replica.voters.length,
    );
    this.#gauge(
      "burdockpass_control_watches",
      "Followers of the document at this replica.",
      () => watchers.count,
    );
    this.#countLeaders(replica);
  }

  #countLeaders(replica: Watched): void {
    const changes = new Counter({
      name: "burdockpass_control_leader_changes_total",
      help: "Times that this replica came to know another leader, itself included.",
      registers: [this.registry],
    });
    let known = replica.leader?.id;
    replica.onChange(() => {
      const leader = replica.leader?.id;
      if (leader !== undefined && leader !== known) {
        known = leader;
        changes.inc();
      }
    });
  }

  #gauge(name: string, help: string, value: () => number): void {
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
