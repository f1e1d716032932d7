import { Agent, request, type IncomingMessage } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import type { CallRecord } from "./History.ts";
import { createRng, type Rng } from "./createRng.ts";
import { sendPipelined } from "./sendPipelined.ts";
import type { SoakFleet } from "./SoakFleet.ts";
import { CallKind, type SoakPlan } from "./SoakPlan.ts";
import { DEFAULT_TIMEOUT_MS } from "./soakDocument.ts";

const HOST = "127.0.0.1";

/** Lengths of requested response bodies, bytes: most are small, some are sent in many chunks. */
const RESPONSE_BYTES = [0, 0, 200, 20_000, 200_000];

/** Body of an upload, bytes. */
const UPLOAD_BYTES = 300_000;

/** Time after the route's timeout at which a caller gives up, ms. */
const GIVE_UP_SLACK_MS = 1500;

/** Lengths of the responses to downloads, bytes: of each interval, equally many are requested. */
const DOWNLOAD_BYTES: readonly (readonly [number, number])[] = [
  [20_000, 60_000],
  [20_000, 60_000],
  [20_000, 60_000],
  [20_000, 60_000],
  [60_000, 200_000],
  [200_000, 540_000],
];

/** One download in this many has the length below, bytes: it leaves the sidecar in many parts. */
const LARGE_DOWNLOAD_EVERY = 20;
const LARGE_DOWNLOAD_BYTES: readonly [number, number] = [1_000_000, 8_000_000];

/** One download in this many is read with pauses of this length, ms, after every so many chunks. */
const PAUSED_DOWNLOAD_EVERY = 4;
const READ_PAUSE_MS = 150;
const CHUNKS_BETWEEN_PAUSES = 4;

/** One request in this many, in plans with `stop`, goes to any sidecar to which a connection is kept, ready or not. */
const KEPT_CONNECTION_EVERY = 2;

/** Delay after which a keyed booking without a final outcome is sent again, ms. */
const RESEND_DELAY_MS = 400;
/** Largest number of resends of one keyed booking. */
const MAX_RESENDS = 3;

/** Lookups or downloads that a caller occasionally pipelines on one connection. */
const BURST_LENGTH = 3;

/** Intervals between pipelined downloads, ms: the later ones are written while the first are being sent. */
const DOWNLOAD_GAPS_MS = [0, 30, 150, 400];

/** Pauses in reading pipelined downloads, ms: further requests are then written while responses wait in buffers. */
const BURST_PAUSES_MS = [0, 500, 1000];

const SERVICE_OF: Readonly<Record<CallKind, string>> = {
  [CallKind.Check]: "desk",
  [CallKind.Lookup]: "ledger",
  [CallKind.Booking]: "bookings",
  [CallKind.KeyedBooking]: "bookings",
  [CallKind.Upload]: "bookings",
  [CallKind.Download]: "ledger",
};

/** One request in this many begins a pipelined burst, by kind; never for those left out. */
const BURST_EVERY: Readonly<Partial<Record<CallKind, number>>> = {
  [CallKind.Lookup]: 12,
  [CallKind.Download]: 6,
};

/** The outcome of one exchange, as the caller observed it. */
type CallOutcome = Pick<CallRecord, "status" | "verdict" | "bodyTag" | "isWhole" | "hadBegun">;

/** A request that a caller has sent: when it was written to an open connection, and its outcome. */
interface SentCall {
  readonly sentAt: number | undefined;
  readonly outcome: CallOutcome;
}

/** A request that a caller is to send. */
interface CallSpec {
  readonly tag: string;
  readonly kind: CallKind;
  /** Requested length of the response body's filler. */
  readonly bytes: number;
  /** Length of the pauses while the response is read, ms. */
  readonly pauseMs?: number;
  /** Idempotency key. */
  readonly key: string | undefined;
}

/** Simulates callers: sends requests at the plan's rates through sidecars that are ready, and records the outcomes. */
export class SoakCallers {
  readonly #fleet: SoakFleet;
  readonly #plan: SoakPlan;
  readonly #isReady: (vm: string) => boolean;
  readonly #rng: Rng;
  /** Drawn from separately, so that the other requests of a seed do not depend on it. */
  readonly #downloadRng: Rng;
  readonly #giveUpMs: number;
  /** Keeps connections open for as long as the process at the other end runs. */
  readonly #agent = new Agent({ keepAlive: true, maxFreeSockets: 64 });
  readonly #pending = new Set<Promise<void>>();
  readonly #timers = new Set<NodeJS.Timeout>();
  readonly records: CallRecord[] = [];
  /** Pipelined requests behind a response that closed the connection; they are sent again under another tag. */
  readonly unread: CallRecord[] = [];
  #count = 0;

  constructor(fleet: SoakFleet, plan: SoakPlan, isReady: (vm: string) => boolean) {
    this.#fleet = fleet;
    this.#plan = plan;
    this.#isReady = isReady;
    this.#rng = createRng(plan.seed + 2);
    this.#downloadRng = createRng(plan.seed + 8);
    this.#giveUpMs = (plan.timeoutMs ?? DEFAULT_TIMEOUT_MS) + GIVE_UP_SLACK_MS;
  }

