import { Pool, type Dispatcher } from "undici";
import { isConnectError } from "../../common/http/isConnectError.ts";
import type { ResponseLimits } from "../../common/document/ResponseLimits.ts";
import type { Clock } from "../../common/lifecycle/Clock.ts";
import type { IDisposable } from "../../common/lifecycle/IDisposable.ts";
import { SystemClock } from "../../common/lifecycle/SystemClock.ts";
import type { ForwardResult } from "../forwarding/ForwardResult.ts";
import { InterimLimit } from "../forwarding/InterimLimit.ts";
import { readResponse } from "../forwarding/readResponse.ts";
import { MemoryAccount } from "../memory/MemoryAccount.ts";
import type { SlotClient } from "./SlotClient.ts";
import type { SlotReply } from "./SlotReply.ts";
import { checkBeforeSending, type CheckedDispatchOptions } from "./checkBeforeSending.ts";
import { GrantExpiredError } from "./GrantExpiredError.ts";
import { HOP } from "./HOP.ts";
import type { GrantRef, HopLink } from "./HopLink.ts";
import type { HopRequest } from "./HopRequest.ts";
import { hopResponse } from "./hopResponse.ts";
import { NotSentError } from "./NotSentError.ts";
import type { PendingCall } from "./PendingCall.ts";

/** Connect timeout between sidecars, ms; connecting to another availability zone takes 3 ms. */
const CONNECT_TIMEOUT_MS = 500;

/** Idle connections are closed after this time, ms, which is before the other side closes them. */
const IDLE_TIMEOUT_MS = 20_000;

/**
 * Called when the other sidecar signals (by status 102) that it is still processing the request, and when a part of the
 * response has arrived: on a slow link, a response of some 100 KB takes longer than a connection may be silent.
 */
type OnHeartbeat = () => void;

/**
 * Factor on the limit on silence within a response: the sidecar beside the target enforces that limit, and its report,
 * a closed connection, should arrive before this sidecar assumes that the path to it is lost.
 */
const SILENCE_FACTOR = 2;

interface HopClientOptions {
  /** Limits on the bodies of responses; by default none. */
  readonly responseLimits?: () => ResponseLimits;
  /** Counts the responses that are being received; by default they are not counted. */
  readonly memory?: MemoryAccount;
  readonly clock?: Clock;
}

/** The connections to one sidecar, and the same with checks before a request is sent. */
interface HopPools {
  readonly pool: Pool;
  readonly checkedPool: Dispatcher;
}

/** Client for the sidecars of targets: requests slots by datagrams and forwards requests by HTTP. */
export class HopClient implements HopLink, IDisposable {
  readonly #slotClient: Pick<SlotClient, "requestSlot">;
  readonly #pools = new Map<string, HopPools>();

  readonly #options: HopClientOptions;
  readonly #memory: MemoryAccount;
  readonly #clock: Clock;

  /** @param slotClient sends the slot requests */
  constructor(slotClient: Pick<SlotClient, "requestSlot">, options: HopClientOptions = {}) {
    this.#slotClient = slotClient;
    this.#options = options;
    this.#memory = options.memory ?? new MemoryAccount();
    this.#clock = options.clock ?? SystemClock;
  }

  requestSlot(...args: Parameters<HopLink["requestSlot"]>): PendingCall<SlotReply> {
    return this.#slotClient.requestSlot(...args);
  }

