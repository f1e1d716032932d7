import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { FaultMode } from "./FaultMode.ts";
import { makeCall } from "./makeCall.ts";
import type { StandInOptions } from "./StandInOptions.ts";
import { WorkJournal } from "./WorkJournal.ts";

/** Interval between announcements to the sidecar, ms: the target's heartbeat. */
const ANNOUNCE_INTERVAL_MS = 500;

/** Slow mode multiplies work time by this. */
const SLOW_FACTOR = 10;

/** Time given to requests in flight at a stop before their sockets are closed, ms. */
const STOP_GRACE_MS = 1000;

/** Time a health check takes, ms (the brief's 25 ms a probe). */
const HEALTH_CHECK_WORK_MS = 25;

/** Arrivals remembered for the bench. */
const MAX_ARRIVALS = 50_000;

/** A cold start asked for at run time: cold for this long, ms... */
const COLD_MS = 1500;

/** ...then, ready but not yet warm, for this long, ms... */
const WARM_UP_MS = 1000;

/** ...at this many times its usual work time. */
const WARM_UP_FACTOR = 2;

/** Half-period of the flapping mode, ms. */
const FLAP_PERIOD_MS = 2000;

/** Share of requests that fail in the gray mode, and that are refused in the shedding one: about the users' gray targets'. */
const GRAY_SHARE = 0.85;
const SHED_SHARE = 0.5;

/** One answer: its body, and the id the request asked to have echoed. */
interface Answer {
  readonly body: string;
  readonly echo: string | string[] | undefined;
}

/**
 * A stand-in for a customer's back end, spoken to over HTTP as the real ones
 * are. It has slots and sheds load beyond them, starts cold, drains, honours
 * deadlines (`x-burdockpass-remaining-ms`) and cancellation, has a health
 * endpoint that can lag or lie, and fault modes switched at run time. It
 * counts the effects of non-idempotent requests per idempotency key, so
 * tests can see any request that ran twice.
 */
export class StandInTarget {
  readonly #opts: StandInOptions;
  readonly #server: Server;
  readonly #effects = new Map<string, number>();
  readonly #history: { at: number; healthy: boolean }[] = [];
  readonly #arrivals: { at: number; via: string }[] = [];
  readonly #openedAt = new WeakMap<Socket, number>();
  #mode = FaultMode.None;
  #faultAt = 0;
  #healthLies: boolean;
  #coldUntil: number;
  #warmAt = 0;
  /** The sidecar that {@link FaultMode.OneWay} cuts off. */
  #cutVia = "";
  #inFlight = 0;
  #served = 0;
  #received = 0;
  #lastReceivedAt = 0;
  #drainedAt = 0;
  #draining = false;
  #announcer: NodeJS.Timeout | undefined;
  #announcements = 1;
  /** Calls made so far. */
  #calls = 0;
  #lastAnswer: Answer | undefined;
  readonly #journal: WorkJournal;

