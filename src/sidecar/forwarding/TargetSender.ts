import type { IncomingMessage } from "node:http";
import { isConnectError } from "../../common/http/isConnectError.ts";
import type { ResponseLimits } from "../../common/document/ResponseLimits.ts";
import type { Clock } from "../../common/lifecycle/Clock.ts";
import type { IDisposable } from "../../common/lifecycle/IDisposable.ts";
import type { TargetInfo } from "../../membership/TargetInfo.ts";
import { AttemptOutcome } from "../detection/AttemptOutcome.ts";
import type { Dialect, TargetMetadata } from "../dialect/Dialect.ts";
import { MemoryAccount } from "../memory/MemoryAccount.ts";
import type { ForwardResult } from "./ForwardResult.ts";
import { drainResponse } from "./drainResponse.ts";
import { LimitExceededError } from "./LimitExceededError.ts";
import type { TargetSignals } from "../signals/TargetSignals.ts";
import { readResponse } from "./readResponse.ts";
import { RETRY_AFTER_MS } from "./RETRY_AFTER_MS.ts";
import { TargetAgent } from "./TargetAgent.ts";
import { TargetExchange } from "./TargetExchange.ts";
import type { TargetRequest } from "./TargetRequest.ts";
import { withHeaders } from "./withHeaders.ts";

/** Idle connections are closed after this time, ms, before either end may have dropped them unnoticed. */
const IDLE_TIMEOUT_MS = 4000;

/**
 * Period after a target has sent bytes that belong to no request, or to another one, in which each non-idempotent
 * request uses a separate connection, ms. Such bytes arrive where the next response is expected, which leaves the
 * outcome of that request unknown.
 */
const ISOLATION_MS = 10_000;

/** Status code of a target that did not produce its response within the time it was given. */
const GATEWAY_TIMEOUT = 504;

/**
 * Share of the time given to the target that may remain when such a response still counts as timed out: the clocks and
 * timers of targets are not exact.
 */
const DEADLINE_TOLERANCE = 0.1;

/** The limits that Node's HTTP parser enforces, by the code of its error. */
const PARSER_LIMITS: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: "64 KB of status line and headers, or of trailers",
  HPE_CHUNK_EXTENSIONS_OVERFLOW: "16 KB of chunk extensions",
};

interface TargetSenderDeps {
  readonly dialect: Dialect;
  readonly clock: Clock;
  /** Name of this sidecar in the `Via` header (RFC 9110, section 7.6.3); empty for no header. */
  readonly via: string;
  /** Called when a different target responds at a target's address. */
  readonly onOtherTarget?: (target: TargetInfo, other: string) => void;
  /** Called with what a response to a request that was sent at `sentAt` (ms) says about its target. */
  readonly onSignals?: (target: TargetInfo, signals: TargetSignals, sentAt: number) => void;
  /** Called when a target's response to a request exceeds a limit, which `limit` names. */
  readonly onLimitExceeded?: (target: TargetInfo, req: TargetRequest, limit: string) => void;
  /** Limits on the bodies of responses; by default none. */
  readonly responseLimits?: () => ResponseLimits;
  /** Counts the responses that are being received; by default they are not counted. */
  readonly memory?: MemoryAccount;
}

/** Why this sender aborted a request. */
type AbortReason = "timed-out" | "target-restarted" | "caller-left";

/** State of a request in flight. */
interface Progress {
  isResponding: boolean;
  /** First reason to abort it; its connection may report the error only after a second one has come up. */
  abortedFor: AbortReason | undefined;
}

/**
 * Sends requests to the local targets over persistent connections, and converts every outcome to a verdict. The verdict
 * is `done` only once the complete response (or the start of a large one) has been read; a truncated body gives
 * `may-have-run`.
 */
export class TargetSender implements IDisposable {
  readonly #deps: TargetSenderDeps;
  readonly #memory: MemoryAccount;
  /** Agents that hold the persistent connections, by target URL. */
  readonly #agents = new Map<string, TargetAgent>();
  /** Until when non-idempotent requests use separate connections, by the clock, ms. */
  #isolatedUntil = -Infinity;

  constructor(deps: TargetSenderDeps) {
    this.#deps = deps;
    this.#memory = deps.memory ?? new MemoryAccount();
  }