  /** Sends requests for the plan's duration; resolves once every request has its outcome. */
  async run(): Promise<void> {
    for (const kind of Object.values(CallKind)) {
      const rate = this.#plan.rates[kind] ?? 0;
      if (rate > 0) {
        this.#sendNext(kind, rate);
      }
    }
    await new Promise((resolve) => setTimeout(resolve, this.#plan.seconds * 1000));
    this.#timers.forEach((timer) => {
      clearTimeout(timer);
    });
    await Promise.all(this.#pending);
    this.#agent.destroy();
  }

  /** Schedules the next request of `kind`, after an exponentially distributed interval. */
  #sendNext(kind: CallKind, rate: number): void {
    const waitMs = (-Math.log(1 - this.#rng.between(0, 0.999)) * 1000) / Math.max(0.01, rate);
    const timer = setTimeout(() => {
      this.#timers.delete(timer);
      this.#send(kind);
      this.#sendNext(kind, rate);
    }, waitMs);
    this.#timers.add(timer);
  }

  #send(kind: CallKind): void {
    const via = this.#rng.pick(this.#usableVms());
    const burstEvery = BURST_EVERY[kind];
    const isBurst = burstEvery !== undefined && this.#rng.int(1, burstEvery) === 1;
    const done = isBurst ? this.#callPipelined(via, kind) : this.#call(via, this.#nextCall(kind));
    this.#pending.add(done);
    void done.finally(() => this.#pending.delete(done));
  }

  /** The VMs that the next caller chooses from; a connection that is kept open is used as long as it is. */
  #usableVms(): readonly string[] {
    const usesKept = this.#plan.stop && this.#downloadRng.int(1, KEPT_CONNECTION_EVERY) === 1;
    const kept = usesKept ? this.#fleet.vms.filter((vm) => this.#keepsConnection(vm)) : [];
    return kept.length > 0 ? kept : this.#readyVms();
  }

  #keepsConnection(vm: string): boolean {
    const name = this.#agent.getName({ host: HOST, port: this.#fleet.callerPort(vm) });
    return (this.#agent.freeSockets[name]?.length ?? 0) > 0;
  }

  /** VMs whose sidecars are ready; all VMs where none is. */
  #readyVms(): readonly string[] {
    const ready = this.#fleet.vms.filter(this.#isReady);
    return ready.length > 0 ? ready : this.#fleet.vms;
  }

