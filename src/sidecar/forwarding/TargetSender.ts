import { Client, Pool, errors, type Dispatcher } from "undici";
import type { Clock } from "../../common/lifecycle/Clock.ts";
import type { IDisposable } from "../../common/lifecycle/IDisposable.ts";
import type { TargetInfo } from "../../membership/TargetInfo.ts";
import { AttemptOutcome } from "../detection/AttemptOutcome.ts";
import type { Dialect, TargetWords } from "../dialect/Dialect.ts";
import type { ForwardResult } from "./ForwardResult.ts";
import { readAnswer } from "./readAnswer.ts";
import { withHeaders } from "./withHeaders.ts";
import { RETRY_AFTER_MS } from "./RETRY_AFTER_MS.ts";
import type { TargetRequest } from "./TargetRequest.ts";

/** A connection that takes longer to open is given up, ms; on a healthy path one takes about 1 ms. */
const CONNECT_TIMEOUT_MS = 1000;

/** A connection idle this long may have been forgotten by either end; it is dropped first, ms. */
const IDLE_LIMIT_MS = 4000;

/**
 * For this long after a target has put bytes of no request, or of another one, on a
 * connection, work that must not repeat gets a connection of its own, ms. Such bytes
 * arrive where the next answer is expected, and that request's outcome is then unknown.
 */
const UNTIDY_MS = 10_000;

