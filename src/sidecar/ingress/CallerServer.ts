import type { Socket } from "node:net";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { pipeline, type Readable } from "node:stream";
import type bunyan from "bunyan";
import type { Limits } from "../../common/document/Limits.ts";
import { AttemptId } from "../../common/ids/AttemptId.ts";
import type { Clock } from "../../common/lifecycle/Clock.ts";
import type { Tracing } from "../../common/telemetry/Tracing.ts";
import type { Verdict } from "../../common/Verdict.ts";
import type { SidecarMetrics } from "../admin/SidecarMetrics.ts";
import { AttemptOutcome } from "../detection/AttemptOutcome.ts";
import type { Dialect } from "../dialect/Dialect.ts";
import { endToEnd } from "../forwarding/endToEnd.ts";
import type { ForwardResult } from "../forwarding/ForwardResult.ts";
import { openBody } from "../forwarding/openBody.ts";
import { RETRY_AFTER_MS } from "../forwarding/RETRY_AFTER_MS.ts";
import { withHeaders } from "../forwarding/withHeaders.ts";
import { HOP } from "../hop/HOP.ts";
import type { CallerRequest } from "../routing/CallerRequest.ts";
import type { Dispatcher } from "../routing/Dispatcher.ts";
import type { RequestOrigin } from "../routing/RequestOrigin.ts";
import type { RouteIndex } from "../routing/RouteIndex.ts";
import type { RouteMatch } from "../routing/RouteMatch.ts";
import { CallerConnections } from "./CallerConnections.ts";
import { refuseMalformed } from "./refuseMalformed.ts";

/** Headers between sidecars; a caller's own under these names go no further. */
const HOP_NAMES = new Set<string>(Object.values(HOP));

/** Node's own bound on headers, bytes: above any that the document sets, which is checked here. */
const HARD_HEADER_BYTES = 256 * 1024;

/** How often Node looks for connections that are too slow with their headers, ms. */
const SLOW_CHECK_MS = 2000;

/**
 * Bodies up to this size are held until the request is answered, so that it can be sent to another
 * target when one refuses it, bytes.
 */
const HELD_BYTES = 1 << 20;

/** All bodies held at a time, bytes: an eighth of the memory that a sidecar may use. */
const MAX_HELD_BYTES = 32 << 20;

/** The document in force, as far as callers are concerned. */
interface CallerConfig {
  readonly version: number;
  readonly routes: RouteIndex;
  readonly limits: Limits;
}

/** What the caller server reads from the rest of the sidecar. */
interface CallerServerDeps {
  /** Undefined before any document. */
  readonly config: () => CallerConfig | undefined;
  /** Resolves once there is a document, or when it is no use to wait for one any longer. */
  readonly waitForConfig: () => Promise<void>;
  readonly dispatcher: Pick<Dispatcher, "dispatch">;
  readonly dialect: Dialect;
  /** Where a request comes from, by the address of its connection. */
  readonly originOf: (address: string | undefined) => RequestOrigin;
  /** The next draw between the parts of a route's split, in [0, 1). */
  readonly draw: (route: string) => number;
  readonly metrics: SidecarMetrics;
  readonly tracing: Tracing;
  readonly clock: Clock;
  readonly log: bunyan;
}

/** One request, while it is served. */
interface Served {
  readonly res: ServerResponse;
  readonly attempt: AttemptId;
  readonly startedAt: number;
  readonly version: number;
  readonly route: RouteMatch | undefined;
  /** No other request waits for an answer on its connection. */
  readonly isLast: () => boolean;
}

/**
 * Takes callers' HTTP requests, forwards each through the {@link Dispatcher}
 * and writes back that request's own whole answer, with its verdict in
 * `x-burdockpass-verdict` and its id in `x-burdockpass-attempt`. A request given up on is answered at once with
 * `Retry-After`.
 */
export class CallerServer {
  readonly #deps: CallerServerDeps;
  readonly server: Server;
  readonly #connections = new CallerConnections();
  #stopping = false;
  /** Room set aside for bodies that are held. */
  #heldBytes = 0;

