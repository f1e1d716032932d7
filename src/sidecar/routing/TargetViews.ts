import type { TargetId } from "../../common/ids/TargetId.ts";
import type { Clock } from "../../common/lifecycle/Clock.ts";
import type { TargetInfo } from "../../membership/TargetInfo.ts";
import type { TargetTable } from "../../membership/TargetTable.ts";
import type { GateLoad } from "../hop/GateLoad.ts";
import { LinkHealth } from "./LinkHealth.ts";

/** How busy a target's sidecar said that it is counts for this long, ms. */
const LOAD_FRESH_MS = 2000;

/** What a target's sidecar said that it thinks of it counts for this long, ms: a change is told at once, but may get lost. */
const JUDGED_FRESH_MS = 5000;

/** How often what is kept of targets that have gone is forgotten, ms. */
const FORGET_MS = 5000;

/** What this sidecar keeps about one target. */
export interface TargetView {
  readonly link: LinkHealth;
  /** The life of the target that the rest tells of. */
  readonly born: number;
  /** When it was first heard of here, ms; for one that was there at the start, some time before. */
  readonly seenAt: number;
  load: GateLoad | undefined;
  loadAt: number;
  /** Requests from here at the target now. */
  outstanding: number;
}

interface TargetViewsDeps {
  readonly table: Pick<TargetTable, "target">;
  readonly clock: Clock;
}

/** What this sidecar knows of each target, by its own asks and by what gates told it, and for how long that counts. */
export class TargetViews {
  readonly #deps: TargetViewsDeps;
  readonly #startedAt: number;
  readonly #views = new Map<TargetId, TargetView>();
  #forgotAt = -Infinity;

  constructor(deps: TargetViewsDeps) {
    this.#deps = deps;
    this.#startedAt = deps.clock.now();
  }

  /** What is kept of a target, begun anew with each of its lives. */
  of({ id, born }: TargetInfo): TargetView {
    let view = this.#views.get(id);
    if (view?.born !== born) {
      view = {
        // The path to it stays as it was: it leads to the sidecar beside it.
        link: view?.link ?? new LinkHealth(this.#deps.clock),
        born,
        seenAt: this.#seenNow(),
        load: undefined,
        loadAt: -Infinity,
        outstanding: 0,
      };
      this.#views.set(id, view);
    }
    return view;
  }

  /** What is kept of a target that was asked before; undefined for any other. */
  known(id: TargetId): TargetView | undefined {
    return this.#views.get(id);
  }

  noteLoad(view: TargetView, load: GateLoad): void {
    view.load = load;
    view.loadAt = this.#deps.clock.now();
  }

  /** What is thought of a target at `now`: that holds until its gate says otherwise, or is not heard of for long. */
  judged({ load, loadAt }: TargetView, now: number): GateLoad | undefined {
    return now - loadAt < JUDGED_FRESH_MS ? load : undefined;
  }

  /** How busy a target is at `now`; undefined where that was not heard lately. */
  freshLoad({ load, loadAt }: TargetView, now: number): GateLoad | undefined {
    return now - loadAt < LOAD_FRESH_MS ? load : undefined;
  }

  /** Forgets targets that have gone, now and then. */
  forgetGone(): void {
    const { table, clock } = this.#deps;
    const now = clock.now();
    if (now - this.#forgotAt < FORGET_MS) {
      return;
    }
    this.#forgotAt = now;
    for (const [id, { outstanding }] of this.#views) {
      if (outstanding === 0 && !table.target(id)) {
        this.#views.delete(id);
      }
    }
  }

  clear(): void {
    this.#views.clear();
  }

  /** Those that are there when this sidecar starts are not new, only new to it. */
  #seenNow(): number {
    const now = this.#deps.clock.now();
    return now - this.#startedAt < LOAD_FRESH_MS ? -Infinity : now;
  }
}
