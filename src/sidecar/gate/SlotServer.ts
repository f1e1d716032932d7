import type bunyan from "bunyan";
import type { GrantId } from "../../common/ids/GrantId.ts";
import type { TargetId } from "../../common/ids/TargetId.ts";
import type { Clock } from "../../common/lifecycle/Clock.ts";
import type { ProtoTypes } from "../../common/rpc/ProtoTypes.ts";
import type { SidecarMetrics } from "../admin/SidecarMetrics.ts";
import { RETRY_AFTER_MS } from "../forwarding/RETRY_AFTER_MS.ts";
import type { SlotRequest } from "../hop/SlotRequest.ts";
import type { SlotReply } from "../hop/SlotReply.ts";
import type { GateLoad } from "../hop/GateLoad.ts";
import { gateCodec } from "../hop/gateCodec.ts";
import { RefusalReason } from "../hop/RefusalReason.ts";
import type { MemoryAccount } from "../memory/MemoryAccount.ts";
import type { TargetGates } from "./TargetGates.ts";

type GateMessage = ProtoTypes["GateMessage"];

/** Reply to a request for a target that is not local. */
const NO_TARGET_REPLY: SlotReply = {
  kind: "refused",
  reason: RefusalReason.NoTarget,
  retryAfterMs: RETRY_AFTER_MS,
  load: {
    slots: 0,
    busy: 0,
    queued: 0,
    serviceMs: 0,
    pace: 1,
    risk: 0,
    suspect: false,
    ejected: false,
    wantsWork: false,
  },
};

/** Delays after which an unused grant is sent again in case it was lost, ms; the grant expires after 250 ms. */
const GRANT_RESEND_DELAYS_MS = [60, 140];

/** How long a request is retained after its reply, ms: the sender repeats it if the reply was lost. */
const RETENTION_MS = 1000;

/** Least interval between removals of old entries, ms. */
const SWEEP_MS = 500;

/** Sidecars that sent a slot request within this time, ms, receive load updates. */
const SUBSCRIPTION_MS = 10_000;

/**
 * Maximum number of sidecars that receive a load update; the others learn the load from the reply to a slot request.
 */
const MAX_SUBSCRIBERS = 128;

/** Number of sidecars that are told that a target wants work: any few of them soon have a request for it. */
const MAX_DEMAND_RECEIVERS = 16;

interface SlotServerDeps {
  readonly gates: Pick<TargetGates, "get">;
  readonly metrics: Pick<SidecarMetrics, "countRefusal" | "countLimitWait" | "observeQueueWait">;
  /** Sends a datagram, which may be lost. */
  readonly sendGateMessage: (address: string, message: GateMessage) => void;
  /** Says whether this sidecar has memory for further runs; by default it always has. */
  readonly memory?: Pick<MemoryAccount, "refuses">;
  readonly clock: Clock;
  readonly log: bunyan;
}

/** A slot request that was received. */
interface Entry {
  readonly request: SlotRequest;
  readonly receivedAt: number;
  /** The last message sent about it; undefined before the first one. */
  lastMessage: GateMessage | undefined;
  /** It was granted or refused. */
  isSettled: boolean;
  /** When the entry is removed, by the clock, ms. */
  expiresAt: number;
  withdraw: () => void;
}

/**
 * Receives slot requests from other sidecars and from this one, passes them to the gates, and sends the replies. The
 * last message is sent again for a repeated request. Sidecars that sent a request recently get an update when the
 * health state of a target changes, so that they need not learn it from a refusal.
 */
export class SlotServer {
  readonly #deps: SlotServerDeps;
  readonly #entries = new Map<string, Entry>();
  /** Withdrawn requests that have not arrived, overtaken by their withdrawals; when these arrived, ms, by key. */
  readonly #withdrawnEarly = new Map<string, number>();
  /** When each sidecar last sent a request, ms, by address; the most recent is last. */
  readonly #subscribers = new Map<string, number>();
  #sweptAt = -Infinity;

  constructor(deps: SlotServerDeps) {
    this.#deps = deps;
  }

  /** Handles a message from a sidecar. */
  receive(message: GateMessage, from: string): void {
    const key = `${from}/${message.ask_id}`;
    if (message.withdrawn) {
      this.#onWithdrawn(key);
      return;
    }
    const request = gateCodec.readSlotRequest(message);
    if (!request || this.#withdrawnEarly.delete(key)) {
      return;
    }
    const known = this.#entries.get(key);
    if (known && isSameRequest(known.request, request)) {
      if (known.lastMessage) {
        this.#deps.sendGateMessage(from, known.lastMessage);
      }
      return;
    }
    // A request with the same id that differs is one of the sender's previous incarnation.
    known?.withdraw();
    this.#accept(key, request, message.ask_id, from);
  }

  /** Sends the load of a target to all recent requesters. */
  publishLoad(target: TargetId, load: GateLoad): void {
    this.#publish(target, load, MAX_SUBSCRIBERS);
  }

