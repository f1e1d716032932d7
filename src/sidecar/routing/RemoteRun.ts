import type bunyan from "bunyan";
import type { Clock } from "../../common/lifecycle/Clock.ts";
import type { Timer } from "../../common/lifecycle/Timer.ts";
import { AttemptOutcome } from "../detection/AttemptOutcome.ts";
import type { ForwardResult } from "../forwarding/ForwardResult.ts";
import { RETRY_AFTER_MS } from "../forwarding/RETRY_AFTER_MS.ts";
import type { HopLink } from "../hop/HopLink.ts";
import { NotSentError } from "../hop/NotSentError.ts";
import type { PendingCall } from "../hop/PendingCall.ts";
import type { CallerRequest } from "./CallerRequest.ts";
import type { Grant } from "./SlotFinder.ts";
import type { RouteMatch } from "./RouteMatch.ts";

/** A run is signalled alive every 300 ms; silent for longer than this, its connection or the path is at fault, ms. */
const SILENCE_MS = 750;

/** How long one attempt to get the answer of a lost connection may take before the next, ms. */
const JOIN_MS = 500;

/**
 * The other side's time is up this much sooner, ms: its word on how the run ended then
 * arrives before this side has to answer without it. A round trip takes 3.
 */
const MARGIN_MS = 20;

interface RemoteRunDeps {
  readonly hop: Pick<HopLink, "run" | "join">;
  readonly callerService: string;
  readonly clock: Clock;
  readonly log: bunyan;
  /** Told when the sidecar beside the target falls silent. */
  readonly onSilence: () => void;
}

/**
 * One run at one target, as seen from the sidecar that sent it there. Where the
 * connection is lost or falls silent, work that must not repeat is asked for again
 * over new connections until its outcome is known or its time is up; idempotent work
 * is given up on, since it can be sent elsewhere.
 */
export class RemoteRun {
  readonly #deps: RemoteRunDeps;
  readonly #route: RouteMatch;
  readonly #req: CallerRequest;
  readonly #grant: Grant;
  readonly #settle: (result: ForwardResult) => void;
  readonly #pending = new Set<PendingCall<ForwardResult>>();
  #silenceTimer: Timer | undefined;
  readonly #deadlineTimer: Timer;
  #done = false;

  /** Resolves once the outcome is known, or the time is up. */
  readonly result: Promise<ForwardResult>;

  constructor(deps: RemoteRunDeps, route: RouteMatch, req: CallerRequest, grant: Grant) {
    this.#deps = deps;
    this.#route = route;
    this.#req = req;
    this.#grant = grant;
    let settle: (result: ForwardResult) => void = () => undefined;
    this.result = new Promise((resolve) => (settle = resolve));
    this.#settle = settle;
    this.#deadlineTimer = deps.clock.after(req.deadlineAt - deps.clock.now(), () => {
      this.#end(this.#inDoubt("no answer in time", true, AttemptOutcome.TimedOut));
    });
    req.left.addEventListener("abort", this.#onLeft);
    this.#watch(deps.hop.run(grant.target.hopAddress, this.#hopRequest(), this.#onAlive), true);
    this.#armSilence();
  }

  /** Stops waiting; idempotent work is cancelled at the target. */
  giveUp(): void {
    this.#end(this.#inDoubt("given up", false, AttemptOutcome.Cancelled));
  }

  readonly #onLeft = (): void => {
    this.#end(this.#inDoubt("the caller has left", false, AttemptOutcome.Cancelled));
  };

  readonly #onAlive = (): void => {
    this.#armSilence();
  };

  #hopRequest() {
    const { attempt, method, path, headers, body, bodyLength, deadlineAt } = this.#req;
    return {
      attempt,
      target: this.#grant.target.id,
      grant: this.#grant.id,
      method,
      path,
      headers,
      body,
      bodyLength,
      remainingMs: deadlineAt - this.#deps.clock.now() - MARGIN_MS,
      callerService: this.#deps.callerService,
      idempotent: this.#route.idempotent,
      echoHeader: this.#route.service.echoHeader,
    };
  }

  #watch(pending: PendingCall<ForwardResult>, isFirst: boolean): void {
    this.#pending.add(pending);
    pending.answer.then(
      (result) => {
        // Not to be given up with the others: a large answer is still on its way in it.
        this.#pending.delete(pending);
        this.#end(result);
      },
      (err: unknown) => {
        this.#pending.delete(pending);
        if (!this.#done && isFirst && err instanceof NotSentError) {
          this.#onNotSent(err);
        } else if (!this.#done && isFirst) {
          const reason = err instanceof Error ? err.message : String(err);
          this.#onLost(`the connection was lost: ${reason}`);
        }
      },
    );
  }

  /**
   * No connection could be opened, so the request has not run, and can go to another target. Taken for in doubt, its
   * caller could not send it again; work that must not repeat was asked for until its time was up.
   */
  #onNotSent({ message: reason }: NotSentError): void {
    const { attempt } = this.#req;
    this.#deps.log.info({ attempt, target: this.#grant.target.id, reason }, "run not sent");
    this.#deps.onSilence();
    const verdict = { kind: "not-run", reason, retryAfterMs: RETRY_AFTER_MS } as const;
    this.#end({ verdict, outcome: AttemptOutcome.NoAnswer });
  }

  #armSilence(): void {
    this.#silenceTimer?.cancel();
    if (!this.#done) {
      this.#silenceTimer = this.#deps.clock.after(SILENCE_MS, () => {
        this.#onLost("the connection fell silent");
      });
    }
  }

  #onLost(reason: string): void {
    const { attempt } = this.#req;
    const { target } = this.#grant;
    this.#deps.log.info(
      { attempt, target: target.id, reason },
      "lost contact with running attempt",
    );
    this.#deps.onSilence();
    if (this.#route.idempotent) {
      this.#end(this.#inDoubt(reason, false));
    } else {
      this.#join();
    }
  }

  /** Asks for the answer over a new connection, again and again until one of them gives it. */
  #join(): void {
    this.#silenceTimer?.cancel();
    if (this.#done) {
      return;
    }
    const { target, id } = this.#grant;
    const name = { attempt: this.#req.attempt, target: target.id, grant: id };
    const join = this.#deps.hop.join(target.hopAddress, name, this.#onAlive);
    this.#watch(join, false);
    this.#silenceTimer = this.#deps.clock.after(JOIN_MS, () => {
      join.giveUp();
      this.#join();
    });
  }

  #inDoubt(reason: string, timedOut: boolean, outcome = AttemptOutcome.NoAnswer): ForwardResult {
    const { id } = this.#grant.target;
    const retryAfterMs = RETRY_AFTER_MS;
    return {
      verdict: { kind: "may-have-run", target: id, reason, timedOut, retryAfterMs },
      outcome,
    };
  }

  #end(result: ForwardResult): void {
    if (this.#done) {
      return;
    }
    this.#done = true;
    this.#silenceTimer?.cancel();
    this.#deadlineTimer.cancel();
    this.#req.left.removeEventListener("abort", this.#onLeft);
    for (const pending of this.#pending) {
      pending.giveUp();
    }
    this.#settle(result);
  }
}
