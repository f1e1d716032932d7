import type { Readable } from "node:stream";
import { Pool } from "undici";
import { isConnectError } from "../../common/http/isConnectError.ts";
import type { IDisposable } from "../../common/lifecycle/IDisposable.ts";
import type { ForwardResult } from "../forwarding/ForwardResult.ts";
import { readResponse } from "../forwarding/readResponse.ts";
import type { SlotClient } from "./SlotClient.ts";
import type { SlotReply } from "./SlotReply.ts";
import { HOP } from "./HOP.ts";
import type { GrantRef, HopLink } from "./HopLink.ts";
import type { HopRequest } from "./HopRequest.ts";
import { hopResponse } from "./hopResponse.ts";
import { NotSentError } from "./NotSentError.ts";
import type { PendingCall } from "./PendingCall.ts";

/** A connection between sidecars that takes longer to open is given up, ms: across zones it takes 3. */
const CONNECT_TIMEOUT_MS = 500;

/** A connection not used for this long is closed, ms; before the other side closes it. */
const IDLE_MS = 20_000;

/** What to call when the other side says that a request is alive. */
type OnAlive = () => void;

/** The way to the sidecars beside targets: asks by datagrams, requests by HTTP. */
export class HopClient implements HopLink, IDisposable {
  readonly #slotClient: Pick<SlotClient, "requestSlot">;
  readonly #pools = new Map<string, Pool>();

  /** @param slotClient by which slots are asked for */
  constructor(slotClient: Pick<SlotClient, "requestSlot">) {
    this.#slotClient = slotClient;
  }

  requestSlot(...args: Parameters<HopLink["requestSlot"]>): PendingCall<SlotReply> {
    return this.#slotClient.requestSlot(...args);
  }

  /** Sends a request for which a slot was granted. */
  run(address: string, req: HopRequest, onAlive: OnAlive): PendingCall<ForwardResult> {
    return this.#start(onAlive, async (signal, onInfo) => {
      const res = await this.#pool(address).request({
        method: req.method,
        path: req.path,
        headers: runHeaders(req),
        body: req.body,
        signal,
        onInfo,
        ...UNTIMED,
      });
      return readResult(res.statusCode, res.headers, res.body);
    });
  }

  /** Asks again for the answer of a run whose connection was lost, over a new one. */
  join(address: string, grant: GrantRef, onAlive: OnAlive): PendingCall<ForwardResult> {
    this.renew(address);
    return this.#start(onAlive, async (signal, onInfo) => {
      const res = await this.#pool(address).request({
        method: "POST",
        path: HOP.joinPath,
        headers: grantHeaders(grant),
        signal,
        onInfo,
        ...UNTIMED,
      });
      return readResult(res.statusCode, res.headers, res.body);
    });
  }

  /**
   * Leaves the kept connections to a sidecar behind: when one has gone silent, so
   * have the others likely, while new ones work. What is under way on them ends as it may.
   */
  renew(address: string): void {
    const pool = this.#pools.get(address);
    this.#pools.delete(address);
    void pool?.close().catch(() => undefined);
  }

  /** Closes every connection, forcibly. */
  async dispose(): Promise<void> {
    const pools = [...this.#pools.values()];
    this.#pools.clear();
    await Promise.all(pools.map((p) => p.destroy()));
  }

  #start<T>(
    onAlive: OnAlive,
    act: (signal: AbortSignal, onInfo: () => void) => Promise<T>,
  ): PendingCall<T> {
    const stop = new AbortController();
    const answer = act(stop.signal, onAlive).catch((err: unknown) => {
      throw isConnectError(err) ? new NotSentError(err) : err;
    });
    // Given up on by whoever asked: nobody is left to hear of its failure.
    answer.catch(() => undefined);
    return {
      answer,
      giveUp: () => {
        stop.abort();
      },
    };
  }

  #pool(address: string): Pool {
    let pool = this.#pools.get(address);
    if (!pool) {
      pool = new Pool(`http://${address}`, {
        connectTimeout: CONNECT_TIMEOUT_MS,
        keepAliveTimeout: IDLE_MS,
        keepAliveMaxTimeout: IDLE_MS,
        pipelining: 1,
      });
      this.#pools.set(address, pool);
    }
    return pool;
  }
}

/** Whoever asks keeps the time: silence means different things to an ask and to a run. */
const UNTIMED = { headersTimeout: 0, bodyTimeout: 0 } as const;

function grantHeaders({ attempt, target, grant }: GrantRef): string[] {
  return [HOP.attempt, attempt, HOP.target, target, HOP.grant, grant];
}

function runHeaders(req: HopRequest): string[] {
  const own = [
    ...grantHeaders(req),
    HOP.remaining,
    String(Math.max(1, Math.floor(req.remainingMs))),
    HOP.caller,
    req.callerService,
  ];
  const idempotent = req.idempotent ? [HOP.idempotent, "1"] : [];
  const echo = req.echoHeader === undefined ? [] : [HOP.echo, req.echoHeader];
  const length = req.bodyLength === undefined ? [] : ["content-length", String(req.bodyLength)];
  return [...req.headers, ...own, ...idempotent, ...echo, ...length];
}

async function readResult(
  status: number,
  headers: Record<string, string | string[] | undefined>,
  body: Readable,
): Promise<ForwardResult> {
  const answer = await readResponse(body, false);
  const result = hopResponse.read(status, headers, answer);
  if (!result) {
    throw new Error(`no sidecar's answer, status ${status}`);
  }
  return result;
}