  /** Sends `req` to `target` and waits for the complete response (or the start of a large one) or the deadline. */
  async send(target: TargetInfo, req: TargetRequest): Promise<ForwardResult> {
    const { clock } = this.#deps;
    const remainingMs = req.deadlineAt - clock.now();
    if (remainingMs <= 0) {
      return notRun("no time left", RETRY_AFTER_MS);
    }
    if (req.cancelled?.aborted) {
      return {
        ...notRun("the caller has left", RETRY_AFTER_MS),
        outcome: AttemptOutcome.Cancelled,
      };
    }
    const metadata = { ...req.metadata, remainingMs };
    const headers = this.#headersFor(req, metadata);
    const connection = this.#agentFor(target, req);
    const exchange = new TargetExchange(
      { url: target.url, agent: connection.agent, headers, clock },
      req,
    );
    const progress: Progress = { isResponding: false, abortedFor: undefined };
    // Closing the connection ends the run at the target, and ensures that a late response cannot be mistaken for that
    // of the next request.
    const abortFor = (reason: AbortReason) => () => {
      progress.abortedFor ??= reason;
      exchange.abort();
    };
    const timer = clock.timeout(remainingMs, abortFor("timed-out"));
    const onCancelled = abortFor("caller-left");
    const onRestarted = abortFor("target-restarted");
    let streamed: Promise<unknown> | undefined;
    req.cancelled?.addEventListener("abort", onCancelled);
    req.targetRestarted?.addEventListener("abort", onRestarted);
    try {
      const res = await exchange.response;
      progress.isResponding = true;
      const result = await this.#toResult(target, req, metadata, res, exchange);
      streamed = "ended" in result ? result.ended : undefined;
      return result;
    } catch (err) {
      return this.#toFailure(target, req, progress, err);
    } finally {
      // The deadline applies to the response, or to the start of a large one. How fast a slow client then reads the
      // rest does not depend on the target.
      timer.cancel();
      req.cancelled?.removeEventListener("abort", onCancelled);
      req.targetRestarted?.removeEventListener("abort", onRestarted);
      // The rest of a streamed response is still to arrive on the connection.
      void Promise.resolve(streamed).then(connection.release);
    }
  }

  /** Retires the connections to a target that has restarted, whose previous incarnation held their other ends. */
  retireConnections({ url }: TargetInfo): void {
    this.#retireAgent(url);
  }

  /** Closes all connections and aborts the requests on them. */
  dispose(): void {
    for (const agent of this.#agents.values()) {
      agent.destroy();
    }
    this.#agents.clear();
  }

