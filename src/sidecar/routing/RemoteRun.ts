import type bunyan from "bunyan";
import type { Clock } from "../../common/lifecycle/Clock.ts";
import type { Timer } from "../../common/lifecycle/Timer.ts";
import { AttemptOutcome } from "../detection/AttemptOutcome.ts";
import type { ForwardResult } from "../forwarding/ForwardResult.ts";
import { RETRY_AFTER_MS } from "../forwarding/RETRY_AFTER_MS.ts";
import { EXPIRED_GRANT } from "../gate/EXPIRED_GRANT.ts";
import { GrantExpiredError } from "../hop/GrantExpiredError.ts";
import { grantTtlMs } from "../hop/grantTtlMs.ts";
import type { HopLink } from "../hop/HopLink.ts";
import { NotSentError } from "../hop/NotSentError.ts";
import type { PendingCall } from "../hop/PendingCall.ts";
import type { CallerRequest } from "./CallerRequest.ts";
import type { Grant } from "./SlotFinder.ts";
import type { RouteMatch } from "./RouteMatch.ts";

/**
 * Longest gap between heartbeats of a run, ms. They are sent every 300 ms; a longer gap means that the connection or
 * the path failed.
 */
const HEARTBEAT_TIMEOUT_MS = 750;

/** Longest wait for the first heartbeat or the result of a reattach attempt before the next attempt, ms. */
const REATTACH_TIMEOUT_MS = 500;

/**
 * How much earlier the deadline sent to the other sidecar is: a share of the remaining time, and its bounds in ms. The
 * report of how the run ended then arrives before this sidecar has to respond without it. A round trip takes 3 ms, on
 * a busy machine a hundred.
 */
const DEADLINE_MARGIN = { share: 0.04, minMs: 20, maxMs: 150 };

interface RemoteRunDeps {
  readonly hop: Pick<HopLink, "run" | "reattach">;
  readonly callerService: string;
  readonly clock: Clock;
  readonly log: bunyan;
  /** Called when contact with the target's local sidecar is lost or cannot be established. */
  readonly onContactLost: () => void;
}

/**
 * One run at one target, as seen by the sidecar that sent it there. When the connection
 * is lost or heartbeats stop, a non-idempotent run is reattached over new connections
 * until its outcome is known or its deadline passes. An idempotent run is abandoned, since
 * the request can be sent to another target.
 */
export class RemoteRun {
  readonly #deps: RemoteRunDeps;
  readonly #route: RouteMatch;
  readonly #req: CallerRequest;
  readonly #grant: Grant;
  readonly #settle: (result: ForwardResult) => void;
  readonly #pending = new Set<PendingCall<ForwardResult>>();
  #livenessTimer: Timer | undefined;
  readonly #deadlineTimer: Timer;
  #finished = false;

  /** Resolves once the outcome is known, the deadline has passed or the run is given up. */
  readonly result: Promise<ForwardResult>;

