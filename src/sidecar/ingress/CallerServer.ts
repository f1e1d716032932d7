import type { Socket } from "node:net";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { pipeline, type Readable } from "node:stream";
import type bunyan from "bunyan";
import type { Limits } from "../../common/document/Limits.ts";
import { OpenRequests } from "../../common/http/OpenRequests.ts";
import { AttemptId } from "../../common/ids/AttemptId.ts";
import { afterPendingInput } from "../../common/lifecycle/afterPendingInput.ts";
import type { Clock } from "../../common/lifecycle/Clock.ts";
import type { Timer } from "../../common/lifecycle/Timer.ts";
import type { Tracing } from "../../common/telemetry/Tracing.ts";
import type { Verdict } from "../../common/Verdict.ts";
import type { SidecarMetrics } from "../admin/SidecarMetrics.ts";
import { AttemptOutcome } from "../detection/AttemptOutcome.ts";
import type { Dialect } from "../dialect/Dialect.ts";
import { forwardableHeaders } from "../forwarding/forwardableHeaders.ts";
import type { ForwardResult } from "../forwarding/ForwardResult.ts";
import type { TargetResponse } from "../forwarding/TargetResponse.ts";
import { openBody } from "../forwarding/openBody.ts";
import { RETRY_AFTER_MS } from "../forwarding/RETRY_AFTER_MS.ts";
import { withHeaders } from "../forwarding/withHeaders.ts";
import { HOP } from "../hop/HOP.ts";
import { idempotencyKeyOf } from "../records/idempotencyKeyOf.ts";
import { unknownEarlierAttempt } from "../records/unknownEarlierAttempt.ts";
import { holdUntilSent } from "../memory/holdUntilSent.ts";
import { MemoryAccount } from "../memory/MemoryAccount.ts";
import { MemoryHolder } from "../memory/MemoryHolder.ts";
import type { CallerRequest } from "../routing/CallerRequest.ts";
import type { Dispatcher } from "../routing/Dispatcher.ts";
import { RequestOrigin } from "../routing/RequestOrigin.ts";
import type { RouteMatch } from "../routing/RouteMatch.ts";
import { CallerConnections } from "./CallerConnections.ts";
import type { Admission } from "../workspaces/Admission.ts";
import type { RequestAdmission } from "../workspaces/RequestAdmission.ts";
import { provenOrigin } from "./provenOrigin.ts";
import { refuseMalformed } from "./refuseMalformed.ts";

/** Names of headers that sidecars exchange; removed from callers' requests. */
const HOP_HEADERS = new Set<string>(Object.values(HOP));

/** Node's limit on headers, bytes. It is above any limit that a document sets; that one is checked in this class. */
const NODE_MAX_HEADER_BYTES = 256 * 1024;

/** Interval at which Node checks connections against the header timeout, ms. */
const CONNECTIONS_CHECK_INTERVAL_MS = 2000;

/**
 * Maximum size of a body that is buffered until its request has a response, bytes. A request with a buffered
 * body can be sent to another target when one refuses it.
 */
const MAX_BUFFERED_BODY_BYTES = 1 << 20;

/** Maximum size of all buffered bodies together, bytes: an eighth of the memory that a sidecar may use. */
const MAX_BUFFERED_TOTAL_BYTES = 32 << 20;

/** Status for missing or unknown API keys. */
const UNAUTHORIZED = 401;

/** The parts of the document in force that apply to callers' requests. */
interface CallerConfig {
  readonly version: number;
  readonly limits: Limits;
}

/** Dependencies of the caller server. */
interface CallerServerDeps {
  /** Returns the current configuration; undefined before the first document. */
  readonly config: () => CallerConfig | undefined;
  /** Resolves once there is a document, or when the request should not be held any longer. */
  readonly waitForConfig: () => Promise<void>;
  readonly admission: Pick<RequestAdmission, "admit">;
  readonly dispatcher: Pick<Dispatcher, "dispatch">;
  readonly dialect: Dialect;
  /** Called with each target's response that is returned to a caller, whose request was received at `receivedAt` (ms). */
  readonly onResponse?: (res: TargetResponse, receivedAt: number) => void;
  /** Returns the origin of a request, from the remote address of its connection. */
  readonly originOf: (address: string | undefined) => RequestOrigin;
  /** Counts the requests and responses held here, and says whether new ones are accepted; by default all are. */
  readonly memory?: MemoryAccount;
  readonly metrics: SidecarMetrics;
  readonly tracing: Tracing;
  readonly clock: Clock;
  readonly log: bunyan;
}

