import type { TargetId } from "../../common/ids/TargetId.ts";
import type { Clock } from "../../common/lifecycle/Clock.ts";
import type { TargetInfo } from "../../membership/TargetInfo.ts";
import type { TargetTable } from "../../membership/TargetTable.ts";
import type { GateLoad } from "../hop/GateLoad.ts";
import { LinkHealth } from "./LinkHealth.ts";

/** Age up to which a reported load is used to estimate waits, ms. */
const LOAD_MAX_AGE_MS = 2000;

/**
 * Age up to which a reported health state is used, ms. Longer than for the load: gates report health changes
 * at once. A report may get lost, so the state expires.
 */
const HEALTH_MAX_AGE_MS = 5000;

/** Minimum time between removals of the views of departed targets, ms. */
const PRUNE_INTERVAL_MS = 5000;

/** What this sidecar knows about one target. */
export interface TargetView {
  readonly link: LinkHealth;
  /** Incarnation of the target that the other fields describe. */
  readonly born: number;
  /** When this sidecar first saw this incarnation, ms; -Infinity if that was soon after the sidecar's own start. */
  readonly firstSeenAt: number;
  load: GateLoad | undefined;
  loadReceivedAt: number;
  /** When the target was first reported to want work, ms; Infinity while it does not. */
  wantsWorkSince: number;
  /** Requests from this sidecar that are running at the target. */
  inFlight: number;
}

interface TargetViewsDeps {
  readonly table: Pick<TargetTable, "target">;
  readonly clock: Clock;
}

/**
 * What this sidecar knows about each target, from its own slot requests and from gates' load reports, with
 * the age limits of that data.
 */
export class TargetViews {
  readonly #deps: TargetViewsDeps;
  readonly #startedAt: number;
  readonly #views = new Map<TargetId, TargetView>();
  #prunedAt = -Infinity;

  constructor(deps: TargetViewsDeps) {
    this.#deps = deps;
    this.#startedAt = deps.clock.now();
  }

  /** Returns the view of a target, creating it on first use and for each new incarnation of the target. */
  of({ id, born }: TargetInfo): TargetView {
    let view = this.#views.get(id);
    if (view?.born !== born) {
      view = {
        // The link leads to the co-located sidecar, which a restart of the target doesn't affect.
        link: view?.link ?? new LinkHealth(this.#deps.clock),
        born,
        firstSeenAt: this.#firstSeenTime(),
        load: undefined,
        loadReceivedAt: -Infinity,
        wantsWorkSince: Infinity,
        inFlight: 0,
      };
      this.#views.set(id, view);
    }
    return view;
  }

  /** Returns the view of a target; undefined if there is none yet. */
  existing(id: TargetId): TargetView | undefined {
    return this.#views.get(id);
  }

  /** Stores a load report, which replaces the previous one. */
  recordLoad(view: TargetView, load: GateLoad): void {
    const now = this.#deps.clock.now();
    view.load = load;
    view.loadReceivedAt = now;
    view.wantsWorkSince = load.wantsWork ? Math.min(view.wantsWorkSince, now) : Infinity;
  }

  /** Returns the last report for its health fields; undefined if it is older than {@link HEALTH_MAX_AGE_MS}. */
  freshHealth({ load, loadReceivedAt }: TargetView, now: number): GateLoad | undefined {
    return now - loadReceivedAt < HEALTH_MAX_AGE_MS ? load : undefined;
  }

  /** Returns the last report for its load fields; undefined if it is older than {@link LOAD_MAX_AGE_MS}. */
  freshLoad({ load, loadReceivedAt }: TargetView, now: number): GateLoad | undefined {
    return now - loadReceivedAt < LOAD_MAX_AGE_MS ? load : undefined;
  }

  /** Removes the views of departed targets, at most once every {@link PRUNE_INTERVAL_MS}. */
  pruneDeparted(): void {
    const { table, clock } = this.#deps;
    const now = clock.now();
    if (now - this.#prunedAt < PRUNE_INTERVAL_MS) {
      return;
    }
    this.#prunedAt = now;
    for (const [id, { inFlight }] of this.#views) {
      if (inFlight === 0 && !table.target(id)) {
        this.#views.delete(id);
      }
    }
  }

  clear(): void {
    this.#views.clear();
  }

  /**
   * Targets seen soon after this sidecar's start are taken to have existed before it, so they are not ramped
   * up as new.
   */
  #firstSeenTime(): number {
    const now = this.#deps.clock.now();
    return now - this.#startedAt < LOAD_MAX_AGE_MS ? -Infinity : now;
  }
}