/** Errors raised while connecting, before any byte of the request was sent: it cannot have run. */
const CONNECT_ERRORS = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "ENOTFOUND",
  "UND_ERR_CONNECT_TIMEOUT",
]);

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
  readonly #pools = new Map<string, Pool>();
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
    // Aborting an undici request in flight destroys its connection, so a late
    // answer can never be read by the next request on that socket.
    const stop = new AbortController();
    const progress: Progress = { answering: false, timedOut: false };
    const timer = clock.after(remainingMs, () => {
      progress.timedOut = true;
      stop.abort();
    });
    const onLeave = () => {
      stop.abort();
    };
    req.cancelled?.addEventListener("abort", onLeave);
    const own = this.#connectionFor(target, req);
    try {
      const words = { ...req.words, remainingMs };
      const res = await own.dispatcher.request({
        method: req.method,
        path: req.path,
        headers: this.#headers(req, words),
        body: req.body,
        signal: stop.signal,
        headersTimeout: 0,
        bodyTimeout: 0,
      });
      progress.answering = true;
      return await this.#toResult(target, req, words, res);
    } catch (err) {
      return this.#failed(target, req, progress, err);
    } finally {
      // The deadline is for the answer, or the start of a large one; how fast a
      // slow phone then takes the rest is not the target's doing.
      timer.cancel();
      req.cancelled?.removeEventListener("abort", onLeave);
      own.done();
    }
  }

  /** Closes every connection, forcibly. */
  async dispose(): Promise<void> {
    const pools = [...this.#pools.values()];
    this.#pools.clear();
    await Promise.all(pools.map((p) => p.destroy()));
  }

  #headers(req: TargetRequest, words: TargetWords): string[] {
    const { dialect, via } = this.#deps;
    const length = req.bodyLength === undefined ? [] : ["content-length", String(req.bodyLength)];
    const trail = via === "" ? [] : ["via", `1.1 ${via}`];
    return [...withHeaders(req.headers, dialect.writeTarget(words)), ...length, ...trail];
  }

  /** A kept connection; or one for this request alone, when leftovers on a kept one could be taken for its answer. */
  #connectionFor(
    target: TargetInfo,
    req: TargetRequest,
  ): { dispatcher: Pool | Client; done: () => void } {
    if (req.idempotent || this.#deps.clock.now() >= this.#untidyUntil) {
      return { dispatcher: this.#pool(target.url), done: () => undefined };
    }
    const client = new Client(target.url, { connectTimeout: CONNECT_TIMEOUT_MS, pipelining: 1 });
    return {
      dispatcher: client,
      done: () => {
        void client.close().catch(() => undefined);
      },
    };
  }

  async #toResult(
    target: TargetInfo,
    req: TargetRequest,
    words: TargetWords,
    res: Dispatcher.ResponseData,
  ): Promise<ForwardResult> {
    const head = this.#deps.dialect.readAnswer(words, res.statusCode, res.headers);
    switch (head.kind) {
      case "not-run":
        await res.body.dump();
        if (head.otherTarget !== undefined) {
          this.#deps.onOtherTarget?.(target, head.otherTarget);
        }
        return notRun("the target did not run it", head.retryAfterMs ?? RETRY_AFTER_MS);
      case "foreign":
        // Whose answer it is cannot be told, so no caller gets it, and ours may have
        // run. Ours may follow on this connection, where the next request's answer is
        // expected, so no other request may be sent on it.
        this.#noteUntidy();
        this.#retirePool(target.url);
        res.body.on("error", () => undefined);
        res.body.destroy();
        return mayHaveRun(target, head.reason, AttemptOutcome.Wrong);
      case "own":
        return this.#wholeAnswer(target, req, res);
    }
  }

  async #wholeAnswer(
    target: TargetInfo,
    req: TargetRequest,
    res: Dispatcher.ResponseData,
  ): Promise<ForwardResult> {
    const answer = await readAnswer(res.body, req.wholeAnswer ?? false);
    const verdict = { kind: "done", target: target.id, status: res.statusCode } as const;
    const outcome = res.statusCode >= 500 ? AttemptOutcome.Failed : AttemptOutcome.Ok;
    return { verdict, outcome, headers: res.headers, ...answer };
  }

  #failed(target: TargetInfo, req: TargetRequest, progress: Progress, err: unknown): ForwardResult {
    const code = (err as { code?: string }).code ?? "";
    if (progress.timedOut) {
      this.#retirePool(target.url);
      return mayHaveRun(target, "no answer in time", AttemptOutcome.TimedOut, true);
    }
    if (req.cancelled?.aborted) {
      return mayHaveRun(target, "the caller has left", AttemptOutcome.Cancelled);
    }
    if (CONNECT_ERRORS.has(code) || err instanceof errors.ConnectTimeoutError) {
      return {
        ...notRun(`connect failed: ${code}`, RETRY_AFTER_MS),
        outcome: AttemptOutcome.NoAnswer,
      };
    }
    const isUntidy = code.startsWith("HPE_");
    if (isUntidy) {
      this.#noteUntidy();
    }
    const reason = err instanceof Error ? `${err.name}: ${code || err.message}` : "unknown error";
    const isWrong = isUntidy || progress.answering;
    const outcome = isWrong ? AttemptOutcome.Wrong : AttemptOutcome.NoAnswer;
    return mayHaveRun(target, reason, outcome);
  }

  #noteUntidy(): void {
    this.#untidyUntil = this.#deps.clock.now() + UNTIDY_MS;
  }

  /**
   * Leaves a target's connections behind after one went silent: whatever lost
   * track of that connection has likely lost its siblings too, while new ones
   * work. Requests still open on them finish; the next ones connect afresh.
   */
  #retirePool(url: string): void {
    const pool = this.#pools.get(url);
    if (pool) {
      this.#pools.delete(url);
      void pool.close().catch(() => undefined);
    }
  }

  #pool(url: string): Pool {
    let pool = this.#pools.get(url);
    if (!pool) {
      pool = new Pool(url, {
        connectTimeout: CONNECT_TIMEOUT_MS,
        keepAliveTimeout: IDLE_LIMIT_MS,
        pipelining: 1,
      });
      pool.on("disconnect", (_origin, _targets, err: Error & { code?: string }) => {
        if (err.code?.startsWith("HPE_")) {
          this.#noteUntidy();
        }
      });
      this.#pools.set(url, pool);
    }
    return pool;
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