  constructor(deps: CallerServerDeps) {
    this.#deps = deps;
    this.server = createServer(
      {
        maxHeaderSize: HARD_HEADER_BYTES,
        requestTimeout: 0,
        connectionsCheckingInterval: SLOW_CHECK_MS,
      },
      (req, res) => {
        this.#handle(req, res).catch((err: unknown) => {
          // The caller broke off while sending its body, or a fault of ours: only
          // this request may suffer, never the process and the others in flight.
          deps.log.warn({ err, url: req.url }, "request abandoned");
          res.destroy();
        });
      },
    );
    this.server.on("clientError", (err: NodeJS.ErrnoException, socket: Socket) => {
      this.#onMalformed(err, socket);
    });
  }

  /** Puts the document's limits on connections in force. */
  limit(limits: Limits): void {
    this.server.headersTimeout = limits.headerTimeoutMs;
    this.server.keepAliveTimeout = limits.idleTimeoutMs;
  }

  /**
   * From now on answers end their connections, each with the last of the requests that
   * were pipelined on it: this sidecar is being stopped.
   */
  beginStop(): void {
    this.#stopping = true;
  }

  /**
   * Refuses what is no request. Behind a request in progress, Node would write that refusal as the answer to it: a 408
   * for work that is running.
   */
  #onMalformed(err: NodeJS.ErrnoException, socket: Socket): void {
    if (this.#connections.hasPendingRequest(socket)) {
      this.#connections.closeAfterResponses(socket);
    } else if (this.#connections.hasStartedResponse(socket)) {
      socket.destroy();
    } else {
      refuseMalformed(err, socket);
    }
  }

  async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const startedAt = this.#deps.clock.now();
    const { disconnected: left, isLast } = this.#connections.track(res);
    if (!this.#deps.config()) {
      await this.#deps.waitForConfig();
    }
    const config = this.#deps.config();
    const words = this.#deps.dialect.readCaller(req.headers);
    const attempt = typeof words === "string" ? AttemptId("") : words.attempt;
    const route = config?.routes.match(
      req.method ?? "GET",
      req.url ?? "/",
      req.headers.host,
      this.#deps.draw,
    );
    const version = config?.version ?? 0;
    const served: Served = { res, attempt, startedAt, version, route, isLast };
    if (typeof words === "string") {
      this.#refuse(served, words, 400);
      return;
    }
    if (!config || !route) {
      const [reason, status] = config ? NO_ROUTE : NO_CONFIG;
      this.#refuse(served, reason, status);
      return;
    }
    if (headerBytes(req) > config.limits.maxHeaderBytes) {
      this.#refuse(served, "headers too large", 431);
      return;
    }
    const timeoutMs = Math.min(route.timeoutMs, words.remainingMs ?? Infinity);
    const due = { startedAt, deadlineAt: startedAt + timeoutMs, left };
    const room = this.#takeRoom(req);
    try {
      const bounds = { mostBytes: config.limits.maxBodyBytes, wholeBytes: room };
      await this.#forward(served, route, await openBody(req, bounds), due);
    } finally {
      this.#heldBytes -= room;
    }
  }

  /** Has a request served, and its answer or refusal written. */
  async #forward(
    served: Served,
    route: RouteMatch,
    opened: Awaited<ReturnType<typeof openBody>>,
    due: Pick<CallerRequest, "startedAt" | "deadlineAt" | "left">,
  ): Promise<void> {
    if (opened.kind === "too-large") {
      this.#refuse(served, "request body too large", 413);
      return;
    }
    const { req } = served.res;
    const span = this.#deps.tracing.begin("sidecar.ingress", req.headers);
    const forward = span.child("sidecar.forward");
    const headers = endToEnd(req.rawHeaders, (name) => HOP_NAMES.has(name));
    const out = await this.#deps.dispatcher.dispatch(route, {
      attempt: served.attempt,
      method: req.method ?? "GET",
      path: req.url ?? "/",
      headers: withHeaders(headers, forward.headers),
      body: opened.body,
      origin: this.#deps.originOf(req.socket.remoteAddress),
      bodyLength: opened.kind === "stream" ? opened.length : undefined,
      ...due,
    });
    const isGood = out.verdict.kind === "done";
    forward.end(out.verdict.kind, isGood);
    this.#reply(served, out, statusFor(out.verdict));
    span.end(out.verdict.kind, isGood);
  }

  /** Sets room aside to hold a request's body in, as far as there is any; returns how much, bytes. */
  #takeRoom({ headers }: IncomingMessage): number {
    const isChunked = headers["transfer-encoding"] !== undefined;
    const length = isChunked ? HELD_BYTES : Number(headers["content-length"] ?? 0);
    const isHeld = length <= HELD_BYTES && this.#heldBytes + length <= MAX_HELD_BYTES;
    const room = isHeld ? length : 0;
    this.#heldBytes += room;
    return room;
  }

  #refuse(served: Served, reason: string, status: number): void {
    const verdict = { kind: "not-run", reason, retryAfterMs: RETRY_AFTER_MS } as const;
    this.#reply(served, { verdict, outcome: AttemptOutcome.Cancelled }, status);
  }

  #reply(served: Served, out: ForwardResult, status: number): void {
    this.#note(served, out);
    const { res } = served;
    if (res.destroyed) {
      return; // The caller has left.
    }
    res.setHeader("x-burdockpass-verdict", out.verdict.kind);
    // By this id the logs of every process tell of the request.
    res.setHeader("x-burdockpass-attempt", served.attempt);
    if (this.#stopping && served.isLast()) {
      res.setHeader("connection", "close");
    }
    if ("body" in out) {
      res.statusCode = out.verdict.status;
      this.#writeAnswer(served, out);
      return;
    }
    const { retryAfterMs, ...said } = out.verdict;
    res.statusCode = status;
    if (!FINAL_REFUSALS.has(status)) {
      res.setHeader("retry-after", this.#deps.dialect.writeRetryAfter(retryAfterMs));
    }
    res.setHeader("content-type", "application/json");
    const body = { ...said, verdict: said.kind, retryAfterS: retryAfterMs / 1000 };
    res.end(JSON.stringify(body));
  }

  #writeAnswer(
    { res, attempt }: Served,
    out: Extract<ForwardResult, { body: Buffer | Readable }>,
  ): void {
    const { headers, body } = out;
    for (const [name, value] of Object.entries(headers)) {
      if (value !== undefined && !isFraming(name)) {
        res.setHeader(name, value);
      }
    }
    const declared = headers["content-length"];
    if (Buffer.isBuffer(body)) {
      const isHead = res.req.method === "HEAD" && declared !== undefined;
      res.setHeader("content-length", isHead ? declared : body.length);
      res.end(body);
      return;
    }
    if (declared !== undefined) {
      res.setHeader("content-length", declared);
    }
    // On a body cut short by the target, pipeline destroys the caller's
    // connection too: its answer is then visibly incomplete, never passed off as whole.
    pipeline(body, res, (err) => {
      if (err) {
        this.#deps.log.warn({ attempt, err: err.message }, "answer cut short");
      }
    });
  }

  #note({ attempt, startedAt, version, route }: Served, out: ForwardResult): void {
    const ms = this.#deps.clock.now() - startedAt;
    const { verdict } = out;
    const service = route?.service.name ?? "";
    this.#deps.metrics.observe(service, verdict.kind, ms);
    const { name, objectiveMs } = route ?? {};
    const decided = { attempt, route: name, service, objectiveMs, configVersion: version, verdict };
    this.#deps.log.info({ ...decided, ms: Math.round(ms) }, "request answered");
  }
}

/** Refusals that the same request will meet again. */
const FINAL_REFUSALS = new Set([400, 404, 413, 422, 431]);

const NO_ROUTE = ["no route", 404] as const;
const NO_CONFIG = ["no accepted configuration yet", 503] as const;

function statusFor(verdict: Verdict): number {
  switch (verdict.kind) {
    case "done":
      return verdict.status;
    case "not-run":
      return verdict.status ?? 503;
    case "in-progress":
      return 409;
    case "may-have-run":
      return verdict.timedOut ? 504 : 502;
  }
}

/** Bytes of a request's line and headers, as they came. */
function headerBytes(req: IncomingMessage): number {
  const perHeader = req.rawHeaders.reduce((sum, part) => sum + part.length + 2, 0);
  return (req.method?.length ?? 0) + (req.url?.length ?? 0) + perHeader;
}

function isFraming(name: string): boolean {
  return endToEnd([name, ""]).length === 0;
}
