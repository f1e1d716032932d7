import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { pipeline, type Readable } from "node:stream";
import type bunyan from "bunyan";
import { OpenRequests } from "../../common/http/OpenRequests.ts";
import { AttemptId } from "../../common/ids/AttemptId.ts";
import { DispatchId } from "../../common/ids/DispatchId.ts";
import { ServiceName } from "../../common/ids/ServiceName.ts";
import { GrantId } from "../../common/ids/GrantId.ts";
import { TargetId } from "../../common/ids/TargetId.ts";
import { WorkspaceName } from "../../common/ids/WorkspaceName.ts";
import { sendJson } from "../../common/http/sendJson.ts";
import type { Clock } from "../../common/lifecycle/Clock.ts";
import type { Timer } from "../../common/lifecycle/Timer.ts";
import type { Tracing } from "../../common/telemetry/Tracing.ts";
import type { ForwardResult } from "../forwarding/ForwardResult.ts";
import { forwardableHeaders } from "../forwarding/forwardableHeaders.ts";
import type { HeaderList } from "../forwarding/HeaderList.ts";
import { MAX_BUFFERED_RUN_BYTES } from "../forwarding/MAX_BUFFERED_RUN_BYTES.ts";
import { withHeaders } from "../forwarding/withHeaders.ts";
import { openBody } from "../forwarding/openBody.ts";
import type { TargetRequest } from "../forwarding/TargetRequest.ts";
import { HOP } from "../hop/HOP.ts";
import { hopResponse } from "../hop/hopResponse.ts";
import { MemoryAccount } from "../memory/MemoryAccount.ts";
import { holdUntilSent } from "../memory/holdUntilSent.ts";
import { MemoryHolder } from "../memory/MemoryHolder.ts";
import type { GrantRef, TargetRunner } from "./TargetRunner.ts";
import { unknownOutcome } from "./unknownOutcome.ts";
import { UnsentResults } from "./UnsentResults.ts";

/**
 * Interval at which a waiting sidecar is signalled that its request is alive, ms; it suspects a lost connection after
 * three without a signal.
 */
const ALIVE_INTERVAL_MS = 300;

/** How long an idle connection from another sidecar is kept open, ms. */
const KEEP_ALIVE_MS = 30_000;

/**
 * Limits on request bodies, bytes. There is no maximum size, as the sending sidecar has already enforced the
 * configured limit. A small body is buffered before the run, so that the target does not get half of it if that
 * sidecar exits.
 */
const BODY_LIMITS = { maxBytes: Infinity, maxBufferedBytes: MAX_BUFFERED_RUN_BYTES };

/** Headers used between sidecars, which are not passed to the target. */
const HOP_HEADERS = new Set<string>(Object.values(HOP));

interface GateServerDeps {
  readonly runner: Pick<TargetRunner, "hold" | "release" | "run" | "outcomeOf" | "state">;
  readonly tracing: Tracing;
  /** Counts the requests and responses held here; by default they are not counted. */
  readonly memory?: MemoryAccount;
  readonly clock: Clock;
  readonly log: bunyan;
}

/**
 * HTTP server through which all sidecars, this one included, send requests to the local targets. It accepts requests
 * that hold a grant, and requests that reattach to a run after their connection was lost. Slots are requested by
 * datagrams, see {@link SlotServer}.
 */
export class GateServer {
  readonly #deps: GateServerDeps;
  readonly #memory: MemoryAccount;
  readonly server: Server;
  /** Requests of sidecars, this one included, without a whole response. */
  readonly openRequests = new OpenRequests();
  readonly #unsent: UnsentResults;

