import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { EndlessResponse } from "./EndlessResponse.ts";
import { FaultMode } from "./FaultMode.ts";
import { makeNestedCall } from "./makeNestedCall.ts";
import { sendInParts } from "./sendInParts.ts";
import type { StandInOptions } from "./StandInOptions.ts";
import { WorkJournal } from "./WorkJournal.ts";

/** Interval between announcements to the sidecar, ms; they also serve as the target's heartbeat. */
const ANNOUNCE_INTERVAL_MS = 500;

/** Factor on the work time in the slow mode. */
const SLOW_FACTOR = 10;

/** Time for requests in flight to finish at a stop before their sockets are closed, ms. */
const STOP_GRACE_MS = 1000;

/** Duration of a health check, ms (the requirements state 25 ms per probe). */
const HEALTH_CHECK_WORK_MS = 25;

/** Maximum number of arrivals kept for the benchmarks. */
const MAX_ARRIVALS = 50_000;

/** A cold start triggered at run time: the target announces itself cold for this time, ms... */
const COLD_START_MS = 1500;

/** ...then is ready but still warming up for this time, ms... */
const WARM_UP_MS = 1000;

/** ...with its work time multiplied by this factor. */
const WARM_UP_FACTOR = 2;

/** Duration of each slow and each healthy phase in the flapping mode, ms. */
const FLAP_HALF_PERIOD_MS = 2000;

/**
 * Share of requests that fail in the gray mode, and share that are shed in the `sheds` mode:
 * about what the users' gray targets show.
 */
const GRAY_SHARE = 0.85;
const SHED_SHARE = 0.5;

/** A response's body, and the value of the echoed header. */
interface SentResponse {
  readonly body: string;
  readonly echo: string | string[] | undefined;
}

/**
 * Simulates a customer's back end, over HTTP like a real one. It has slots and sheds load
 * beyond them, starts cold, drains, honours deadlines (`x-burdockpass-remaining-ms`) and
 * cancellation, has a health endpoint that can report late or wrongly, and fault modes that
 * are set at run time. It counts the effects of non-idempotent requests per idempotency key,
 * so that tests can detect a request that ran twice.
 */
export class StandInTarget {
  readonly #opts: StandInOptions;
  readonly #server: Server;
  readonly #effects = new Map<string, number>();
  readonly #healthHistory: { at: number; healthy: boolean }[] = [];
  readonly #arrivals: { at: number; via: string }[] = [];
  readonly #connectedAt = new WeakMap<Socket, number>();
  #mode = FaultMode.None;
  /** Whether endless responses are sent one byte at a time. */
  #trickles = false;
  #faultSetAt = 0;
  #alwaysReportsHealthy: boolean;
  #coldUntil: number;
  #warmUpUntil = 0;
  /** Text within the `via` header of the requests that {@link FaultMode.OneWay} leaves without a response. */
  #partitionedVia = "";
  #inFlight = 0;
  #served = 0;
  #received = 0;
  #lastReceivedAt = 0;
  #drainedAt = 0;
  #draining = false;
  #announceTimer: NodeJS.Timeout | undefined;
  #nextSequence = 1;
  /** Number of nested calls made so far. */
  #nestedCallCount = 0;
  #lastResponse: SentResponse | undefined;
  readonly #journal: WorkJournal;
  /** Headers of all responses to requests and health checks, such as a limit that the target names. */
  #addedHeaders: Readonly<Record<string, string | string[]>> = {};