  /** Sends the load of a target that wants work, or no longer does, to the most recent requesters. */
  publishDemand(target: TargetId, load: GateLoad): void {
    this.#publish(target, load, MAX_DEMAND_RECEIVERS);
  }

  #onWithdrawn(key: string): void {
    const entry = this.#entries.get(key);
    if (entry) {
      entry.withdraw();
      this.#entries.delete(key);
    } else {
      const now = this.#deps.clock.now();
      this.#sweep(now);
      this.#withdrawnEarly.set(key, now);
    }
  }

  #publish(target: TargetId, load: GateLoad, maxReceivers: number): void {
    const since = this.#deps.clock.now() - SUBSCRIPTION_MS;
    const update = gateCodec.loadUpdate(target, load);
    const recent = [...this.#subscribers].filter(([, at]) => at >= since).slice(-maxReceivers);
    for (const [address] of recent) {
      this.#deps.sendGateMessage(address, update);
    }
  }

  #accept(key: string, request: SlotRequest, id: number, from: string): void {
    const { clock } = this.#deps;
    const receivedAt = clock.now();
    this.#sweep(receivedAt);
    this.#subscribers.delete(from);
    this.#subscribers.set(from, receivedAt);
    const entry: Entry = {
      request,
      receivedAt,
      lastMessage: undefined,
      isSettled: false,
      expiresAt: receivedAt + request.remainingMs + RETENTION_MS,
      withdraw: () => undefined,
    };
    this.#entries.set(key, entry);
    const send = (message: GateMessage) => {
      entry.lastMessage = message;
      this.#deps.sendGateMessage(from, message);
    };
    const onReply = (reply: SlotReply) => {
      entry.isSettled = true;
      entry.expiresAt = clock.now() + RETENTION_MS;
      this.#recordReply(entry, reply);
      send(gateCodec.reply(id, reply));
      if (reply.kind === "granted") {
        this.#scheduleGrantResends(entry, reply.grant, from);
      }
    };
    const gate = this.#deps.gates.get(request.target);
    if (!gate) {
      onReply(NO_TARGET_REPLY);
      return;
    }
    if (this.#deps.memory?.refuses(request)) {
      const { load } = gate;
      // Sidecars of earlier releases ignore a refusal with a reason that they do not know.
      const reason = RefusalReason.Full;
      onReply({ kind: "refused", reason, retryAfterMs: RETRY_AFTER_MS, load });
      return;
    }
    const handle = gate.requestSlot(request, onReply);
    entry.withdraw = () => {
      handle.withdraw();
    };
    if (handle.isQueued) {
      const { load } = gate;
      this.#recordQueued(request, load);
      send(gateCodec.queued(id, load));
    }
  }

  #recordQueued({ attempt, target }: SlotRequest, load: GateLoad): void {
    const { metrics, log } = this.#deps;
    if ((load.limitWaitMs ?? 0) > 0) {
      metrics.countLimitWait();
      log.info({ attempt, target, load }, "slot request waits for limit");
    }
  }

  #scheduleGrantResends({ request, lastMessage }: Entry, grant: GrantId, from: string): void {
    for (const ms of GRANT_RESEND_DELAYS_MS) {
      this.#deps.clock.after(ms, () => {
        if (lastMessage && this.#isPending(request.target, grant)) {
          this.#deps.sendGateMessage(from, lastMessage);
        }
      });
    }
  }

  #isPending(target: TargetId, grant: GrantId): boolean {
    return this.#deps.gates.get(target)?.isPending(grant) ?? false;
  }

  #recordReply({ request, receivedAt }: Entry, reply: SlotReply): void {
    const { metrics, clock, log } = this.#deps;
    if (reply.kind === "granted") {
      metrics.observeQueueWait(clock.now() - receivedAt);
      return;
    }
    const { reason, load } = reply;
    metrics.countRefusal(reason);
    const { attempt, target } = request;
    log.info({ attempt, target, reason, load }, "slot refused");
  }

  #sweep(now: number): void {
    if (now - this.#sweptAt < SWEEP_MS) {
      return;
    }
    this.#sweptAt = now;
    for (const [key, entry] of this.#entries) {
      if (entry.expiresAt <= now) {
        this.#entries.delete(key);
        if (!entry.isSettled) {
          entry.withdraw();
        }
      }
    }
    for (const [key, at] of this.#withdrawnEarly) {
      if (at < now - RETENTION_MS) {
        this.#withdrawnEarly.delete(key);
      }
    }
    for (const [address, at] of this.#subscribers) {
      if (at < now - SUBSCRIPTION_MS) {
        this.#subscribers.delete(address);
      }
    }
  }
}

function isSameRequest(a: SlotRequest, b: SlotRequest): boolean {
  return a.attempt === b.attempt && a.target === b.target;
}