  constructor(deps: RemoteRunDeps, route: RouteMatch, req: CallerRequest, grant: Grant) {
    this.#deps = deps;
    this.#route = route;
    this.#req = req;
    this.#grant = grant;
    let settle: (result: ForwardResult) => void = () => undefined;
    this.result = new Promise((resolve) => (settle = resolve));
    this.#settle = settle;
    this.#deadlineTimer = deps.clock.timeout(req.deadlineAt - deps.clock.now(), () => {
      this.#finish(this.#mayHaveRun("no answer in time", true, AttemptOutcome.TimedOut));
    });
    req.disconnected.addEventListener("abort", this.#onCallerAbort);
    this.#track(deps.hop.run(grant.target.hopAddress, this.#hopRequest(), this.#onHeartbeat), true);
    this.#restartHeartbeatTimer();
  }

  /** Stops waiting for the result; an idempotent run is cancelled at the target. */
  cancel(): void {
    this.#finish(this.#mayHaveRun("given up", false, AttemptOutcome.Cancelled));
  }

  readonly #onCallerAbort = (): void => {
    this.#finish(this.#mayHaveRun("the caller has left", false, AttemptOutcome.Cancelled));
  };

  readonly #onHeartbeat = (): void => {
    this.#restartHeartbeatTimer();
  };

  #hopRequest() {
    const { attempt, method, path, headers, body, bodyLength } = this.#req;
    const { dispatch, startedAt, deadlineAt, workspace } = this.#req;
    const now = this.#deps.clock.now();
    const remainingMs = deadlineAt - now;
    const bodyBytes = Buffer.isBuffer(body) ? body.length : (bodyLength ?? 0);
    const usableUntil = now + grantTtlMs(bodyBytes);
    return {
      attempt,
      target: this.#grant.target.id,
      grant: this.#grant.id,
      method,
      path,
      headers,
      body,
      bodyLength,
      remainingMs: remainingMs - deadlineMarginMs(remainingMs),
      isGrantExpired: this.#route.idempotent
        ? undefined
        : () => this.#deps.clock.now() >= usableUntil,
      dispatch,
      ageMs: dispatch === undefined ? undefined : now - startedAt,
      callerService: this.#deps.callerService,
      workspace,
      idempotent: this.#route.idempotent,
      echoHeader: this.#route.service.echoHeader,
    };
  }

  /** @param isOriginal false for reattach attempts, whose failures are covered by the timer of `#reattach` */
  #track(pending: PendingCall<ForwardResult>, isOriginal: boolean): void {
    this.#pending.add(pending);
    pending.result.then(
      (result) => {
        // Must not be cancelled with the others: it may still be streaming a large response body.
        this.#pending.delete(pending);
        this.#finish(result);
      },
      (err: unknown) => {
        this.#pending.delete(pending);
        if (!this.#finished && isOriginal && err instanceof GrantExpiredError) {
          this.#finish(EXPIRED_GRANT);
        } else if (!this.#finished && isOriginal && err instanceof NotSentError) {
          this.#onNotSent(err);
        } else if (!this.#finished && isOriginal) {
          const reason = err instanceof Error ? err.message : String(err);
          this.#onContactLost(`the connection was lost: ${reason}`);
        }
      },
    );
  }

  /**
   * No connection could be opened, so the request has not run and can go to another target. Handled as in doubt, the
   * caller could not resend it, and reattaching to a non-idempotent run would be tried until the deadline.
   */
  #onNotSent({ message: reason }: NotSentError): void {
    const { attempt } = this.#req;
    this.#deps.log.info({ attempt, target: this.#grant.target.id, reason }, "run not sent");
    this.#deps.onContactLost();
    const verdict = { kind: "not-run", reason, retryAfterMs: RETRY_AFTER_MS } as const;
    this.#finish({ verdict, outcome: AttemptOutcome.NoResponse });
  }

  #restartHeartbeatTimer(): void {
    this.#livenessTimer?.cancel();
    if (!this.#finished) {
      this.#livenessTimer = this.#deps.clock.timeout(HEARTBEAT_TIMEOUT_MS, () => {
        this.#onContactLost("the connection fell silent");
      });
    }
  }

  #onContactLost(reason: string): void {
    const { attempt } = this.#req;
    const { target } = this.#grant;
    this.#deps.log.info(
      { attempt, target: target.id, reason },
      "lost contact with running attempt",
    );
    this.#deps.onContactLost();
    if (this.#route.idempotent) {
      this.#finish(this.#mayHaveRun(reason, false));
    } else {
      this.#reattach();
    }
  }

  /** Asks for the result over a new connection, and repeats that until one attempt returns it. */
  #reattach(): void {
    this.#livenessTimer?.cancel();
    if (this.#finished) {
      return;
    }
    const { target, id } = this.#grant;
    const grant = { attempt: this.#req.attempt, target: target.id, grant: id };
    const pending = this.#deps.hop.reattach(target.hopAddress, grant, this.#onHeartbeat);
    this.#track(pending, false);
    this.#livenessTimer = this.#deps.clock.timeout(REATTACH_TIMEOUT_MS, () => {
      pending.cancel();
      this.#reattach();
    });
  }

  #mayHaveRun(
    reason: string,
    timedOut: boolean,
    outcome = AttemptOutcome.NoResponse,
  ): ForwardResult {
    const { id } = this.#grant.target;
    const retryAfterMs = RETRY_AFTER_MS;
    return {
      verdict: { kind: "may-have-run", target: id, reason, timedOut, retryAfterMs },
      outcome,
    };
  }

  #finish(result: ForwardResult): void {
    if (this.#finished) {
      return;
    }
    this.#finished = true;
    this.#livenessTimer?.cancel();
    this.#deadlineTimer.cancel();
    this.#req.disconnected.removeEventListener("abort", this.#onCallerAbort);
    for (const pending of this.#pending) {
      pending.cancel();
    }
    this.#settle(result);
  }
}

function deadlineMarginMs(remainingMs: number): number {
  const { share, minMs, maxMs } = DEADLINE_MARGIN;
  return Math.min(maxMs, Math.max(minMs, remainingMs * share));
}