  constructor(opts: StandInOptions) {
    this.#opts = opts;
    this.#journal = new WorkJournal(opts.journal, { target: opts.id, service: opts.service });
    this.#healthLies = opts.healthLies;
    this.#coldUntil = Date.now() + opts.coldMs;
    this.#server = createServer((req, res) => {
      void this.#route(req, res);
    });
    this.#server.on("connection", (socket: Socket) => {
      this.#openedAt.set(socket, Date.now());
    });
  }

  /** Listens and starts announcing; resolves with the bound port. */
  async start(): Promise<number> {
    await new Promise<void>((resolve) =>
      this.#server.listen(this.#opts.port, this.#opts.host, resolve),
    );
    this.#announce();
    this.#announcer = setInterval(() => {
      this.#announce();
    }, ANNOUNCE_INTERVAL_MS);
    return (this.#server.address() as AddressInfo).port;
  }

  /** Stops announcing and closes; requests in flight finish first. */
  async stop(): Promise<void> {
    clearInterval(this.#announcer);
    await new Promise<void>((resolve) => {
      this.#server.close(() => {
        resolve();
      });
      this.#server.closeIdleConnections();
      // A keep-alive socket busy at close time would hold close() open for good.
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
      sequence: this.#announcements++,
    });
    fetch(`http://${this.#opts.sidecarAdmin}/v1/announce`, {
      method: "POST",
      headers: { "content-type": "application/json" },
      body,
    }).catch(() => undefined);
  }

  async #route(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const url = req.url ?? "/";
    if (url.startsWith("/_standin/")) {
      await this.#control(url, req, res);
      return;
    }
    await this.#work(req, res);
  }

  async #control(url: string, req: IncomingMessage, res: ServerResponse): Promise<void> {
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
      res.statusCode = this.#reportedHealthy() ? 200 : 503;
      res.end(JSON.stringify({ inFlight: this.#inFlight, slots: this.#opts.slots }));
    } else if (url === "/_standin/fault" && req.method === "POST") {
      const body = JSON.parse(await readText(req)) as {
        mode: FaultMode;
        via?: string;
        lies?: boolean;
      };
      this.#mode = body.mode;
      this.#faultAt = Date.now();
      this.#healthLies = body.lies ?? this.#opts.healthLies;
      this.#cutVia = body.via ?? "";
      const healthy = body.mode === FaultMode.None || body.mode === FaultMode.OneWay;
      this.#history.push({ at: Date.now(), healthy });
      res.end(JSON.stringify({ mode: this.#mode }));
    } else if (url === "/_standin/cold-start" && req.method === "POST") {
      this.#coldUntil = Date.now() + COLD_MS;
      this.#warmAt = this.#coldUntil + WARM_UP_MS;
      this.#announce();
      res.end(JSON.stringify({ coldMs: COLD_MS }));
    } else if (url === "/_standin/drain" && req.method === "POST") {
      this.#draining = true;
      this.#drainedAt = Date.now();
      this.#announce();
      res.end(JSON.stringify({ draining: true }));
    } else {
      res.statusCode = 404;
      res.end("{}");
    }
  }

  /** Health as the endpoint tells it: the state of `healthLagMs` ago, or always fine when it lies. */
  #reportedHealthy(): boolean {
    if (this.#mode === FaultMode.HealthBad) {
      return false;
    }
    if (this.#healthLies) {
      return true;
    }
    const asOf = Date.now() - this.#opts.healthLagMs;
    const known = this.#history.filter((h) => h.at <= asOf).at(-1);
    return known?.healthy ?? true;
  }

  async #work(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const arrivedAt = performance.now();
    this.#received += 1;
    this.#lastReceivedAt = Date.now();
    const via = req.headers.via ?? "";
    this.#arrivals.push({ at: this.#lastReceivedAt, via });
    if (this.#arrivals.length > MAX_ARRIVALS) {
      this.#arrivals.shift();
    }
    const tag = String(req.headers["x-caller-tag"] ?? "");
    this.#journal.note(tag, "arrived");
    const body = await readText(req);
    const before = (this.#openedAt.get(req.socket) ?? 0) < this.#faultAt;
    if (this.#mode === FaultMode.Silent || (this.#mode === FaultMode.SilentOld && before)) {
      return; // Never answers; the socket stays open until the caller gives up.
    }
    const refusal = this.#refusal();
    if (refusal !== undefined) {
      this.#journal.note(tag, "shed");
      shed(res, refusal);
      return;
    }
    if (this.#mode === FaultMode.Gray && Math.random() < GRAY_SHARE) {
      this.#journal.note(tag, "ran");
      sendError(res);
      return;
    }
    this.#inFlight += 1;
    // The caller hung up before the answer: cancellation, so the effect must not
    // happen, unless this stand-in is one that runs on.
    const call = { cancelled: false };
    res.on("close", () => {
      call.cancelled = !res.writableFinished && !this.#opts.runsOn;
    });
    try {
      const leftMs = Number(req.headers["x-burdockpass-remaining-ms"] ?? Infinity);
      const deadlineAt = arrivedAt + leftMs;
      const workMs = this.#workTime();
      const ms = Math.min(workMs, leftMs);
      if (ms > 0) {
        // setTimeout(0) still costs about 1 ms; a zero work time must add nothing.
        await sleep(ms);
      }
      // Work cut short by the deadline is not done, also when the timer fires a moment early.
      if (call.cancelled || workMs > leftMs || performance.now() >= deadlineAt) {
        // Cancelled or past its deadline before the effect: it did not run, and says so.
        if (!res.destroyed) {
          this.#journal.note(tag, "shed");
          shed(res, "deadline passed");
        }
        return;
      }
      this.#journal.note(tag, "ran");
      if (!(await this.#callsServed(tag))) {
        sendError(res);
        return;
      }
      const lost = this.#mode === FaultMode.OneWay && via.includes(this.#cutVia);
      await this.#answer(req, body, res, lost);
    } finally {
      this.#inFlight -= 1;
    }
  }

  /** Why a request is refused, unrun; undefined when it is not. */
  #refusal(): string | undefined {
    if (this.#draining) {
      return "draining";
    }
    const sheds = this.#mode === FaultMode.Sheds && Math.random() < SHED_SHARE;
    return sheds || this.#inFlight >= this.#opts.slots ? "no free slot" : undefined;
  }

  /** Makes the call that this request's work needs, if it does; false when it failed. */
  async #callsServed(tag: string): Promise<boolean> {
    const { calls } = this.#opts;
    if (calls === undefined || Math.random() >= calls.share) {
      return true;
    }
    return makeCall(calls, `${tag}~${this.#calls++}`);
  }

  /** Runs the request's effect and answers it, unless the answer is `lost` on the way back. */
  async #answer(
    req: IncomingMessage,
    body: string,
    res: ServerResponse,
    lost: boolean,
  ): Promise<void> {
    this.#served += 1;
    const key = req.headers["idempotency-key"];
    if (req.method !== "GET" && req.method !== "HEAD" && typeof key === "string") {
      this.#effects.set(key, (this.#effects.get(key) ?? 0) + 1);
    }
    if (lost) {
      return;
    }
    if (this.#mode === FaultMode.AnswerLost) {
      res.destroy();
      return;
    }
    const filler = Number(new URL(req.url ?? "/", "http://standin").searchParams.get("bytes") ?? 0);
    const answer = JSON.stringify({
      target: this.#opts.id,
      service: this.#opts.service,
      path: req.url,
      tag: req.headers["x-caller-tag"] ?? null,
      bodyBytes: body.length,
      filler: "x".repeat(filler),
    });
    const mine: Answer = { body: answer, echo: req.headers[this.#opts.echoHeader] };
    const strikes = Math.random() < this.#opts.wrongRate;
    const sent = strikes && this.#mode === FaultMode.Wrong ? (this.#lastAnswer ?? mine) : mine;
    this.#lastAnswer = mine;
    if (this.#opts.netMs > 0) {
      await sleep(this.#opts.netMs);
    }
    if (strikes && this.#mode === FaultMode.Error) {
      res.statusCode = 500;
    }
    res.setHeader("content-type", "application/json");
    if (sent.echo) {
      res.setHeader(this.#opts.echoHeader, sent.echo);
    }
    if (this.#mode === FaultMode.Truncate) {
      res.setHeader("content-length", sent.body.length);
      res.write(sent.body.slice(0, sent.body.length / 2), () => res.destroy());
      return;
    }
    res.end(sent.body);
  }

  #workTime(): number {
    const flappingSlow =
      this.#mode === FaultMode.Flapping && Math.floor(Date.now() / FLAP_PERIOD_MS) % 2 === 0;
    const slow = this.#mode === FaultMode.Slow || flappingSlow;
    const warming = Date.now() < this.#warmAt;
    return (
      this.#opts.netMs +
      this.#opts.workMs * (slow ? SLOW_FACTOR : 1) * (warming ? WARM_UP_FACTOR : 1)
    );
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
