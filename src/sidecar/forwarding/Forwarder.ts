import { randomUUID } from "node:crypto";
import { Pool, errors, type Dispatcher } from "undici";
import type { IDisposable } from "../../common/lifecycle/IDisposable.ts";
import { AttemptOutcome } from "../detection/AttemptOutcome.ts";
import type { ForwardResult } from "./ForwardResult.ts";
import type { OutgoingRequest } from "./OutgoingRequest.ts";
import { readAnswer } from "./readAnswer.ts";
import { RETRY_AFTER_S } from "../routing/RETRY_AFTER_S.ts";
import type { TargetInfo } from "../membership/TargetInfo.ts";

/** Connections kept to one target; more than its slots would only queue at the target. */
const CONNECTIONS_PER_TARGET = 8;

/** A connection that takes longer to open is given up, ms; on a healthy path one takes about 1 ms. */
const CONNECT_TIMEOUT_MS = 1000;

/** A connection idle this long may have been forgotten by a middlebox; it is dropped first, ms. */
const IDLE_LIMIT_MS = 4000;

/** A target that sends nothing for this long in the midst of a body has gone silent, ms. */
const BODY_SILENCE_MS = 10_000;

/**
 * Errors raised while connecting, before any byte of the request was sent:
 * the request cannot have run.
 */
const CONNECT_ERRORS = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "ENOTFOUND",
  "UND_ERR_CONNECT_TIMEOUT",
]);

/**
 * Sends requests to targets over undici pools, one per target, and turns
 * every outcome into a verdict. A whole answer is read before it counts as
 * done: a body cut short (content-length mismatch, reset) is may-have-run.
 */
export class Forwarder implements IDisposable {
  readonly #pools = new Map<string, Pool>();
  readonly #via: string;

  /** `via` names this sidecar to targets in the `Via` header (RFC 9110 §7.6.3). */
  constructor(via: string) {
    this.#via = `1.1 ${via}`;
  }

  /** Sends `req` to `target` and waits for the whole answer (or the start of a large one) or the deadline. */
  async send(target: TargetInfo, req: OutgoingRequest): Promise<ForwardResult> {
    // Aborting an undici request in flight destroys its connection, so a late
    // answer can never be read by the next request on that socket.
    const stop = new AbortController();
    const progress = { answering: false, timedOut: false };
    const onTimeout = () => {
      progress.timedOut = true;
      stop.abort();
    };
    const onLeave = () => {
      stop.abort();
    };
    const timer = setTimeout(onTimeout, Math.max(1, req.deadline - Date.now()));
    req.cancelled?.addEventListener("abort", onLeave);
    const echoId = req.echoHeader ? randomUUID() : undefined;
    try {
      const res = await this.#pool(target.url).request({
        method: req.method,
        path: req.path,
        headers: this.#headers(req, echoId),
        body: req.body,
        signal: stop.signal,
        bodyTimeout: BODY_SILENCE_MS,
      });
      progress.answering = true;
      return await toResult(target, req, res, echoId);
    } catch (err) {
      if (progress.timedOut) {
        this.#retirePool(target.url);
      }
      if (req.cancelled?.aborted) {
        return mayHaveRun(target, "caller left", AttemptOutcome.Cancelled);
      }
      const outcome = progress.answering ? AttemptOutcome.Failed : AttemptOutcome.NoAnswer;
      return classify(err, target, outcome);
    } finally {
      // The deadline is for the answer, or the start of a large one; how fast a
      // slow phone then takes the rest is not the target's doing.
      clearTimeout(timer);
    }
  }

  /** Closes every pool's connections, forcibly. */
  async dispose(): Promise<void> {
    const pools = [...this.#pools.values()];
    this.#pools.clear();
    await Promise.all(pools.map((p) => p.destroy()));
  }

  #headers(req: OutgoingRequest, echoId: string | undefined): Record<string, string> {
    const headers: Record<string, string> = {
      ...req.headers,
      via: req.headers.via ? `${req.headers.via}, ${this.#via}` : this.#via,
      "x-burdockpass-deadline": String(req.deadline),
    };
    if (req.echoHeader && echoId) {
      headers[req.echoHeader] = echoId;
    }
    return headers;
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
        connections: CONNECTIONS_PER_TARGET,
        connectTimeout: CONNECT_TIMEOUT_MS,
        keepAliveTimeout: IDLE_LIMIT_MS,
        pipelining: 1,
      });
      this.#pools.set(url, pool);
    }
    return pool;
  }
}

async function toResult(
  target: TargetInfo,
  req: OutgoingRequest,
  res: Dispatcher.ResponseData,
  echoId: string | undefined,
): Promise<ForwardResult> {
  const mine = !req.echoHeader || res.headers[req.echoHeader] === echoId;
  const refused = res.statusCode === 503 && res.headers["x-not-run"] === "1";
  if (refused || !mine) {
    await res.body.dump();
    // An answer to another request (a target that mixes answers up): whose it
    // is cannot be told, so no caller gets it, and ours may have run.
    return refused
      ? shed(res.headers["retry-after"])
      : mayHaveRun(target, "answer to another request", AttemptOutcome.Failed);
  }
  const answer = await readAnswer(res.body, req.wholeAnswer ?? false);
  const verdict = { kind: "done", target: target.id, status: res.statusCode } as const;
  const outcome = res.statusCode >= 500 ? AttemptOutcome.Failed : AttemptOutcome.Ok;
  return { verdict, outcome, headers: res.headers, ...answer };
}

function shed(retryAfter: string | string[] | undefined): ForwardResult {
  const asked = Number(retryAfter);
  const retryAfterS = asked > 0 ? asked : RETRY_AFTER_S;
  return {
    verdict: { kind: "not-run", reason: "target shed the request", retryAfterS },
    outcome: AttemptOutcome.Shed,
  };
}

function mayHaveRun(target: TargetInfo, reason: string, outcome: AttemptOutcome): ForwardResult {
  return {
    verdict: { kind: "may-have-run", target: target.id, reason, retryAfterS: RETRY_AFTER_S },
    outcome,
  };
}

function classify(err: unknown, target: TargetInfo, outcome: AttemptOutcome): ForwardResult {
  const code = (err as { code?: string }).code ?? "";
  if (CONNECT_ERRORS.has(code) || err instanceof errors.ConnectTimeoutError) {
    const reason = `connect failed: ${code}`;
    return { verdict: { kind: "not-run", reason, retryAfterS: RETRY_AFTER_S }, outcome };
  }
  const reason = err instanceof Error ? `${err.name}: ${code || err.message}` : "unknown error";
  return mayHaveRun(target, reason, outcome);
}