  /** Sends a request for which a slot was granted; see {@link HopLink.run}. */
  run(address: string, req: HopRequest, onHeartbeat: OnHeartbeat): PendingCall<ForwardResult> {
    return this.#call(onHeartbeat, async (signal, onInfo) => {
      const { pool, checkedPool } = this.#poolsTo(address);
      const res = await (req.isGrantExpired ? checkedPool : pool).request({
        method: req.method,
        path: req.path,
        headers: runHeaders(req),
        body: req.body,
        signal,
        onInfo,
        ...NO_TIMEOUTS,
        ...checkGrant(req),
      });
      return this.#readResult(res, onHeartbeat);
    });
  }

  /** Reattaches to a run whose connection was lost; see {@link HopLink.reattach}. */
  reattach(address: string, grant: GrantRef, onHeartbeat: OnHeartbeat): PendingCall<ForwardResult> {
    this.retirePool(address);
    return this.#call(onHeartbeat, async (signal, onInfo) => {
      const res = await this.#poolsTo(address).pool.request({
        method: "POST",
        path: HOP.reattachPath,
        headers: grantHeaders(grant),
        signal,
        onInfo,
        ...NO_TIMEOUTS,
      });
      return this.#readResult(res, onHeartbeat);
    });
  }

  /**
   * Stops using the pooled connections to a sidecar: when one of them has gone silent, the others are likely to have
   * failed as well, while new connections work. Requests in flight on them continue.
   */
  retirePool(address: string): void {
    const pools = this.#pools.get(address);
    this.#pools.delete(address);
    void pools?.pool.close().catch(() => undefined);
  }

  /** Closes all connections and aborts the requests on them. */
  async dispose(): Promise<void> {
    const pools = [...this.#pools.values()];
    this.#pools.clear();
    await Promise.all(pools.map(({ pool }) => pool.destroy()));
  }

  #call<T>(
    onHeartbeat: OnHeartbeat,
    send: (signal: AbortSignal, onInfo: () => void) => Promise<T>,
  ): PendingCall<T> {
    const controller = new AbortController();
    const interim = new InterimLimit(this.#clock);
    const onInfo = () => {
      const exceeded = interim.count();
      if (exceeded) {
        controller.abort(exceeded);
      } else {
        onHeartbeat();
      }
    };
    const result = send(controller.signal, onInfo).catch((err: unknown) => {
      throw isConnectError(err) ? new NotSentError(err) : err;
    });
    // A cancelled call may have no handler left for the rejection.
    result.catch(() => undefined);
    return {
      result,
      cancel: () => {
        controller.abort();
      },
    };
  }

  async #readResult(
    { statusCode, headers, body }: Dispatcher.ResponseData,
    onPart: OnHeartbeat,
  ): Promise<ForwardResult> {
    const { silenceMs, maxBytes } = this.#options.responseLimits?.() ?? {};
    const response = await readResponse(body, {
      bufferAll: false,
      onPart,
      limits: { maxBytes, silenceMs: silenceMs && silenceMs * SILENCE_FACTOR },
      memory: this.#memory,
      clock: this.#clock,
    });
    const result = hopResponse.read(statusCode, headers, response);
    if ("ended" in response && !(result && "body" in result)) {
      response.body.destroy();
    }
    if (!result) {
      throw new Error(`no sidecar's answer, status ${statusCode}`);
    }
    return result;
  }

  #poolsTo(address: string): HopPools {
    let pools = this.#pools.get(address);
    if (!pools) {
      const pool = new Pool(`http://${address}`, {
        connectTimeout: CONNECT_TIMEOUT_MS,
        keepAliveTimeout: IDLE_TIMEOUT_MS,
        keepAliveMaxTimeout: IDLE_TIMEOUT_MS,
        pipelining: 1,
      });
      pools = { pool, checkedPool: pool.compose(checkBeforeSending) };
      this.#pools.set(address, pools);
    }
    return pools;
  }
}

/** Checks the grant when the request is written: opening a connection may take longer than it is valid. */
function checkGrant({ isGrantExpired }: HopRequest): CheckedDispatchOptions {
  return {
    checkBeforeSending: () => (isGrantExpired?.() === true ? new GrantExpiredError() : undefined),
  };
}

/** Disables undici's timeouts: the caller detects silence itself, with a different timeout for each kind of call. */
const NO_TIMEOUTS = { headersTimeout: 0, bodyTimeout: 0 } as const;

function grantHeaders({ attempt, target, grant }: GrantRef): string[] {
  return [HOP.attempt, attempt, HOP.target, target, HOP.grant, grant];
}

function runHeaders(req: HopRequest): string[] {
  const hopHeaders = [
    ...grantHeaders(req),
    HOP.remaining,
    String(Math.max(1, Math.floor(req.remainingMs))),
    HOP.caller,
    req.callerService,
  ];
  const idempotent = req.idempotent ? [HOP.idempotent, "1"] : [];
  const age = req.ageMs === undefined ? [] : [HOP.age, String(Math.round(req.ageMs))];
  const dispatch = req.dispatch === undefined ? [] : [HOP.dispatch, req.dispatch];
  const echo = req.echoHeader === undefined ? [] : [HOP.echo, req.echoHeader];
  const workspace = req.workspace === undefined ? [] : [HOP.workspace, req.workspace];
  const length = req.bodyLength === undefined ? [] : ["content-length", String(req.bodyLength)];
  return [
    ...req.headers,
    ...hopHeaders,
    ...idempotent,
    ...age,
    ...dispatch,
    ...echo,
    ...workspace,
    ...length,
  ];
}