/** A request being served, with the values that its response and its log line are made from. */
interface RequestContext {
  readonly res: ServerResponse;
  readonly attempt: AttemptId;
  readonly startedAt: number;
  readonly version: number;
  readonly route: RouteMatch | undefined;
  /** Whether no other request on its connection is still without a whole response. */
  readonly isLast: () => boolean;
}

/**
 * HTTP server for callers. Forwards each request through the {@link Dispatcher} and writes back the
 * response to that request, with the verdict in `x-burdockpass-verdict` and the request's id in
 * `x-burdockpass-attempt`. A request that cannot be served gets a refusal with `Retry-After` at once.
 */
export class CallerServer {
  readonly #deps: CallerServerDeps;
  readonly #memory: MemoryAccount;
  readonly server: Server;
  readonly #connections = new CallerConnections();
  /** Requests without a whole response. */
  readonly openRequests = new OpenRequests();
  #isStopping = false;
  /** Bytes reserved for buffered bodies. */
  #bufferedBytes = 0;

  constructor(deps: CallerServerDeps) {
    this.#deps = deps;
    this.#memory = deps.memory ?? new MemoryAccount();
    this.server = createServer(
      {
        maxHeaderSize: NODE_MAX_HEADER_BYTES,
        requestTimeout: 0,
        connectionsCheckingInterval: CONNECTIONS_CHECK_INTERVAL_MS,
      },
      (req, res) => {
        this.#handle(req, res).catch((err: unknown) => {
          // The caller disconnected while sending its body, or the handler has a bug. Only this
          // request fails; the process and the other requests in flight are not affected.
          deps.log.warn({ err, url: req.url }, "request aborted");
          res.destroy();
        });
      },
    );
    this.server.on("clientError", (err: NodeJS.ErrnoException, socket: Socket) => {
      if (err.code === "ERR_HTTP_REQUEST_TIMEOUT") {
        this.#onHeadTimeout(err, socket);
      } else {
        this.#onClientError(err, socket);
      }
    });
  }

  /** Applies the document's timeouts to callers' connections. */
  applyLimits(limits: Limits): void {
    this.server.headersTimeout = limits.headerTimeoutMs;
    this.server.keepAliveTimeout = limits.idleTimeoutMs;
  }

  /**
   * Starts to close callers' connections because this sidecar is being stopped. Each connection is closed with
   * the response to the last of the requests that were pipelined on it.
   */
  beginStop(): void {
    this.#isStopping = true;
  }

  /** Refuses a request whose head is late, unless more of it has arrived while the event loop was blocked. */
  #onHeadTimeout(err: NodeJS.ErrnoException, socket: Socket): void {
    const { bytesRead } = socket;
    afterPendingInput(() => {
      if (socket.bytesRead === bytesRead) {
        this.#onClientError(err, socket);
      }
    });
  }

  /**
   * Refuses malformed or late input. While an earlier request on the connection is in progress, nothing is written: the
   * caller would take the refusal for the response to that request, as in a 408 for a request that is running.
   */
  #onClientError(err: NodeJS.ErrnoException, socket: Socket): void {
    if (this.#connections.hasPendingRequest(socket)) {
      this.#connections.closeAfterResponses(socket);
    } else if (this.#connections.hasStartedResponse(socket)) {
      socket.destroy();
    } else {
      refuseMalformed(err, socket);
    }
  }

  /** Drops a request whose connection closes before its response; as it is not passed on, its caller can resend it. */
  #drop(req: IncomingMessage): void {
    const metadata = this.#deps.dialect.readCaller(req.headers);
    const attempt = typeof metadata === "string" ? undefined : metadata.attempt;
    this.#deps.log.info({ attempt, url: req.url }, "request dropped: its connection is closing");
    req.resume();
  }

  async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    if (this.#connections.isClosing(req.socket)) {
      this.#drop(req);
      return;
    }
    const startedAt = this.#deps.clock.now();
    const { disconnected, isLast } = this.#connections.track(res);
    if (!this.#deps.config()) {
      await this.#deps.waitForConfig();
    }
    const config = this.#deps.config();
    const metadata = this.#deps.dialect.readCaller(req.headers);
    const attempt = typeof metadata === "string" ? AttemptId("") : metadata.attempt;
    const version = config?.version ?? 0;
    const ctx: RequestContext = { res, attempt, startedAt, version, route: undefined, isLast };
    this.#trackResponse(ctx);
    if (typeof metadata === "string") {
      this.#refuse(ctx, metadata, 400);
      return;
    }
    if (!config) {
      this.#refuse(ctx, "no accepted configuration yet", 503);
      return;
    }
    if (requestHeadBytes(req) > config.limits.maxHeaderBytes) {
      this.#refuse(ctx, "headers too large", 431);
      return;
    }
    const origin = this.#deps.originOf(req.socket.remoteAddress);
    if (this.#memory.refuses({ isNestedCall: origin === RequestOrigin.TargetVm })) {
      this.#deps.metrics.countMemoryRefusal();
      this.#refuse(ctx, "this sidecar holds too many bytes", 503);
      return;
    }
    const admission = await this.#admit(req, origin);
    const { route } = admission;
    const admitted = { ...ctx, route, version: this.#deps.config()?.version ?? version };
    if (admission.kind === "refused") {
      this.#refuseAdmission(admitted, admission);
      return;
    }
    const timeoutMs = Math.min(admission.route.timeoutMs, metadata.remainingMs ?? Infinity);
    const timing = {
      startedAt,
      deadlineAt: startedAt + timeoutMs,
      disconnected,
      origin,
      provenOrigin: provenOrigin(admission),
    };
    const bufferBytes = this.#reserveBuffer(req);
    const hold = this.#memory.hold(MemoryHolder.Requests, bufferBytes);
    const timer = this.#limitUpload(admitted, timing.deadlineAt);
    try {
      const bounds = { maxBytes: config.limits.maxBodyBytes, maxBufferedBytes: bufferBytes };
      const opened = await openBody(req, bounds);
      timer.cancel();
      await this.#forward(admitted, admission, opened, timing);
    } catch (err) {
      admission.release();
      throw err;
    } finally {
      timer.cancel();
      hold.release();
      this.#bufferedBytes -= bufferBytes;
    }
  }

  /** Logs a response whose connection is closed before the response has been handed over whole. */
  #trackResponse({ res, attempt, startedAt }: RequestContext): void {
    const { clock, log } = this.#deps;
    const { url } = res.req;
    const ageMs = () => Math.round(clock.now() - startedAt);
    this.openRequests.track(res, () => ({ attempt, url, ms: ageMs() }));
    res.once("close", () => {
      if (!res.writableFinished) {
        const { headersSent: hasStarted, socket } = res;
        const err = socket?.errored?.message;
        const isStopping = this.#isStopping;
        log.info(
          { attempt, ms: ageMs(), hasStarted, err, isStopping },
          "connection closed before the response",
        );
      }
    });
  }

  /**
   * Limits the time in which a body that is buffered must arrive to the request's own: after its deadline it could not
   * be served. The caller gets a refusal, and its connection is closed, as the rest of the body may never come.
   */
  #limitUpload(ctx: RequestContext, deadlineAt: number): Timer {
    const { clock, log } = this.#deps;
    return clock.timeout(deadlineAt - clock.now(), () => {
      const { res, attempt } = ctx;
      log.info({ attempt, limit: "the route's timeout for a request's body" }, "limit exceeded");
      if (!res.destroyed && !res.headersSent) {
        this.#connections.closeWith(res);
        // Ends the wait for the body, which Node no longer does for a request that has its response.
        res.req.socket.once("close", () => res.req.destroy());
        this.#refuse(ctx, "the request's body did not arrive in time", 408);
      }
    });
  }

  #admit(req: IncomingMessage, origin: RequestOrigin): Promise<Admission> {
    return this.#deps.admission.admit({
      method: req.method ?? "GET",
      path: req.url ?? "/",
      host: req.headers.host,
      rawHeaders: req.rawHeaders,
      isFromTarget: origin === RequestOrigin.TargetVm,
    });
  }

  /** Dispatches a request and writes its response or refusal. */
  async #forward(
    ctx: RequestContext,
    { route, workspace, hasWorkspaces, release }: Extract<Admission, { kind: "admitted" }>,
    opened: Awaited<ReturnType<typeof openBody>>,
    timing: Pick<
      CallerRequest,
      "startedAt" | "deadlineAt" | "disconnected" | "origin" | "provenOrigin"
    >,
  ): Promise<void> {
    if (opened.kind === "too-large") {
      release();
      this.#refuse(ctx, "request body too large", 413);
      return;
    }
    const sizeRefusal = refuseForTarget(opened, route.service.maxRequestBytes);
    if (sizeRefusal) {
      release();
      this.#refuse(ctx, sizeRefusal.reason, sizeRefusal.status);
      return;
    }
    const { req } = ctx.res;
    const span = this.#deps.tracing.startSpan("sidecar.ingress", req.headers);
    const forwardSpan = span.startChild("sidecar.forward");
    const headers = forwardableHeaders(
      req.rawHeaders,
      (name) => HOP_HEADERS.has(name) || (hasWorkspaces && this.#isCredential(name)),
    );
    const result = await this.#deps.dispatcher.dispatch(route, {
      attempt: ctx.attempt,
      method: req.method ?? "GET",
      path: req.url ?? "/",
      headers: withHeaders(headers, forwardSpan.headers),
      body: opened.body,
      workspace,
      bodyLength: opened.kind === "stream" ? opened.length : undefined,
      ...timing,
    });
    if (result.verdict.kind === "not-run") {
      release();
    }
    const isDone = result.verdict.kind === "done";
    forwardSpan.end(result.verdict.kind, isDone);
    this.#respond(ctx, result, statusFor(result.verdict));
    span.end(result.verdict.kind, isDone);
  }

  /** Whether a header says, or claims, whose request it is; targets are told by the sidecar instead. */
  #isCredential(name: string): boolean {
    return name === "authorization" || name === this.#deps.dialect.workspaceHeader;
  }

  /** Reserves buffer space for a request's body; returns its size in bytes, or 0 if the body does not fit. */
  #reserveBuffer({ headers }: IncomingMessage): number {
    const isChunked = headers["transfer-encoding"] !== undefined;
    const length = isChunked ? MAX_BUFFERED_BODY_BYTES : Number(headers["content-length"] ?? 0);
    const fitsBuffer =
      length <= MAX_BUFFERED_BODY_BYTES && this.#bufferedBytes + length <= MAX_BUFFERED_TOTAL_BYTES;
    const bytes = fitsBuffer ? length : 0;
    this.#bufferedBytes += bytes;
    return bytes;
  }

  #refuseAdmission(ctx: RequestContext, refusal: Extract<Admission, { kind: "refused" }>): void {
    const { attempt, version: configVersion } = ctx;
    const { status, reason, retryAfterMs, documentAgeMs, workspace } = refusal;
    const decision = { status, reason, retryAfterMs, workspace, configVersion, documentAgeMs };
    this.#deps.log.info({ attempt, ...decision }, "request not admitted");
    this.#deps.metrics.countNotAdmitted(status);
    if (status === UNAUTHORIZED) {
      ctx.res.setHeader("www-authenticate", "Bearer");
    }
    this.#refuse(ctx, reason, status, retryAfterMs);
  }

  #refuse(
    ctx: RequestContext,
    reason: string,
    status: number,
    retryAfterMs = RETRY_AFTER_MS,
  ): void {
    if (!FINAL_REFUSALS.has(status) && idempotencyKeyOf(ctx.res.req.rawHeaders) !== undefined) {
      // An earlier attempt with the same key may have run.
      const result = unknownEarlierAttempt(reason);
      this.#respond(ctx, result, statusFor(result.verdict));
      return;
    }
    const verdict = { kind: "not-run", reason, retryAfterMs } as const;
    this.#respond(ctx, { verdict, outcome: AttemptOutcome.Cancelled }, status);
  }

  #respond(ctx: RequestContext, result: ForwardResult, status: number): void {
    this.#logResponse(ctx, result);
    const { res } = ctx;
    if (res.destroyed) {
      return; // The caller has disconnected.
    }
    res.setHeader("x-burdockpass-verdict", result.verdict.kind);
    // The log lines of all processes about this request contain this id.
    res.setHeader("x-burdockpass-attempt", ctx.attempt);
    if (this.#isStopping && ctx.isLast()) {
      this.#connections.closeWith(res);
    }
    if ("body" in result) {
      this.#deps.onResponse?.(result, ctx.startedAt);
      res.statusCode = result.verdict.status;
      this.#writeResponse(ctx, result);
      return;
    }
    const { retryAfterMs, ...details } = result.verdict;
    res.statusCode = status;
    if (!FINAL_REFUSALS.has(status)) {
      res.setHeader("retry-after", this.#deps.dialect.writeRetryAfter(retryAfterMs));
    }
    res.setHeader("content-type", "application/json");
    const body = { ...details, verdict: details.kind, retryAfterS: retryAfterMs / 1000 };
    res.end(JSON.stringify(body));
  }

  #writeResponse(
    { res, attempt }: RequestContext,
    result: Extract<ForwardResult, { body: Buffer | Readable }>,
  ): void {
    const { headers, body } = result;
    for (const [name, value] of Object.entries(headers)) {
      if (value !== undefined && !isHopByHop(name)) {
        res.setHeader(name, value);
      }
    }
    const declared = headers["content-length"];
    if (Buffer.isBuffer(body)) {
      const isHead = res.req.method === "HEAD" && declared !== undefined;
      res.setHeader("content-length", isHead ? declared : body.length);
      holdUntilSent(this.#memory, MemoryHolder.SlowCallers, res, body.length);
      this.#connections.pauseBehind(res);
      res.end(body);
      return;
    }
    if (declared !== undefined) {
      res.setHeader("content-length", declared);
    }
    if (declared === undefined && res.req.httpVersion === "1.0") {
      // The body ends with its connection: an orderly close would read as its end.
      body.once("error", () => {
        res.socket?.resetAndDestroy();
      });
    }
    // When the target truncates the body, pipeline also destroys the caller's connection, so
    // that the caller can see that the response is incomplete.
    pipeline(body, res, (err) => {
      if (err) {
        this.#deps.log.warn({ attempt, err: err.message }, "response truncated");
      }
    });
  }

  #logResponse(
    { attempt, startedAt, version, route }: RequestContext,
    result: ForwardResult,
  ): void {
    const ms = this.#deps.clock.now() - startedAt;
    const { verdict } = result;
    const service = route?.service.name ?? "";
    this.#deps.metrics.observeRequest(service, verdict.kind, ms);
    const { name, objectiveMs } = route ?? {};
    const fields = { attempt, route: name, service, objectiveMs, configVersion: version, verdict };
    this.#deps.log.info({ ...fields, ms: Math.round(ms) }, "request answered");
  }
}

