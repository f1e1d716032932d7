import type { IncomingMessage } from "node:http";
import { isConnectError } from "../../common/http/isConnectError.ts";
import type { Clock } from "../../common/lifecycle/Clock.ts";
import type { IDisposable } from "../../common/lifecycle/IDisposable.ts";
import type { TargetInfo } from "../../membership/TargetInfo.ts";
import { AttemptOutcome } from "../detection/AttemptOutcome.ts";
import type { Dialect, TargetMetadata } from "../dialect/Dialect.ts";
import type { ForwardResult } from "./ForwardResult.ts";
import { readResponse } from "./readResponse.ts";
import { RETRY_AFTER_MS } from "./RETRY_AFTER_MS.ts";
import { TargetAgent } from "./TargetAgent.ts";
import { TargetExchange } from "./TargetExchange.ts";
import type { TargetRequest } from "./TargetRequest.ts";
import { withHeaders } from "./withHeaders.ts";

/** A connection idle this long may have been forgotten by either end; it is closed first, ms. */
const IDLE_LIMIT_MS = 4000;

/**
 * For this long after a target has put bytes of no request, or of another one, on a
 * connection, work that must not repeat gets a connection of its own, ms. Such bytes
 * arrive where the next answer is expected, and that request's outcome is then unknown.
 */
const UNTIDY_MS = 10_000;

/** The status of a target that did not get its answer ready in the time that it was told. */
const GATEWAY_TIMEOUT = 504;

/** Such an answer comes when no more than this share of the time is left: targets' clocks and timers are not exact. */
const TIME_UP_SHARE = 0.1;

interface TargetSenderDeps {
  readonly dialect: Dialect;
  readonly clock: Clock;
  /** Names this sidecar to targets in the `Via` header (RFC 9110, 7.6.3); empty for no header. */
  readonly via: string;
  /** Told when another target answers at a target's address. */
  readonly onOtherTarget?: (target: TargetInfo, other: string) => void;
}

/** How far a request has got. */
interface Progress {
  answering: boolean;
  timedOut: boolean;
}

/**
 * Sends requests to the targets beside this sidecar over kept connections, and
 * turns every outcome into a verdict. A whole answer is read before it counts as
 * done: a body cut short is may-have-run.
 */
export class TargetSender implements IDisposable {
  readonly #deps: TargetSenderDeps;
  /** Kept connections by targets' URLs. */
  readonly #agents = new Map<string, TargetAgent>();
  #untidyUntil = -Infinity;

  constructor(deps: TargetSenderDeps) {
    this.#deps = deps;
  }

  /** Sends `req` to `target` and waits for the whole answer (or the start of a large one) or the deadline. */
  async send(target: TargetInfo, req: TargetRequest): Promise<ForwardResult> {
    const { clock } = this.#deps;
    const remainingMs = req.deadlineAt - clock.now();
    if (remainingMs <= 0) {
      return notRun("no time left", RETRY_AFTER_MS);
    }
    const words = { ...req.words, remainingMs };
    const headers = this.#headers(req, words);
    const own = this.#agentFor(target, req);
    const exchange = new TargetExchange({ url: target.url, agent: own.agent, headers }, req);
    const progress: Progress = { answering: false, timedOut: false };
    // Closing the connection ends the work there, and a late answer can never be
    // taken for the next request's.
    const timer = clock.after(remainingMs, () => {
      progress.timedOut = true;
      exchange.abort();
    });
    const onEnd = () => {
      exchange.abort();
    };
    req.cancelled?.addEventListener("abort", onEnd);
    req.lost?.addEventListener("abort", onEnd);
    try {
      const res = await exchange.answer;
      progress.answering = true;
      return await this.#toResult(target, req, words, res, exchange);
    } catch (err) {
      return this.#failed(target, req, progress, err);
    } finally {
      // The deadline is for the answer, or the start of a large one; how fast a
      // slow phone then takes the rest is not the target's doing.
      timer.cancel();
      req.cancelled?.removeEventListener("abort", onEnd);
      req.lost?.removeEventListener("abort", onEnd);
      own.done();
    }
  }

  /** Leaves the kept connections to a target that has started again behind: its last life held their other ends. */
  renew({ url }: TargetInfo): void {
    this.#leaveKept(url);
  }

  /** Closes every connection, forcibly. */
  dispose(): void {
    for (const agent of this.#agents.values()) {
      agent.destroy();
    }
    this.#agents.clear();
  }

