import type { Readable } from "node:stream";
import type { TargetId } from "../../common/ids/TargetId.ts";
import type { Clock } from "../../common/lifecycle/Clock.ts";
import type { Timer } from "../../common/lifecycle/Timer.ts";
import { AttemptOutcome } from "../detection/AttemptOutcome.ts";
import type { ForwardResult } from "../forwarding/ForwardResult.ts";
import { isSuccess } from "../routing/isSuccess.ts";
import { moreInformative } from "../routing/moreInformative.ts";
import type { RemoteRun } from "../routing/RemoteRun.ts";
import type { Grant, SlotFinder } from "../routing/SlotFinder.ts";
import type { HedgeCharge } from "./HedgeCharge.ts";
import type { HedgePlan } from "./HedgePlan.ts";
import type { HedgeRefusal } from "./HedgeRefusal.ts";
import type { HedgeReport } from "./HedgeReport.ts";

type Run = Pick<RemoteRun, "result" | "cancel">;

interface HedgedRunDeps {
  readonly plan: HedgePlan;
  /** Target of the first run. */
  readonly firstTarget: TargetId;
  /** Charges the hedge to its limits, or says why it must not be sent. */
  readonly charge: () => HedgeCharge | HedgeRefusal;
  /** Why the hedge must not run although it was charged; called once it has a slot. */
  readonly check: () => HedgeRefusal | undefined;
  readonly findSlot: () => Pick<SlotFinder, "result" | "cancel">;
  readonly startHedge: (grant: Grant) => Run;
  /** Records a sample of the route's response times, ms. */
  readonly recordResponse: (ms: number) => void;
  /** How much longer a run that has lasted for `ms` is expected to take, ms. */
  readonly remainingMs: (ms: number) => number;
  /** Called when the delay has passed and no hedge is sent. */
  readonly onRefused: (reason: HedgeRefusal) => void;
  /** Called once for each hedge that was sent, when it has ended. */
  readonly onEnd: (report: HedgeReport) => void;
  readonly clock: Clock;
}

/** A hedge that was sent. */
interface Hedge {
  readonly run: Run;
  readonly target: TargetId;
  readonly startedAt: number;
  readonly charge: HedgeCharge;
}

/**
 * A run of an idempotent request and, once it has lasted for the planned delay, its hedge at another target. The first
 * successful response wins, and the other run is cancelled. A failure waits for the other run, if that is running.
 */
export class HedgedRun {
  readonly #deps: HedgedRunDeps;
  readonly #first: Run;
  readonly #startedAt: number;
  readonly #timer: Timer;
  readonly #settle: (result: ForwardResult) => void;
  #finder: Pick<SlotFinder, "result" | "cancel"> | undefined;
  #hedge: Hedge | undefined;
  #firstResult: ForwardResult | undefined;
  #hedgeResult: ForwardResult | undefined;
  #won: HedgeReport["won"] = "none";
  #savedMs = 0;
  #isSettled = false;

  /** Result of the run that won, or of both if both failed. */
  readonly result: Promise<ForwardResult>;

  /** @param first the run to hedge, which has just been started */
  constructor(deps: HedgedRunDeps, first: Run) {
    this.#deps = deps;
    this.#first = first;
    this.#startedAt = deps.clock.now();
    let settle: (result: ForwardResult) => void = () => undefined;
    this.result = new Promise((resolve) => (settle = resolve));
    this.#settle = settle;
    this.#timer = deps.clock.timeout(deps.plan.delayMs, () => {
      this.#requestHedge();
    });
    void first.result.then((result) => {
      this.#onFirstEnd(result);
    });
  }

  #requestHedge(): void {
    const charge = this.#deps.charge();
    if (typeof charge === "string") {
      this.#deps.onRefused(charge);
      return;
    }
    this.#finder = this.#deps.findSlot();
    void this.#finder.result.then((search) => {
      if (this.#isSettled) {
        // The first run ended during the search. A grant that came at the same time expires unused.
        charge.settle(0);
        return;
      }
      const refusal = search.kind === "granted" ? this.#deps.check() : "no-slot";
      if (search.kind === "granted" && !refusal) {
        this.#startHedge(search.grant, charge);
      } else {
        charge.settle(0);
        this.#deps.onRefused(refusal ?? "no-slot");
      }
    });
  }

  #startHedge(grant: Grant, charge: HedgeCharge): void {
    const startedAt = this.#deps.clock.now();
    const run = this.#deps.startHedge(grant);
    const hedge = { run, target: grant.target.id, startedAt, charge };
    this.#hedge = hedge;
    void run.result.then((result) => {
      this.#onHedgeEnd(hedge, result);
    });
  }

  #onFirstEnd(result: ForwardResult): void {
    this.#firstResult = result;
    if (this.#isSettled) {
      discardBody(result);
      return;
    }
    if (isSuccess(result)) {
      this.#deps.recordResponse(this.#elapsedMs);
      this.#won = this.#hedge ? "first" : "none";
      this.#finish(result);
      this.#hedge?.run.cancel();
    } else if (!this.#hedge) {
      this.#finish(result);
    } else if (this.#hedgeResult) {
      this.#finish(moreInformative(this.#hedgeResult, result));
    }
  }

  #onHedgeEnd(hedge: Hedge, result: ForwardResult): void {
    this.#hedgeResult = result;
    if (this.#isSettled) {
      discardBody(result);
    } else if (isSuccess(result)) {
      this.#won = "second";
      this.#finish(result);
      if (!this.#firstResult) {
        this.#deps.recordResponse(this.#deps.plan.delayMs);
        this.#savedMs = this.#deps.remainingMs(this.#elapsedMs);
        this.#first.cancel();
      }
    } else if (this.#firstResult) {
      this.#finish(moreInformative(result, this.#firstResult));
    }
    this.#report(hedge, result);
  }

  #report({ target, startedAt, charge }: Hedge, result: ForwardResult): void {
    const { clock, plan, firstTarget, onEnd } = this.#deps;
    const workMs = Math.round(workOf(result, clock.now() - startedAt, charge.expectedMs));
    charge.settle(workMs);
    const { delayMs, quantile } = plan;
    const end = () => {
      const savedMs = Math.round(this.#savedMs);
      const details = { won: this.#won, delayMs: Math.round(delayMs), quantile, workMs, savedMs };
      onEnd({ first: firstTarget, second: target, ...details });
    };
    // A hedge that failed has ended before it is known whether the first run succeeds.
    void this.result.then(end);
  }

  get #elapsedMs(): number {
    return this.#deps.clock.now() - this.#startedAt;
  }

  #finish(result: ForwardResult): void {
    this.#isSettled = true;
    this.#timer.cancel();
    this.#finder?.cancel();
    this.#settle(result);
  }
}

/**
 * Target time of a hedge that ended with `result`, ms. It is unknown where the hedge was cancelled or contact with it was
 * lost: the cancellation may be lost too, so the hedge counts as if it ran to its expected end.
 */
function workOf(
  { verdict, outcome }: ForwardResult,
  elapsedMs: number,
  expectedMs: number,
): number {
  if (verdict.kind === "not-run") {
    return 0;
  }
  const isKnown = verdict.kind === "done" && outcome !== AttemptOutcome.Cancelled;
  return isKnown ? elapsedMs : Math.max(elapsedMs, expectedMs);
}

/** Closes the streamed body of a response that is not used, so that its connection is released. */
function discardBody(result: ForwardResult): void {
  if (result.verdict.kind === "done" && "body" in result && !Buffer.isBuffer(result.body)) {
    const body: Readable = result.body;
    body.on("error", () => undefined).destroy();
  }
}
