import { Agent, request, type IncomingMessage } from "node:http";
import type { CallRecord } from "./History.ts";
import { createRng, type Rng } from "./createRng.ts";
import type { SoakFleet } from "./SoakFleet.ts";
import { CallKind, type SoakPlan } from "./SoakPlan.ts";

/** Bodies of answers that are asked for, bytes: most are small, some go out in many pieces. */
const RESPONSE_BYTES = [0, 0, 200, 20_000, 200_000];

/** Body of an upload, bytes. */
const UPLOAD_BYTES = 300_000;

/** A caller gives up after this long, ms: past the route's timeout and a little. */
const GIVE_UP_MS = 4000;

/** A keyed booking without a clear outcome is sent again after this long, ms, and so many times. */
const RESEND_DELAY_MS = 400;
const MAX_RESENDS = 3;

/** Requests in a row that a caller sends without waiting, now and then. */
const PIPELINE_LENGTH = 3;

const SERVICE_OF: Readonly<Record<CallKind, string>> = {
  [CallKind.Check]: "desk",
  [CallKind.Lookup]: "ledger",
  [CallKind.Booking]: "bookings",
  [CallKind.KeyedBooking]: "bookings",
  [CallKind.Upload]: "bookings",
};

/** What one exchange came to. */
type CallOutcome = Pick<CallRecord, "status" | "verdict" | "bodyTag" | "isWhole" | "hadBegun">;

/** What a caller sends. */
interface CallSpec {
  readonly tag: string;
  readonly kind: CallKind;
  readonly bytes: number;
  readonly key: string | undefined;
}

/** The users: they send requests at the plan's rates, through sidecars that are ready, and write down what they get. */
export class SoakCallers {
  readonly #fleet: SoakFleet;
  readonly #plan: SoakPlan;
  readonly #isReady: (vm: string) => boolean;
  readonly #rng: Rng;
  /** Connections are kept for as long as the process at the other end is there. */
  readonly #agent = new Agent({ keepAlive: true, maxFreeSockets: 64 });
  readonly #pending = new Set<Promise<void>>();
  readonly #timers = new Set<NodeJS.Timeout>();
  readonly records: CallRecord[] = [];
  #count = 0;

  constructor(fleet: SoakFleet, plan: SoakPlan, isReady: (vm: string) => boolean) {
    this.#fleet = fleet;
    this.#plan = plan;
    this.#isReady = isReady;
    this.#rng = createRng(plan.seed + 2);
  }

  /** Sends until the plan's time is over; resolves once all have their answers. */
  async run(): Promise<void> {
    for (const kind of Object.values(CallKind)) {
      this.#sendNext(kind);
    }
    await new Promise((resolve) => setTimeout(resolve, this.#plan.seconds * 1000));
    this.#timers.forEach((timer) => {
      clearTimeout(timer);
    });
    await Promise.all(this.#pending);
    this.#agent.destroy();
  }

  #sendNext(kind: CallKind): void {
    const rate = this.#plan.rates[kind];
    const waitMs = (-Math.log(1 - this.#rng.between(0, 0.999)) * 1000) / Math.max(0.01, rate);
    const timer = setTimeout(() => {
      this.#timers.delete(timer);
      this.#send(kind);
      this.#sendNext(kind);
    }, waitMs);
    this.#timers.add(timer);
  }

  #send(kind: CallKind): void {
    const via = this.#rng.pick(this.#readyVms());
    const isPipelined = kind === CallKind.Lookup && this.#rng.int(1, 12) === 1;
    const done = isPipelined ? this.#callPipelined(via) : this.#call(via, this.#nextCall(kind));
    this.#pending.add(done);
    void done.finally(() => this.#pending.delete(done));
  }

  #readyVms(): readonly string[] {
    const ready = this.#fleet.vms.filter(this.#isReady);
    return ready.length > 0 ? ready : this.#fleet.vms;
  }

  #nextCall(kind: CallKind): CallSpec {
    const tag = `${kind}-${++this.#count}`;
    const key = kind === CallKind.KeyedBooking ? tag : undefined;
    return { tag, kind, bytes: this.#rng.pick(RESPONSE_BYTES), key };
  }

  /** Several lookups on one connection, without waiting for answers. */
  async #callPipelined(via: string): Promise<void> {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    const wanted = Array.from({ length: PIPELINE_LENGTH }, () => this.#nextCall(CallKind.Lookup));
    await Promise.all(wanted.map((want) => this.#exchange(via, want, agent, undefined)));
    agent.destroy();
  }

  async #call(via: string, want: CallSpec): Promise<void> {
    let last = await this.#exchange(via, want, this.#agent, undefined);
    for (let n = 1; want.key !== undefined && n <= MAX_RESENDS && !isFinal(last); n++) {
      await new Promise((resolve) => setTimeout(resolve, RESEND_DELAY_MS));
      const again = { ...want, tag: `${want.tag}.${n}` };
      last = await this.#exchange(this.#rng.pick(this.#readyVms()), again, this.#agent, want.tag);
    }
  }

  async #exchange(
    via: string,
    want: CallSpec,
    agent: Agent,
    resendOf: string | undefined,
  ): Promise<CallOutcome> {
    const sentAt = this.#fleet.now;
    const seen = await this.#request(this.#fleet.callerPort(via), want, agent);
    const { tag, kind } = want;
    const service = SERVICE_OF[kind];
    const endedAt = this.#fleet.now;
    this.records.push({ tag, kind, service, via, resendOf, sentAt, endedAt, ...seen });
    return seen;
  }