/** Statuses of refusals that the same request would get again, so that they carry no `Retry-After`. */
const FINAL_REFUSALS = new Set([400, UNAUTHORIZED, 404, 413, 422, 431]);

/** Refuses a body that no target of the service can hold, or one whose size gates cannot take into account. */
function refuseForTarget(
  opened: Exclude<Awaited<ReturnType<typeof openBody>>, { kind: "too-large" }>,
  maxBytes = Infinity,
): { reason: string; status: number } | undefined {
  const length = opened.kind === "stream" ? opened.length : (opened.body?.length ?? 0);
  if (length === undefined && maxBytes < Infinity) {
    return { reason: "the service needs a content-length", status: 411 };
  }
  return (length ?? 0) > maxBytes
    ? { reason: "request body too large for the service's targets", status: 413 }
    : undefined;
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
      return verdict.timedOut ? 504 : 502;
  }
}

/** Size of a request's line and headers as received, bytes. */
function requestHeadBytes(req: IncomingMessage): number {
  const perHeader = req.rawHeaders.reduce((sum, part) => sum + part.length + 2, 0);
  return (req.method?.length ?? 0) + (req.url?.length ?? 0) + perHeader;
}

function isHopByHop(name: string): boolean {
  return forwardableHeaders([name, ""]).length === 0;
}