  #nextCall(kind: CallKind): CallSpec {
    const tag = `${kind}-${++this.#count}`;
    const key = kind === CallKind.KeyedBooking ? tag : undefined;
    if (kind === CallKind.Download) {
      const isLarge = this.#downloadRng.int(1, LARGE_DOWNLOAD_EVERY) === 1;
      const range = isLarge ? LARGE_DOWNLOAD_BYTES : this.#downloadRng.pick(DOWNLOAD_BYTES);
      const pauses = this.#downloadRng.int(1, PAUSED_DOWNLOAD_EVERY) === 1;
      const bytes = Math.round(this.#downloadRng.between(...range));
      return { tag, kind, bytes, key, pauseMs: pauses ? READ_PAUSE_MS : 0 };
    }
    return { tag, kind, bytes: this.#rng.pick(RESPONSE_BYTES), key };
  }

  /**
   * Pipelines several requests on one connection. Those behind a response that closes it were not read, and are sent
   * again to another sidecar.
   */
  async #callPipelined(via: string, kind: CallKind): Promise<void> {
    const specs = Array.from({ length: BURST_LENGTH }, () => this.#nextCall(kind));
    const requests = specs.map((spec) => ({ path: pathOf(spec), headers: headersOf(spec) }));
    const port = this.#fleet.callerPort(via);
    const isDownload = kind === CallKind.Download;
    const gapMs = isDownload ? this.#downloadRng.pick(DOWNLOAD_GAPS_MS) : 0;
    const pauseMs = isDownload ? this.#downloadRng.pick(BURST_PAUSES_MS) : 0;
    const { sentAt, responses, hadBegun, hasTimedOut } = await sendPipelined(
      port,
      requests,
      this.#giveUpMs,
      () => this.#fleet.now,
      { gapMs, pauseMs },
    );
    const isClosed = responses.at(-1)?.headers.get("connection") === "close";
    const unread = isClosed ? specs.slice(responses.length) : [];
    specs.forEach((spec, n) => {
      const response = responses[n];
      const verdict = hasTimedOut ? "left" : "";
      const outcome = response
        ? outcomeOf(response.status, response.headers.get(VERDICT), response.body, spec.bytes)
        : { ...NO_RESPONSE, verdict, hadBegun: hadBegun && n === responses.length };
      const records = unread.includes(spec) ? this.unread : this.records;
      const sent = { sentAt: sentAt === undefined ? undefined : sentAt + n * gapMs, outcome };
      records.push(this.#toRecord(via, spec, sent, undefined));
    });
    const resends = unread.map((spec) => ({ ...spec, tag: `${spec.tag}.again` }));
    await Promise.all(resends.map((spec) => this.#call(this.#rng.pick(this.#readyVms()), spec)));
  }

  /** Sends a request, and resends it under its idempotency key, if it has one, until the outcome is final. */
  async #call(via: string, spec: CallSpec): Promise<void> {
    let last = await this.#exchange(via, spec, undefined);
    for (let n = 1; spec.key !== undefined && n <= MAX_RESENDS && !isFinal(last); n++) {
      await new Promise((resolve) => setTimeout(resolve, RESEND_DELAY_MS));
      const resend = { ...spec, tag: `${spec.tag}.${n}` };
      last = await this.#exchange(this.#rng.pick(this.#readyVms()), resend, spec.tag);
    }
  }

  /** Sends one request and records its outcome. */
  async #exchange(via: string, spec: CallSpec, resendOf: string | undefined): Promise<CallOutcome> {
    const sent = await this.#request(this.#fleet.callerPort(via), spec);
    this.records.push(this.#toRecord(via, spec, sent, resendOf));
    return sent.outcome;
  }

  /** Returns the record of a request; one that was not sent, since no connection could be opened, counts as sent when that failed. */
  #toRecord(
    via: string,
    { tag, kind }: CallSpec,
    { sentAt, outcome }: SentCall,
    resendOf: string | undefined,
  ): CallRecord {
    const service = SERVICE_OF[kind];
    const endedAt = this.#fleet.now;
    const times = { sentAt: sentAt ?? endedAt, endedAt };
    return { tag, kind, service, via, resendOf, ...times, ...outcome };
  }

  #request(port: number, spec: CallSpec): Promise<SentCall> {
    const { kind } = spec;
    const options = {
      host: HOST,
      port,
      agent: this.#agent,
      method: SERVICE_OF[kind] === "bookings" ? "POST" : "GET",
      path: pathOf(spec),
      headers: headersOf(spec),
    };
    return new Promise((resolve) => {
      let isSettled = false;
      let hadBegun = false;
      let sentAt: number | undefined;
      const settle = (outcome: CallOutcome) => {
        if (!isSettled) {
          isSettled = true;
          clearTimeout(timer);
          resolve({ sentAt, outcome });
        }
      };
      const onFailure = () => {
        settle({ ...NO_RESPONSE, hadBegun });
      };
      const req = request(options, (res) => {
        hadBegun = true;
        readOutcome(res, spec).then(settle, onFailure);
      });
      // A request is written as soon as its connection is open.
      req.on("socket", (socket) => {
        const onOpen = () => (sentAt = this.#fleet.now);
        if (socket.connecting) {
          socket.once("connect", onOpen);
        } else {
          onOpen();
        }
      });
      const timer = setTimeout(() => {
        // The caller gave up: the request counts neither as aborted nor as answered.
        settle({ ...NO_RESPONSE, verdict: "left", hadBegun });
        req.destroy();
      }, this.#giveUpMs);
      req.on("error", onFailure);
      req.end(kind === CallKind.Upload ? Buffer.alloc(UPLOAD_BYTES, "u") : undefined);
    });
  }
}

/** Header with the verdict, which states whether the request ran. */
const VERDICT = "x-burdockpass-verdict";

const NO_RESPONSE: CallOutcome = {
  status: 0,
  verdict: "",
  bodyTag: undefined,
  isWhole: false,
  hadBegun: false,
};

/** Reads a response to its end; rejects if the connection ends before that. */
async function readOutcome(
  res: IncomingMessage,
  { bytes, pauseMs = 0 }: CallSpec,
): Promise<CallOutcome> {
  const chunks: Buffer[] = [];
  for await (const chunk of res as AsyncIterable<Buffer>) {
    chunks.push(chunk);
    if (pauseMs > 0 && chunks.length % CHUNKS_BETWEEN_PAUSES === 1) {
      await sleep(pauseMs);
    }
  }
  const body = Buffer.concat(chunks).toString("utf8");
  return outcomeOf(res.statusCode ?? 0, res.headers[VERDICT], body, bytes);
}

/** The outcome of a request whose response has been received. */
function outcomeOf(
  status: number,
  verdictHeader: string | string[] | undefined,
  text: string,
  bytes: number,
): CallOutcome {
  const verdict = String(verdictHeader ?? "");
  try {
    const body = JSON.parse(text) as { tag?: string; filler?: string };
    const isWhole = body.filler?.length === bytes;
    return { status, verdict, bodyTag: body.tag, isWhole, hadBegun: true };
  } catch {
    return { status, verdict, bodyTag: undefined, isWhole: false, hadBegun: true };
  }
}

function pathOf({ kind, tag, bytes }: CallSpec): string {
  return `/${SERVICE_OF[kind]}/${tag}?bytes=${bytes}`;
}

function headersOf({ tag, key }: CallSpec): Record<string, string> {
  return { "x-caller-tag": tag, ...(key === undefined ? {} : { "idempotency-key": key }) };
}

/** Whether a resend could not give a clearer outcome. */
function isFinal({ status, verdict }: CallOutcome): boolean {
  return status === 200 || (verdict === "may-have-run" && status !== 0);
}