  constructor(deps: GateServerDeps) {
    this.#deps = deps;
    this.#unsent = new UnsentResults(deps.clock);
    this.#memory = deps.memory ?? new MemoryAccount();
    this.server = createServer(
      { keepAliveTimeout: KEEP_ALIVE_MS, requestTimeout: 0 },
      (req, res) => {
        this.#route(req, res).catch((err: unknown) => {
          // The other sidecar closed the connection; this affects no other request.
          deps.log.debug({ err, url: req.url }, "request from sidecar aborted");
          res.destroy();
        });
      },
    );
  }

  /** Whether a sidecar waits for the rest of a response, or may reattach for one that could not be sent. */
  get isBusy(): boolean {
    return this.openRequests.count > 0 || this.#unsent.isAwaited;
  }

  async #route(req: IncomingMessage, res: ServerResponse): Promise<void> {
    if (req.url === HOP.reattachPath && req.headers[HOP.grant] !== undefined) {
      await this.#reattach(req, res);
    } else if (req.headers[HOP.attempt] !== undefined) {
      await this.#run(req, res);
    } else {
      sendJson(res, 404, { error: "not a request between sidecars" });
    }
  }

  async #run(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const grant = readGrant(req);
    const callerGone = new AbortController();
    const { runner, clock, log } = this.#deps;
    const arrivedAt = clock.now();
    const ageMs = () => Math.round(clock.now() - arrivedAt);
    const onSenderLost = () => {
      callerGone.abort();
      const { headersSent: hasStarted } = res;
      log.info({ ...grant, ms: ageMs(), hasStarted }, "sender left before the response");
    };
    this.#track(res, () => ({ ...grant, ms: ageMs() }), onSenderLost);
    const aliveSignal = new AliveSignal(res, clock);
    // Signalling starts with the head: during a long upload the sender would otherwise assume a lost connection.
    aliveSignal.start();
    if (!runner.hold(grant)) {
      req.resume();
      const result = await runner.outcomeOf(grant);
      aliveSignal.stop();
      log.info(
        { ...grant, verdict: result.verdict, outcome: result.outcome },
        "grant cannot be used",
      );
      this.#respond(res, result);
      return;
    }
    // After its deadline the request could not run, so the rest of its body is of no use.
    const uploadTimer = clock.timeout(Number(req.headers[HOP.remaining]), () => {
      log.info({ ...grant, limit: "the time remaining for a request's body" }, "limit exceeded");
      req.destroy();
    });
    const opened = await openBody(req, BODY_LIMITS)
      .catch((err: unknown) => {
        aliveSignal.stop();
        runner.release(grant);
        throw err;
      })
      .finally(() => {
        uploadTimer.cancel();
      });
    const body = "body" in opened ? opened.body : undefined;
    const startedAt = clock.now();
    const span = this.#deps.tracing.startSpan("sidecar.run", req.headers);
    const hold = this.#memory.hold(MemoryHolder.SlowTargets, heldBytes(body));
    const result = await runner
      .run(grant, () => ({
        ...this.#request(req, grant, { arrivedAt, callerGone: callerGone.signal }),
        headers: withHeaders(withoutHopHeaders(req.rawHeaders), span.headers),
        body,
        bodyLength: opened.kind === "stream" ? opened.length : undefined,
      }))
      .finally(() => {
        hold.release();
      });
    aliveSignal.stop();
    const ms = Math.round(clock.now() - startedAt);
    const ended = { ...grant, verdict: result.verdict, outcome: result.outcome, ms };
    log.info(ended, "run ended");
    span.end(result.verdict.kind, result.verdict.kind === "done");
    this.#respond(res, result);
  }

  /** Tracks a request until its response has been sent or its sender may no longer reattach. */
  #track(res: ServerResponse, describe: () => object, onSenderLost?: () => void): void {
    this.openRequests.track(res, describe);
    res.once("close", () => {
      if (res.writableFinished) {
        this.#unsent.remove(readGrant(res.req).grant);
      } else {
        this.#noteUnsent(res.req);
        onSenderLost?.();
      }
    });
  }

  /** The sender of an idempotent request does not reattach, since it can send the request to another target. */
  #noteUnsent(req: IncomingMessage): void {
    if (!isIdempotent(req)) {
      this.#unsent.add(readGrant(req).grant);
    }
  }

  #request(
    req: IncomingMessage,
    { attempt, target }: GrantRef,
    { arrivedAt, callerGone }: { arrivedAt: number; callerGone: AbortSignal },
  ): Omit<TargetRequest, "body" | "headers"> {
    const { headers } = req;
    const idempotent = isIdempotent(req);
    const echo = headers[HOP.echo];
    const dispatch = headers[HOP.dispatch];
    const workspace = headers[HOP.workspace];
    return {
      method: req.method ?? "GET",
      path: req.url ?? "/",
      metadata: {
        attempt,
        target,
        callerService: ServiceName(String(headers[HOP.caller] ?? "")),
        echoHeader: typeof echo === "string" ? echo : undefined,
        workspace: typeof workspace === "string" ? WorkspaceName(workspace) : undefined,
      },
      dispatch: typeof dispatch === "string" ? DispatchId(dispatch) : undefined,
      startedAt: arrivedAt - Number(headers[HOP.age] ?? 0),
      // Counted from the arrival of the head: the upload of the body is part of the remaining time.
      deadlineAt: arrivedAt + Number(headers[HOP.remaining]),
      idempotent,
      // A run that must not be repeated goes on when its caller disconnects: aborting it would only leave its
      // outcome unknown.
      cancelled: idempotent ? callerGone : undefined,
      bufferResponse: !idempotent,
    };
  }

  async #reattach(req: IncomingMessage, res: ServerResponse): Promise<void> {
    req.resume();
    const grant = readGrant(req);
    this.#track(res, () => ({ ...grant }));
    const state = this.#deps.runner.state(grant);
    const { target } = grant;
    this.#deps.log.info({ ...grant, state: state.kind }, "sender reattached to run");
    switch (state.kind) {
      case "running": {
        const aliveSignal = new AliveSignal(res, this.#deps.clock);
        aliveSignal.start();
        const result = await state.result;
        aliveSignal.stop();
        this.#respond(res, result);
        return;
      }
      case "ended":
        this.#respond(res, state.result);
        return;
      case "forgotten":
      case "unknown":
        this.#respond(res, unknownOutcome(target));
    }
  }

  #respond(res: ServerResponse, result: ForwardResult): void {
    if (res.destroyed) {
      this.#noteUnsent(res.req);
      return;
    }
    const hopHeaders = hopResponse.headersOf(result);
    if (!("body" in result)) {
      res.writeHead(200, { ...hopHeaders, "content-length": 0 });
      res.end();
      return;
    }
    const { body, headers } = result;
    for (const [name, value] of Object.entries({ ...endToEndHeaders(headers), ...hopHeaders })) {
      if (value !== undefined) {
        res.setHeader(name, value);
      }
    }
    res.statusCode = result.verdict.status;
    if (Buffer.isBuffer(body)) {
      res.setHeader("content-length", contentLength(res, headers, body));
      holdUntilSent(this.#memory, MemoryHolder.SlowSidecars, res, body.length);
      res.end(body);
    } else {
      // If the target cuts its body short, pipeline destroys this connection too, so that the other sidecar sees an
      // incomplete response.
      pipeline(body, res, (err) => {
        if (err) {
          const attempt = res.req.headers[HOP.attempt];
          this.#deps.log.info({ attempt, err: err.message }, "streamed response cut short");
        }
      });
    }
  }
}