  #request(port: number, { tag, kind, bytes, key }: CallSpec, agent: Agent): Promise<CallOutcome> {
    const isBooking = SERVICE_OF[kind] === "bookings";
    const headers: Record<string, string> = { "x-caller-tag": tag };
    if (key !== undefined) {
      headers["idempotency-key"] = key;
    }
    const options = {
      host: "127.0.0.1",
      port,
      agent,
      method: isBooking ? "POST" : "GET",
      path: `/${SERVICE_OF[kind]}/${tag}?bytes=${bytes}`,
      headers,
    };
    return new Promise((resolve) => {
      let isOver = false;
      let hadBegun = false;
      const end = (seen: CallOutcome) => {
        if (!isOver) {
          isOver = true;
          clearTimeout(timer);
          resolve(seen);
        }
      };
      const nothing = () => {
        end({ ...NO_RESPONSE, hadBegun });
      };
      const req = request(options, (res) => {
        hadBegun = true;
        readOutcome(res, bytes).then(end, nothing);
      });
      const timer = setTimeout(() => {
        // Left by its caller: neither cut nor answered.
        end({ ...NO_RESPONSE, verdict: "left", hadBegun });
        req.destroy();
      }, GIVE_UP_MS);
      req.on("error", nothing);
      req.end(kind === CallKind.Upload ? Buffer.alloc(UPLOAD_BYTES, "u") : undefined);
    });
  }
}

const NO_RESPONSE: CallOutcome = {
  status: 0,
  verdict: "",
  bodyTag: undefined,
  isWhole: false,
  hadBegun: false,
};

/** Reads an answer to its end; rejects when it breaks off. */
async function readOutcome(res: IncomingMessage, bytes: number): Promise<CallOutcome> {
  const chunks: Buffer[] = [];
  for await (const chunk of res as AsyncIterable<Buffer>) {
    chunks.push(chunk);
  }
  const verdict = String(res.headers["x-burdockpass-verdict"] ?? "");
  const status = res.statusCode ?? 0;
  try {
    const body = JSON.parse(Buffer.concat(chunks).toString("utf8")) as {
      tag?: string;
      filler?: string;
    };
    const isWhole = body.filler?.length === bytes;
    return { status, verdict, bodyTag: body.tag, isWhole, hadBegun: true };
  } catch {
    return { status, verdict, bodyTag: undefined, isWhole: false, hadBegun: true };
  }
}

/** Nothing is to be learned by sending it again. */
function isFinal({ status, verdict }: CallOutcome): boolean {
  return status === 200 || (verdict === "may-have-run" && status !== 0);
}
