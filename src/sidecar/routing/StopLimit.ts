import type { Clock } from "../../common/lifecycle/Clock.ts";
import type { Timer } from "../../common/lifecycle/Timer.ts";
import { AttemptOutcome } from "../detection/AttemptOutcome.ts";
import type { ForwardResult } from "../forwarding/ForwardResult.ts";
import type { HopLink } from "../hop/HopLink.ts";
import { runAllowanceMs } from "../gate/runAllowanceMs.ts";
import type { CallerRequest } from "./CallerRequest.ts";
import type { RouteMatch } from "./RouteMatch.ts";
import type { RoutingPolicy } from "./RoutingPolicy.ts";
import type { StopSchedule } from "./StopSchedule.ts";
import { StreamTimes } from "./StreamTimes.ts";

/**
 * Multiple of its typical time that is reserved for the run of a request that arrived while new connections were
 * accepted. Its caller may not know of the stop yet and have no other sidecar to go to, so most requests that would be
 * refused with a larger reserve are better served here. One that must not be repeated is sent with this reserve only
 * until then: after a wait for a slot, a refusal is better for its caller than a run that may be cut off.
 */
const EARLY_ALLOWANCE_FACTOR = 1.5;

/**
 * Time before the end of the stop that a refusal needs to reach the caller, ms: the refusal of a request with an
 * idempotency key waits for its record holders, each of which has 400 ms to reply.
 */
const REFUSAL_MS = 500;

/** `Retry-After` of refused requests, ms: another sidecar can serve the request now, and this one cannot later. */
const RETURN_MS = 100;

/** The part of the connection to targets' sidecars that sends requests. */
type RunLink = Pick<HopLink, "run" | "reattach">;

interface StopLimitDeps {
  readonly policy: Pick<RoutingPolicy, "typicalMs">;
  readonly clock: Clock;
}

/** A request that waits to be sent. */
interface WaitingRequest {
  readonly route: RouteMatch;
  readonly req: CallerRequest;
  readonly onLate: () => void;
  timer: Timer | undefined;
}

/**
 * Decides until when a sidecar that is being stopped sends callers' requests to targets. A request that is sent too
 * late is cut off with the process while it runs, and its caller cannot know whether it may be repeated; one that is
 * refused can go to another sidecar.
 */
export class StopLimit {
  readonly #deps: StopLimitDeps;
  readonly #waiting = new Set<WaitingRequest>();
  /** Times of streamed responses, which are cut off with the process too. */
  readonly streams: StreamTimes;
  #stop: StopSchedule = { callersUntil: Infinity, endAt: Infinity };

  constructor(deps: StopLimitDeps) {
    this.#deps = deps;
    this.streams = new StreamTimes(deps.clock);
  }

  /** Announces the stop; before, requests are sent at any time. */
  closeBy(stop: StopSchedule): void {
    this.#stop = stop;
    for (const waiting of this.#waiting) {
      this.#startTimer(waiting);
    }
  }

  /**
   * Calls `onLate` when a request that waits becomes too late to send, by the time that its own route takes.
   *
   * @returns ends the wait
   */
  watch(route: RouteMatch, req: CallerRequest, onLate: () => void): () => void {
    const waiting: WaitingRequest = { route, req, onLate, timer: undefined };
    this.#waiting.add(waiting);
    this.#startTimer(waiting);
    return () => {
      waiting.timer?.cancel();
      this.#waiting.delete(waiting);
    };
  }

  /** Resolves with `wait`, or as soon as `req` is too late to send. */
  async waitFor(route: RouteMatch, req: CallerRequest, wait: Promise<void>): Promise<void> {
    let endWatch: () => void = () => undefined;
    const late = new Promise<void>((resolve) => {
      endWatch = this.watch(route, req, resolve);
    });
    await Promise.race([wait, late]).finally(endWatch);
  }

  #startTimer(waiting: WaitingRequest): void {
    const { route, req, onLate, timer } = waiting;
    const { clock } = this.#deps;
    const leftMs = this.lastSendAt(route, req) - clock.now();
    timer?.cancel();
    if (leftMs <= 0) {
      onLate();
    } else if (leftMs < Infinity) {
      waiting.timer = clock.after(Math.ceil(leftMs), onLate);
    }
  }

  /** The refusal of a request that is not expected to end before the stop; undefined if it may be sent now. */
  refuse(route: RouteMatch, req: CallerRequest): ForwardResult | undefined {
    if (this.#deps.clock.now() < this.lastSendAt(route, req)) {
      return undefined;
    }
    const reason = "this sidecar is being stopped before the request is expected to end";
    const verdict = { kind: "not-run", reason, retryAfterMs: RETURN_MS } as const;
    return { verdict, outcome: AttemptOutcome.Cancelled };
  }

  /**
   * Wraps `hop` so that `req` is not sent once it is too late: during a stop, a connection that takes long to open may
   * use up the time for its run.
   */
  limit(hop: RunLink, route: RouteMatch, req: CallerRequest): RunLink {
    if (this.#stop.endAt === Infinity) {
      return hop;
    }
    const isLate = () => this.#deps.clock.now() >= this.lastSendAt(route, req);
    return {
      run: (address, hopReq, onHeartbeat) => {
        const isGrantExpired = () => isLate() || hopReq.isGrantExpired?.() === true;
        return hop.run(address, { ...hopReq, isGrantExpired }, onHeartbeat);
      },
      reattach: (...args) => hop.reattach(...args),
    };
  }

  /** Time, by the clock, from which a request is refused instead of sent, ms; Infinity unless a stop is announced. */
  lastSendAt(route: RouteMatch, { startedAt, deadlineAt }: CallerRequest): number {
    const { callersUntil, endAt } = this.#stop;
    const lastRefusalAt = endAt - REFUSAL_MS;
    if (deadlineAt <= endAt) {
      return lastRefusalAt; // A run ends at its deadline at the latest.
    }
    const typicalMs = this.#typicalMs(route);
    // With the process, the chance of another attempt ends too, so none is taken into account.
    const cautiousAt = endAt - runAllowanceMs(typicalMs, false);
    const earlyAt = endAt - typicalMs * EARLY_ALLOWANCE_FACTOR;
    const earlyUntil = route.idempotent ? earlyAt : Math.min(earlyAt, callersUntil);
    const lastSendAt = startedAt <= callersUntil ? Math.max(cautiousAt, earlyUntil) : cautiousAt;
    return Math.min(lastRefusalAt, lastSendAt);
  }

  #typicalMs(route: RouteMatch): number {
    // On other routes, a streamed response is an exception that says nothing about the next request.
    const streamMs = route.bulk ? this.streams.typicalMs(route) : 0;
    return Math.max(this.#deps.policy.typicalMs(route), streamMs);
  }
}