  #headers(req: TargetRequest, words: TargetMetadata): string[] {
    const { dialect, via } = this.#deps;
    const trail = via === "" ? [] : ["via", `1.1 ${via}`];
    return [...withHeaders(req.headers, dialect.writeTarget(words)), ...trail];
  }

  /** Kept connections; or one for this request alone, when leftovers on a kept one could be taken for its answer. */
  #agentFor(target: TargetInfo, req: TargetRequest): { agent: TargetAgent; done: () => void } {
    if (req.idempotent || this.#deps.clock.now() >= this.#untidyUntil) {
      return { agent: this.#kept(target.url), done: () => undefined };
    }
    const agent = new TargetAgent({ keepAlive: false });
    return {
      agent,
      done: () => {
        agent.destroy();
      },
    };
  }

  async #toResult(
    target: TargetInfo,
    req: TargetRequest,
    words: TargetMetadata,
    res: IncomingMessage,
    exchange: TargetExchange,
  ): Promise<ForwardResult> {
    const status = res.statusCode ?? 0;
    const head = this.#deps.dialect.readResponse(words, status, res.headers);
    switch (head.kind) {
      case "not-run":
        res.resume();
        if (head.otherTarget !== undefined) {
          this.#deps.onOtherTarget?.(target, head.otherTarget);
        }
        return notRun("the target did not run it", head.retryAfterMs ?? RETRY_AFTER_MS);
      case "foreign":
        // Whose answer it is cannot be told, so no caller gets it, and ours may have
        // run. Ours may follow on this connection, where the next request's answer is
        // expected, so no other request may be sent on it.
        this.#noteUntidy(target.url);
        exchange.abort();
        return mayHaveRun(target, head.reason, AttemptOutcome.Wrong);
      case "own": {
        const answer = await readResponse(res, req.wholeAnswer ?? false, () =>
          exchange.checkEnd(res),
        );
        const verdict = { kind: "done", target: target.id, status } as const;
        const outcome = this.#outcomeOf(status, words.remainingMs, req.deadlineAt);
        return { verdict, outcome, headers: res.headers, ...answer };
      }
    }
  }

  /** What a whole answer says of the target: one that gives up with its time is late, not failing. */
  #outcomeOf(status: number, givenMs: number, deadlineAt: number): AttemptOutcome {
    if (status < 500) {
      return AttemptOutcome.Ok;
    }
    const leftMs = deadlineAt - this.#deps.clock.now();
    const isOutOfTime = status === GATEWAY_TIMEOUT && leftMs <= givenMs * TIME_UP_SHARE;
    return isOutOfTime ? AttemptOutcome.TimedOut : AttemptOutcome.Failed;
  }

  #failed(target: TargetInfo, req: TargetRequest, progress: Progress, err: unknown): ForwardResult {
    const code = (err as { code?: string }).code ?? "";
    if (progress.timedOut) {
      this.#leaveKept(target.url);
      return mayHaveRun(target, "no answer in time", AttemptOutcome.TimedOut, true);
    }
    if (req.lost?.aborted) {
      return mayHaveRun(target, "the target has started again", AttemptOutcome.NoAnswer);
    }
    if (req.cancelled?.aborted) {
      return mayHaveRun(target, "the caller has left", AttemptOutcome.Cancelled);
    }
    if (isConnectError(err)) {
      const refused = notRun(`connect failed: ${code}`, RETRY_AFTER_MS);
      return { ...refused, outcome: AttemptOutcome.NoAnswer };
    }
    const isUntidy = code.startsWith("HPE_");
    if (isUntidy) {
      this.#noteUntidy(target.url);
    }
    const reason = err instanceof Error ? `${err.name}: ${code || err.message}` : "unknown error";
    const isWrong = isUntidy || progress.answering;
    return mayHaveRun(target, reason, isWrong ? AttemptOutcome.Wrong : AttemptOutcome.NoAnswer);
  }

  #noteUntidy(url: string): void {
    this.#untidyUntil = this.#deps.clock.now() + UNTIDY_MS;
    this.#leaveKept(url);
  }

  /**
   * Leaves a target's kept connections behind: whatever lost track of one of them, or
   * put bytes of no request on it, has likely done so to the others, while new ones
   * work. Requests still open on them finish.
   */
  #leaveKept(url: string): void {
    const agent = this.#agents.get(url);
    this.#agents.delete(url);
    for (const sockets of Object.values(agent?.freeSockets ?? {})) {
      sockets?.forEach((s) => s.destroy());
    }
    if (agent) {
      // Those in use end after the answer that they wait for.
      agent.maxFreeSockets = 0;
    }
  }

  #kept(url: string): TargetAgent {
    let agent = this.#agents.get(url);
    if (!agent) {
      agent = new TargetAgent({ keepAlive: true, timeout: IDLE_LIMIT_MS });
      this.#agents.set(url, agent);
    }
    return agent;
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