  #headersFor(req: TargetRequest, metadata: TargetMetadata): string[] {
    const { dialect, via } = this.#deps;
    const viaHeader = via === "" ? [] : ["via", `1.1 ${via}`];
    return [...withHeaders(req.headers, dialect.writeTarget(metadata)), ...viaHeader];
  }

  /**
   * Returns the agent with the persistent connections, or one for this request only if stray bytes on a persistent
   * connection could be mistaken for its response.
   */
  #agentFor(target: TargetInfo, req: TargetRequest): { agent: TargetAgent; release: () => void } {
    if (req.idempotent || this.#deps.clock.now() >= this.#isolatedUntil) {
      return { agent: this.#keepAliveAgent(target.url), release: () => undefined };
    }
    const agent = new TargetAgent({ keepAlive: false });
    return {
      agent,
      release: () => {
        agent.destroy();
      },
    };
  }

  async #toResult(
    target: TargetInfo,
    req: TargetRequest,
    metadata: TargetMetadata,
    res: IncomingMessage,
    exchange: TargetExchange,
  ): Promise<ForwardResult> {
    const status = res.statusCode ?? 0;
    const { dialect, onSignals } = this.#deps;
    const head = dialect.readResponse(metadata, status, res.headers);
    const signals = head.kind === "foreign" ? undefined : dialect.readSignals(status, res.headers);
    if (signals) {
      // Reported before the body, whose end may never come.
      onSignals?.(target, signals, req.deadlineAt - metadata.remainingMs);
    }
    switch (head.kind) {
      case "not-run":
        drainResponse(res, this.#deps.clock);
        if (head.otherTarget !== undefined) {
          this.#deps.onOtherTarget?.(target, head.otherTarget);
        }
        return notRun("the target did not run it", head.retryAfterMs ?? RETRY_AFTER_MS);
      case "foreign":
        // The response belongs to another request, which is unknown, so it is not returned to any caller, and this
        // request may have run. Its own response may still follow on this connection, where that of the next request
        // is expected, so no other request may be sent on it.
        this.#isolateRequests(target.url);
        exchange.abort();
        return mayHaveRun(target, head.reason, AttemptOutcome.InvalidResponse);
      case "own": {
        const limits = this.#deps.responseLimits?.() ?? {};
        if (req.method !== "HEAD") {
          checkDeclaredLength(res, limits);
        }
        const body = await readResponse(res, {
          bufferAll: req.bufferResponse ?? false,
          checkEnd: () => exchange.checkEnd(res),
          limits,
          memory: this.#memory,
          clock: this.#deps.clock,
        });
        if ("ended" in body) {
          body.body.once("error", (err) => {
            this.#reportLimit(target, req, err);
          });
        }
        const verdict = { kind: "done", target: target.id, status } as const;
        const outcome = this.#outcomeOf(status, metadata.remainingMs, req.deadlineAt);
        return { verdict, outcome, headers: res.headers, ...body };
      }
    }
  }

  /** Outcome of a complete response: a gateway timeout at the deadline counts as timed out, not as failed. */
  #outcomeOf(status: number, timeoutMs: number, deadlineAt: number): AttemptOutcome {
    if (status < 500) {
      return AttemptOutcome.Ok;
    }
    const remainingMs = deadlineAt - this.#deps.clock.now();
    const isAtDeadline =
      status === GATEWAY_TIMEOUT && remainingMs <= timeoutMs * DEADLINE_TOLERANCE;
    return isAtDeadline ? AttemptOutcome.TimedOut : AttemptOutcome.Failed;
  }

  #toFailure(
    target: TargetInfo,
    req: TargetRequest,
    progress: Progress,
    err: unknown,
  ): ForwardResult {
    const code = (err as { code?: string }).code ?? "";
    switch (progress.abortedFor) {
      case "timed-out":
        this.#retireAgent(target.url);
        return mayHaveRun(target, "no answer in time", AttemptOutcome.TimedOut, true);
      case "target-restarted":
        return mayHaveRun(target, "the target has started again", AttemptOutcome.NoResponse);
      case "caller-left":
        return mayHaveRun(target, "the caller has left", AttemptOutcome.Cancelled);
      case undefined:
        break;
    }
    if (isConnectError(err)) {
      const result = notRun(`connect failed: ${code}`, RETRY_AFTER_MS);
      return { ...result, outcome: AttemptOutcome.NoResponse };
    }
    const isExceeded = this.#reportLimit(target, req, err);
    const isParseError = code.startsWith("HPE_") || isExceeded;
    if (isParseError) {
      this.#isolateRequests(target.url);
    }
    const reason = err instanceof Error ? `${err.name}: ${code || err.message}` : "unknown error";
    const isWrong = isParseError || progress.isResponding;
    return mayHaveRun(
      target,
      reason,
      isWrong ? AttemptOutcome.InvalidResponse : AttemptOutcome.NoResponse,
    );
  }

  /** Reports a limit that a response has exceeded; false if `err` is another error. */
  #reportLimit(target: TargetInfo, req: TargetRequest, err: unknown): boolean {
    const limit =
      err instanceof LimitExceededError
        ? err.limit
        : PARSER_LIMITS[(err as { code?: string }).code ?? ""];
    if (limit !== undefined) {
      this.#deps.onLimitExceeded?.(target, req, limit);
    }
    return limit !== undefined;
  }

  /** Makes non-idempotent requests use separate connections for a while, after a target sent unexpected bytes. */
  #isolateRequests(url: string): void {
    this.#isolatedUntil = this.#deps.clock.now() + ISOLATION_MS;
    this.#retireAgent(url);
  }

  /**
   * Stops using the persistent connections to a target: a failure that dropped one of them, or put bytes of no request
   * on it, has probably affected the others too, while new connections work. Requests in flight on them continue.
   */
  #retireAgent(url: string): void {
    const agent = this.#agents.get(url);
    this.#agents.delete(url);
    for (const sockets of Object.values(agent?.freeSockets ?? {})) {
      sockets?.forEach((s) => s.destroy());
    }
    if (agent) {
      // Connections in use are closed after their current response.
      agent.maxFreeSockets = 0;
    }
  }

  #keepAliveAgent(url: string): TargetAgent {
    let agent = this.#agents.get(url);
    if (!agent) {
      agent = new TargetAgent({ keepAlive: true, timeout: IDLE_TIMEOUT_MS });
      this.#agents.set(url, agent);
    }
    return agent;
  }
}

/** Rejects a response that declares a longer body than is allowed, before any of it is passed on. */
function checkDeclaredLength(res: IncomingMessage, { maxBytes = Infinity }: ResponseLimits): void {
  if (Number(res.headers["content-length"] ?? 0) > maxBytes) {
    const err = new LimitExceededError(`${maxBytes} bytes of a response`);
    res.destroy(err);
    throw err;
  }
}

function notRun(reason: string, retryAfterMs: number): ForwardResult {
  return { verdict: { kind: "not-run", reason, retryAfterMs }, outcome: AttemptOutcome.Shed };
}

function mayHaveRun(
  target: TargetInfo,
  reason: string,
  outcome: AttemptOutcome,
  timedOut = false,
): ForwardResult {
  const retryAfterMs = RETRY_AFTER_MS;
  return {
    verdict: { kind: "may-have-run", target: target.id, reason, timedOut, retryAfterMs },
    outcome,
  };
}
