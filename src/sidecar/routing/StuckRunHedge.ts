import type { Clock } from "../../common/lifecycle/Clock.ts";
import type { Timer } from "../../common/lifecycle/Timer.ts";
import type { ForwardResult } from "../forwarding/ForwardResult.ts";
import type { RemoteRun } from "./RemoteRun.ts";
import type { Grant, SlotFinder } from "./SlotFinder.ts";

interface StuckRunHedgeDeps {
  /** Time after which the first run counts as stuck, ms. */
  readonly delayMs: number;
  /** Takes a retry token; false if there is none. */
  readonly takeToken: () => boolean;
  readonly findSlot: () => Pick<SlotFinder, "result" | "cancel">;
  readonly startRun: (grant: Grant) => Pick<RemoteRun, "result" | "cancel">;
  readonly clock: Clock;
}

/** A second run of a request, started at another target when the first is stuck. */
export class StuckRunHedge {
  readonly #deps: StuckRunHedgeDeps;
  readonly #timer: Timer;
  readonly #settle: (result: ForwardResult) => void;
  #finder: Pick<SlotFinder, "result" | "cancel"> | undefined;
  #isCancelled = false;
  #run: Pick<RemoteRun, "result" | "cancel"> | undefined;

  /** Result of the second run; stays pending while it has not started. */
  readonly result: Promise<ForwardResult>;

  constructor(deps: StuckRunHedgeDeps) {
    this.#deps = deps;
    let settle: (result: ForwardResult) => void = () => undefined;
    this.result = new Promise((resolve) => (settle = resolve));
    this.#settle = settle;
    this.#timer = deps.clock.timeout(deps.delayMs, () => {
      this.#begin();
    });
  }

  get hasStarted(): boolean {
    return this.#run !== undefined;
  }

  /** Starts no second run any more; one that has started continues. */
  cancel(): void {
    this.#isCancelled = true;
    this.#timer.cancel();
    if (!this.hasStarted) {
      this.#finder?.cancel();
    }
  }

  /** Cancels the second run, if it has started. */
  giveUp(): void {
    this.#run?.cancel();
  }

  #begin(): void {
    if (!this.#deps.takeToken()) {
      return;
    }
    this.#finder = this.#deps.findSlot();
    void this.#finder.result.then((search) => {
      if (search.kind === "granted" && !this.#isCancelled) {
        this.#run = this.#deps.startRun(search.grant);
        void this.#run.result.then(this.#settle);
      }
    });
  }
}
