import { randomUUID } from "node:crypto";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { pipeline, type Readable } from "node:stream";
import {
  SpanKind,
  SpanStatusCode,
  context,
  propagation,
  trace,
  type Tracer,
} from "@opentelemetry/api";
import type bunyan from "bunyan";
import type { Verdict } from "../../common/Verdict.ts";
import type { Dispatcher } from "../routing/Dispatcher.ts";
import { AttemptOutcome } from "../detection/AttemptOutcome.ts";
import { flattenHeaders } from "./flattenHeaders.ts";
import type { ForwardResult } from "../forwarding/ForwardResult.ts";
import { RETRY_AFTER_S } from "../routing/RETRY_AFTER_S.ts";
import type { RouteIndex } from "../routing/RouteIndex.ts";
import type { SidecarMetrics } from "../admin/SidecarMetrics.ts";

/** Largest request body taken from a caller, bytes. */
const MAX_REQUEST_BYTES = 1 << 20;

/** Headers that belong to one hop and are not passed on (RFC 9110 §7.6.1). */
const HOP_HEADERS = new Set([
  "connection",
  "keep-alive",
  "proxy-connection",
  "transfer-encoding",
  "upgrade",
  "te",
  "trailer",
  "host",
  "content-length",
]);

/** What the caller server reads from the rest of the sidecar. */
interface CallerServerDeps {
  /** The routes in force; undefined before any document. */
  readonly routes: () => RouteIndex | undefined;
  readonly dispatcher: Dispatcher;
  readonly metrics: SidecarMetrics;
  readonly tracer: Tracer;
  readonly log: bunyan;
}

/**
 * Takes callers' HTTP requests, forwards each through the {@link Dispatcher}
 * and writes back that request's own whole answer, with its verdict in
 * `x-burdockpass-verdict`. A request given up on is answered at once with
 * `Retry-After`.
 */
export class CallerServer {
  readonly #deps: CallerServerDeps;
  readonly server: Server;

  constructor(deps: CallerServerDeps) {
    this.#deps = deps;
    this.server = createServer((req, res) => {
      this.#handle(req, res).catch((err: unknown) => {
        // The caller broke off while sending its body, or a fault of ours: only
        // this request may suffer, never the process and the others in flight.
        deps.log.warn({ err }, "request abandoned");
        res.destroy();
      });
    });
    // Callers on slow phones: keep their connections a while, but not forever.
    this.server.keepAliveTimeout = 30_000;
  }

  async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const started = performance.now();
    const parent = propagation.extract(context.active(), req.headers);
    const span = this.#deps.tracer.startSpan("sidecar.ingress", { kind: SpanKind.SERVER }, parent);
    const path = req.url ?? "/";
    const routes = this.#deps.routes();
    const route = routes?.match(req.method ?? "GET", path);
    if (!route) {
      const reason = routes ? "no route" : "no accepted configuration yet";
      this.#refuse(res, reason, RETRY_AFTER_S, routes ? 404 : 503);
      span.end();
      return;
    }
    const body = await readBody(req);
    if (body === "too-large") {
      this.#refuse(res, "request body too large", 0, 413);
      span.end();
      return;
    }
    const headers = passOn(req.headers);
    if (!route.idempotent && !headers["idempotency-key"]) {
      // Every non-idempotent request gets a key, so a resend can be told from new work.
      headers["idempotency-key"] = randomUUID();
    }
    const forward = this.#deps.tracer.startSpan(
      "sidecar.forward",
      { kind: SpanKind.CLIENT },
      trace.setSpan(parent, span),
    );
    propagation.inject(trace.setSpan(parent, forward), headers);
    const deadline = Date.now() + route.service.timeoutMs;
    const out = await this.#deps.dispatcher.dispatch(route, {
      method: req.method ?? "GET",
      path,
      headers,
      body: body.length > 0 ? body : undefined,
      deadline,
      // Work that must not repeat runs to its end even when its caller leaves.
      cancelled: route.idempotent ? abortOnLeave(res) : undefined,
      echoHeader: route.service.echoHeader,
    });
    forward.setAttribute("burdockpass.verdict", out.verdict.kind);
    forward.end();
    res.setHeader("idempotency-key", headers["idempotency-key"] ?? "");
    this.#reply(res, out, statusFor(out.verdict));
    this.#deps.metrics.observe(route.service.name, out.verdict.kind, performance.now() - started);
    span.setStatus({
      code: out.verdict.kind === "done" ? SpanStatusCode.OK : SpanStatusCode.ERROR,
    });
    span.end();
  }

  #writeBody(
    res: ServerResponse,
    declaredLength: string | string[] | undefined,
    body: Buffer | Readable,
  ): void {
    if (Buffer.isBuffer(body)) {
      const isHead = res.req.method === "HEAD" && declaredLength !== undefined;
      res.setHeader("content-length", isHead ? declaredLength : body.length);
      res.end(body);
      return;
    }
    if (declaredLength !== undefined) {
      res.setHeader("content-length", declaredLength);
    }
    // On a body cut short by the target, pipeline destroys the caller's
    // connection too: its answer is then visibly incomplete, never passed off as whole.
    pipeline(body, res, (err) => {
      if (err) {
        this.#deps.log.warn({ err: err.message }, "answer cut short");
      }
    });
  }

  #refuse(res: ServerResponse, reason: string, retryAfterS: number, status: number): void {
    const verdict = { kind: "not-run", reason, retryAfterS } as const;
    this.#reply(res, { verdict, outcome: AttemptOutcome.Cancelled }, status);
  }

  #reply(res: ServerResponse, out: ForwardResult, status: number): void {
    res.setHeader("x-burdockpass-verdict", out.verdict.kind);
    if ("body" in out) {
      for (const [name, value] of Object.entries(out.headers)) {
        if (!HOP_HEADERS.has(name) && value !== undefined) {
          res.setHeader(name, value);
        }
      }
      res.statusCode = out.verdict.status;
      this.#writeBody(res, out.headers["content-length"], out.body);
      return;
    }
    res.statusCode = status;
    res.setHeader("retry-after", String(out.verdict.retryAfterS));
    res.setHeader("content-type", "application/json");
    res.end(JSON.stringify({ ...out.verdict, verdict: out.verdict.kind }));
  }
}

/** A signal that fires when the caller's connection closes before its answer was written. */
function abortOnLeave(res: ServerResponse): AbortSignal {
  const left = new AbortController();
  res.once("close", () => {
    if (!res.writableFinished) {
      left.abort();
    }
  });
  return left.signal;
}

function statusFor(verdict: Verdict): number {
  switch (verdict.kind) {
    case "done":
      return verdict.status;
    case "not-run":
      return verdict.status ?? 503;
    case "in-progress":
      return 409;
    case "may-have-run":
      return 504;
  }
}

function passOn(raw: IncomingMessage["headers"]): Record<string, string> {
  const endToEnd = Object.entries(raw).filter(([name]) => !HOP_HEADERS.has(name));
  return flattenHeaders(Object.fromEntries(endToEnd));
}

async function readBody(req: IncomingMessage): Promise<Buffer | "too-large"> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of req as AsyncIterable<Buffer>) {
    size += chunk.length;
    if (size > MAX_REQUEST_BYTES) {
      return "too-large";
    }
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
}