/** Bytes of a request's body that are held during its run: a stream holds little. */
function heldBytes(body: Buffer | Readable | undefined): number {
  return Buffer.isBuffer(body) ? body.length : 0;
}

function isIdempotent({ headers }: IncomingMessage): boolean {
  return headers[HOP.idempotent] === "1";
}

function readGrant(req: IncomingMessage): GrantRef {
  const header = (name: string) => String(req.headers[name] ?? "");
  return {
    attempt: AttemptId(header(HOP.attempt)),
    target: TargetId(header(HOP.target)),
    grant: GrantId(header(HOP.grant)),
  };
}

function withoutHopHeaders(headers: HeaderList): HeaderList {
  return forwardableHeaders(headers, (name) => HOP_HEADERS.has(name));
}

/** Signals a waiting sidecar periodically that its request is alive (status 102, RFC 2518). */
class AliveSignal {
  readonly #res: ServerResponse;
  readonly #clock: Clock;
  #timer: Timer | undefined;

  constructor(res: ServerResponse, clock: Clock) {
    this.#res = res;
    this.#clock = clock;
  }

  /** Sends a signal now and then every {@link ALIVE_INTERVAL_MS} until stopped. */
  start(): void {
    if (this.#res.destroyed || this.#res.headersSent) {
      return;
    }
    this.#res.writeProcessing();
    this.#timer = this.#clock.after(ALIVE_INTERVAL_MS, () => {
      this.start();
    });
  }

  stop(): void {
    this.#timer?.cancel();
    this.#timer = undefined;
  }
}

/** The target's response headers without the hop-by-hop ones, and without those that only sidecars may set. */
function endToEndHeaders(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): Record<string, string | string[] | undefined> {
  const list = Object.keys(headers).flatMap((name) => [name, ""]);
  const kept = new Set(forwardableHeaders(list, (name) => HOP_HEADERS.has(name)));
  return Object.fromEntries(Object.entries(headers).filter(([name]) => kept.has(name)));
}

/** Content length, bytes: for a HEAD request the one that the target declared, otherwise the body's size. */
function contentLength(
  res: ServerResponse,
  headers: Readonly<Record<string, string | string[] | undefined>>,
  body: Buffer,
): number {
  const declared = Number(headers["content-length"]);
  return res.req.method === "HEAD" && declared > 0 ? declared : body.length;
}
