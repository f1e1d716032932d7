import { Pool, errors } from "undici";
import type { IDisposable } from "../common/IDisposable.ts";
import type { TargetInfo } from "./TargetInfo.ts";
import type { ForwardResult } from "./ForwardResult.ts";

/** Connections kept to one target; more than its slots would only queue at the target. */
const CONNECTIONS_PER_TARGET = 8;

/** Seconds a caller is told to wait after a failure. */
export const RETRY_AFTER_S = 1;

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

/** What to send to a target. */
export interface OutgoingRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: Record<string, string>;
  readonly body: Buffer | undefined;
  /** Absolute deadline, ms since the epoch. */
  readonly deadline: number;
}

/**
 * Sends requests to targets over undici pools, one per target, and turns
 * every outcome into a verdict. A whole answer is read before it counts as
 * done: a body cut short (content-length mismatch, reset) is may-have-run.
 */
export class Forwarder implements IDisposable {
  readonly #pools = new Map<string, Pool>();

  /** Sends `req` to `target` and waits for the whole answer or the deadline. */
  async send(target: TargetInfo, req: OutgoingRequest): Promise<ForwardResult> {
    const timeoutMs = Math.max(1, req.deadline - Date.now());
    // Aborting an undici request in flight destroys its connection, so a late
    // answer can never be read by the next request on that socket.
    const signal = AbortSignal.timeout(timeoutMs);
    try {
      const res = await this.#pool(target.url).request({
        method: req.method,
        path: req.path,
        headers: { ...req.headers, "x-burdockpass-deadline": String(req.deadline) },
        body: req.body,
        signal,
      });
      const body = Buffer.from(await res.body.arrayBuffer());
      if (res.statusCode === 503 && res.headers["x-not-run"] === "1") {
        return {
          verdict: {
            kind: "not-run",
            reason: "target shed the request",
            retryAfterS: RETRY_AFTER_S,
          },
        };
      }
      return {
        verdict: { kind: "done", target: target.id, status: res.statusCode },
        headers: res.headers,
        body,
      };
    } catch (err) {
      return { verdict: classify(err, target) };
    }
  }

  /** Closes every pool's connections, forcibly. */
  async dispose(): Promise<void> {
    const pools = [...this.#pools.values()];
    this.#pools.clear();
    await Promise.all(pools.map((p) => p.destroy()));
  }

  #pool(url: string): Pool {
    let pool = this.#pools.get(url);
    if (!pool) {
      pool = new Pool(url, {
        connections: CONNECTIONS_PER_TARGET,
        connectTimeout: 1000,
        // A connection idle this long may have been forgotten by a middlebox; drop it first.
        keepAliveTimeout: 4000,
        pipelining: 1,
      });
      this.#pools.set(url, pool);
    }
    return pool;
  }
}

function classify(
  err: unknown,
  target: TargetInfo,
): Exclude<ForwardResult["verdict"], { kind: "done" }> {
  const code = (err as { code?: string }).code ?? "";
  if (CONNECT_ERRORS.has(code) || err instanceof errors.ConnectTimeoutError) {
    return { kind: "not-run", reason: `connect failed: ${code}`, retryAfterS: RETRY_AFTER_S };
  }
  const reason = err instanceof Error ? `${err.name}: ${code || err.message}` : "unknown error";
  return { kind: "may-have-run", target: target.id, reason, retryAfterS: RETRY_AFTER_S };
}