  constructor(opts: StandInOptions) {
    this.#opts = opts;
    this.#journal = new WorkJournal(opts.journalFile, { target: opts.id, service: opts.service });
    this.#alwaysReportsHealthy = opts.alwaysReportsHealthy;
    this.#coldUntil = Date.now() + opts.coldMs;
    this.#server = createServer((req, res) => {
      this.#route(req, res).catch(() => {
        // The sidecar has disconnected before the whole body has arrived: nothing is run.
        res.destroy();
      });
    });
    this.#server.on("connection", (socket: Socket) => {
      this.#connectedAt.set(socket, Date.now());
    });
  }

  /** Listens and starts announcing; resolves with the bound port. */
  async start(): Promise<number> {
    await new Promise<void>((resolve) =>
      this.#server.listen(this.#opts.port, this.#opts.host, resolve),
    );
    this.#announce();
    this.#announceTimer = setInterval(() => {
      this.#announce();
    }, ANNOUNCE_INTERVAL_MS);
    return (this.#server.address() as AddressInfo).port;
  }

  /** Stops announcing and closes; requests in flight finish first. */
  async stop(): Promise<void> {
    clearInterval(this.#announceTimer);
    await new Promise<void>((resolve) => {
      this.#server.close(() => {
        resolve();
      });
      this.#server.closeIdleConnections();
      // A keep-alive socket that is busy when close() is called would keep it from ever completing.
      setTimeout(() => {
        this.#server.closeAllConnections();
      }, STOP_GRACE_MS).unref();
    });
  }

  get #url(): string {
    const port = (this.#server.address() as AddressInfo).port;
    return `http://${this.#opts.host}:${port}`;
  }

  #state(): string {
    if (this.#draining) {
      return "draining";
    }
    return Date.now() < this.#coldUntil ? "cold" : "ready";
  }

  #announce(): void {
    if (!this.#opts.sidecarAdmin) {
      return;
    }
    const body = JSON.stringify({
      targetId: this.#opts.id,
      service: this.#opts.service,
      url: this.#url,
      slots: this.#opts.slots,
      state: this.#state(),
      healthPath: "/_standin/health",
      sequence: this.#nextSequence++,
    });
    setTimeout(() => {
      fetch(`http://${this.#opts.sidecarAdmin}/v1/announce`, {
        method: "POST",
        headers: { "content-type": "application/json" },
        body,
      }).catch(() => undefined);
    }, this.#opts.announceLagMs);
  }

  async #route(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const url = req.url ?? "/";
    if (url.startsWith("/_standin/")) {
      await this.#serveControl(url, req, res);
      return;
    }
    await this.#serveRequest(req, res);
  }

  async #serveControl(url: string, req: IncomingMessage, res: ServerResponse): Promise<void> {
    res.setHeader("content-type", "application/json");
    if (url === "/_standin/effects") {
      res.end(
        JSON.stringify({
          served: this.#served,
          received: this.#received,
          lastReceivedAt: this.#lastReceivedAt,
          drainedAt: this.#drainedAt,
          effects: Object.fromEntries(this.#effects),
        }),
      );
    } else if (url === "/_standin/arrivals") {
      res.end(JSON.stringify(this.#arrivals));
    } else if (url === "/_standin/health") {
      await sleep(HEALTH_CHECK_WORK_MS);
      this.#addHeaders(res);
      res.statusCode = this.#reportsHealthy() ? 200 : 503;
      res.end(JSON.stringify({ inFlight: this.#inFlight, slots: this.#opts.slots }));
    } else if (url === "/_standin/fault" && req.method === "POST") {
      const body = JSON.parse(await readText(req)) as {
        mode: FaultMode;
        via?: string;
        lies?: boolean;
        trickles?: boolean;
      };
      this.#mode = body.mode;
      this.#trickles = body.trickles ?? false;
      this.#faultSetAt = Date.now();
      this.#alwaysReportsHealthy = body.lies ?? this.#opts.alwaysReportsHealthy;
      this.#partitionedVia = body.via ?? "";
      const healthy = body.mode === FaultMode.None || body.mode === FaultMode.OneWay;
      this.#healthHistory.push({ at: Date.now(), healthy });
      res.end(JSON.stringify({ mode: this.#mode }));
    } else if (url === "/_standin/cold-start" && req.method === "POST") {
      this.#coldUntil = Date.now() + COLD_START_MS;
      this.#warmUpUntil = this.#coldUntil + WARM_UP_MS;
      this.#announce();
      res.end(JSON.stringify({ coldMs: COLD_START_MS }));
    } else if (url === "/_standin/drain" && req.method === "POST") {
      this.#draining = true;
      this.#drainedAt = Date.now();
      this.#announce();
      res.end(JSON.stringify({ draining: true }));
    } else if (url === "/_standin/headers" && req.method === "POST") {
      this.#addedHeaders = JSON.parse(await readText(req)) as Record<string, string | string[]>;
      res.end(JSON.stringify(this.#addedHeaders));
    } else {
      res.statusCode = 404;
      res.end("{}");
    }
  }

  #addHeaders(res: ServerResponse): void {
    for (const [name, value] of Object.entries(this.#addedHeaders)) {
      res.setHeader(name, value);
    }
  }

  /** Health that the endpoint reports: the state `healthLagMs` ago, or always healthy with `alwaysReportsHealthy`. */
  #reportsHealthy(): boolean {
    if (this.#mode === FaultMode.HealthBad) {
      return false;
    }
    if (this.#alwaysReportsHealthy) {
      return true;
    }
    const asOf = Date.now() - this.#opts.healthLagMs;
    const lastKnown = this.#healthHistory.filter((h) => h.at <= asOf).at(-1);
    return lastKnown?.healthy ?? true;
  }

  async #serveRequest(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const arrivedAt = performance.now();
    this.#received += 1;
    this.#lastReceivedAt = Date.now();
    const via = req.headers.via ?? "";
    this.#arrivals.push({ at: this.#lastReceivedAt, via });
    if (this.#arrivals.length > MAX_ARRIVALS) {
      this.#arrivals.shift();
    }
    const tag = String(req.headers["x-caller-tag"] ?? "");
    this.#journal.record(tag, "arrived", req.headers[this.#opts.echoHeader]);
    const body = await readText(req);
    const connectedBeforeFault = (this.#connectedAt.get(req.socket) ?? 0) < this.#faultSetAt;
    if (
      this.#mode === FaultMode.Silent ||
      (this.#mode === FaultMode.SilentOld && connectedBeforeFault)
    ) {
      return; // Never responds; the socket stays open until the caller gives up.
    }
    this.#addHeaders(res);
    const shedReason = this.#shedReason();
    if (shedReason !== undefined) {
      this.#journal.record(tag, "shed");
      shed(res, shedReason);
      return;
    }
    if (this.#mode === FaultMode.Gray && Math.random() < GRAY_SHARE) {
      this.#journal.record(tag, "ran");
      this.#journal.record(tag, "failed");
      sendError(res);
      return;
    }
    this.#inFlight += 1;
    // A caller that disconnects before the response cancels the request: the effect must
    // not happen, unless this target ignores cancellation.
    const run = { cancelled: false };
    res.on("close", () => {
      run.cancelled = !res.writableFinished && !this.#opts.ignoresCancellation;
    });
    try {
      const remainingMs = Number(req.headers["x-burdockpass-remaining-ms"] ?? Infinity);
      const deadline = arrivedAt + remainingMs;
      const workMs = this.#workMs();
      const sleepMs = Math.min(workMs, remainingMs);
      if (sleepMs > 0) {
        // setTimeout(0) still costs about 1 ms; a zero work time must add nothing.
        await sleep(sleepMs);
      }
      this.#addHeaders(res);
      // Work cut short by the deadline is not complete, even if the timer fires slightly early.
      if (run.cancelled || workMs > remainingMs || performance.now() >= deadline) {
        // Cancelled or past its deadline before the effect: reported as not run.
        if (!res.destroyed) {
          this.#journal.record(tag, "shed");
          shed(res, "deadline passed");
        }
        return;
      }
      if (this.#crashesOn(req)) {
        this.#journal.record(tag, "crashed");
        process.kill(process.pid, "SIGKILL");
        return;
      }
      this.#journal.record(tag, "ran");
      if (!(await this.#makeNestedCallIfNeeded(tag))) {
        this.#journal.record(tag, "failed");
        sendError(res);
        return;
      }
      const responseLost = this.#mode === FaultMode.OneWay && via.includes(this.#partitionedVia);
      await this.#respond(req, body, res, responseLost);
    } finally {
      this.#inFlight -= 1;
    }
  }

  /** Whether the request is a query of death: it ends the process of every target that runs it. */
  #crashesOn({ url = "/" }: IncomingMessage): boolean {
    const { crashPath } = this.#opts;
    return crashPath !== undefined && url.startsWith(crashPath);
  }

  /** The reason to shed a request without running it; undefined to accept it. */
  #shedReason(): string | undefined {
    if (this.#draining) {
      return "draining";
    }
    const sheds = this.#mode === FaultMode.Shedding && Math.random() < SHED_SHARE;
    return sheds || this.#inFlight >= this.#opts.slots ? "no free slot" : undefined;
  }

  /** Makes a nested call for the configured share of runs; resolves with false if it failed. */
  async #makeNestedCallIfNeeded(tag: string): Promise<boolean> {
    const { nestedCalls } = this.#opts;
    if (nestedCalls === undefined || Math.random() >= nestedCalls.share) {
      return true;
    }
    return makeNestedCall(nestedCalls, `${tag}~${this.#nestedCallCount++}`);
  }

  /** Applies the request's effect and sends the response, unless `responseLost` simulates its loss on the network. */
  async #respond(
    req: IncomingMessage,
    body: string,
    res: ServerResponse,
    responseLost: boolean,
  ): Promise<void> {
    this.#served += 1;
    const key = req.headers["idempotency-key"];
    if (req.method !== "GET" && req.method !== "HEAD" && typeof key === "string") {
      this.#effects.set(key, (this.#effects.get(key) ?? 0) + 1);
    }
    if (responseLost) {
      return;
    }
    if (this.#mode === FaultMode.ResponseLost) {
      res.destroy();
      return;
    }
    if (EndlessResponse.isMode(this.#mode)) {
      const echo = req.headers[this.#opts.echoHeader];
      const line = typeof echo === "string" ? `${this.#opts.echoHeader}: ${echo}\r\n` : "";
      EndlessResponse.send(req.socket, this.#mode, line, this.#trickles);
      return;
    }
    const { searchParams } = new URL(req.url ?? "/", "http://standin");
    const filler = Number(searchParams.get("bytes") ?? 0);
    const responseBody = JSON.stringify({
      target: this.#opts.id,
      service: this.#opts.service,
      path: req.url,
      tag: req.headers["x-caller-tag"] ?? null,
      workspace: req.headers["x-burdockpass-workspace"] ?? null,
      hasCredentials: req.headers.authorization !== undefined,
      bodyBytes: body.length,
      filler: "x".repeat(filler),
    });
    const ownResponse: SentResponse = {
      body: responseBody,
      echo: req.headers[this.#opts.echoHeader],
    };
    const faulty = Math.random() < this.#opts.wrongRate;
    const response =
      faulty && this.#mode === FaultMode.Wrong ? (this.#lastResponse ?? ownResponse) : ownResponse;
    this.#lastResponse = ownResponse;
    if (this.#opts.netMs > 0) {
      await sleep(this.#opts.netMs);
    }
    if (faulty && this.#mode === FaultMode.Error) {
      res.statusCode = 500;
    }
    res.setHeader("content-type", "application/json");
    if (response.echo) {
      res.setHeader(this.#opts.echoHeader, response.echo);
    }
    if (this.#mode === FaultMode.Truncate) {
      res.setHeader("content-length", response.body.length);
      res.write(response.body.slice(0, response.body.length / 2), () => res.destroy());
      return;
    }
    await sendInParts(res, response.body, Number(searchParams.get("send-ms") ?? 0));
  }

  #workMs(): number {
    const flappingSlow =
      this.#mode === FaultMode.Flapping && Math.floor(Date.now() / FLAP_HALF_PERIOD_MS) % 2 === 0;
    const slow = this.#mode === FaultMode.Slow || flappingSlow;
    const warming = Date.now() < this.#warmUpUntil;
    return (
      this.#opts.netMs +
      this.#opts.workMs *
        this.#tailFactor() *
        (slow ? SLOW_FACTOR : 1) *
        (warming ? WARM_UP_FACTOR : 1)
    );
  }

  /** This run's work time as a multiple of the mean. */
  #tailFactor(): number {
    const { workTail } = this.#opts;
    return workTail <= 1 ? 1 : Math.min(workTail, -Math.log(1 - Math.random()));
  }
}

function sendError(res: ServerResponse): void {
  res.statusCode = 500;
  res.end("{}");
}

function shed(res: ServerResponse, reason: string): void {
  res.statusCode = 503;
  res.setHeader("x-not-run", "1");
  res.setHeader("retry-after", "1");
  res.end(JSON.stringify({ notRun: reason }));
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

async function readText(req: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of req as AsyncIterable<Buffer>) {
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString("utf8");
}
