import { RequestIds } from "../../common/ids/RequestIds.ts";
import type { Clock } from "../../common/lifecycle/Clock.ts";
import type { Timer } from "../../common/lifecycle/Timer.ts";
import type { ProtoTypes } from "../../common/rpc/ProtoTypes.ts";
import type { SlotRequest } from "./SlotRequest.ts";
import type { SlotReply } from "./SlotReply.ts";
import type { GateLoad } from "./GateLoad.ts";
import { gateCodec } from "./gateCodec.ts";
import type { PendingCall } from "./PendingCall.ts";

type GateMessage = ProtoTypes["GateMessage"];

/**
 * Time after which a request without a reply is sent again, ms, as datagrams may be lost. Meanwhile another target is
 * asked.
 */
const RESEND_MS = 60;

/** Maximum number of times that a request is sent. */
const MAX_SENDS = 3;

/** Period during which a gate may send a grant again, ms: covers two more copies, also over a slow network. */
const GRANT_RESEND_PERIOD_MS = 2000;

interface SlotClientDeps {
  /** Sends a datagram, which may be lost. */
  readonly sendGateMessage: (address: string, message: GateMessage) => void;
  readonly clock: Clock;
}

/** A slot request that has not been granted or refused yet. */
interface PendingRequest {
  readonly onQueued: (load: GateLoad) => void;
  readonly settle: (reply: SlotReply) => void;
  timer: Timer | undefined;
}

/**
 * Requests slots from gates by datagrams. A request and its reply are about 60 bytes each, a sixth of their size over
 * HTTP, and need not wait for a connection to open. A lost request or reply is covered by sending the request again; a
 * lost withdrawal by returning a grant that no request is waiting for.
 */
export class SlotClient {
  readonly #deps: SlotClientDeps;
  readonly #pending = new Map<number, PendingRequest>();
  /** Ids of requests that were granted recently. */
  readonly #recentGrants = new Set<number>();
  readonly #ids = new RequestIds();

  constructor(deps: SlotClientDeps) {
    this.#deps = deps;
  }

  /** Sends a slot request to the gate at `address`; see {@link HopLink.requestSlot}. */
  requestSlot(
    address: string,
    request: SlotRequest,
    onQueued: PendingRequest["onQueued"],
  ): PendingCall<SlotReply> {
    const id = this.#ids.next();
    const message = gateCodec.slotRequest(id, request);
    const result = new Promise<SlotReply>((settle) => {
      this.#pending.set(id, { onQueued, settle, timer: undefined });
    });
    this.#send(id, address, message, 1);
    return {
      result,
      cancel: () => {
        if (this.#remove(id)) {
          this.#deps.sendGateMessage(address, gateCodec.withdrawn(id));
        }
      },
    };
  }

  /** Handles a gate's message about a slot request. */
  receive(message: GateMessage, from: string): void {
    const { ask_id: id } = message;
    const pending = this.#pending.get(id);
    const reply = gateCodec.readReply(message);
    const queuedLoad = gateCodec.readQueued(message);
    if (reply && this.#remove(id)) {
      this.#rememberGrant(id, reply);
      pending?.settle(reply);
    } else if (reply?.kind === "granted" && !this.#recentGrants.has(id)) {
      this.#deps.sendGateMessage(from, gateCodec.withdrawn(id));
    } else if (queuedLoad && pending) {
      pending.timer?.cancel();
      pending.onQueued(queuedLoad);
    }
  }

  /**
   * Remembers a grant, which the gate sends again until the slot is used. Returning the repeated grant would release
   * the slot before the request arrives.
   */
  #rememberGrant(id: number, { kind }: SlotReply): void {
    if (kind === "granted") {
      this.#recentGrants.add(id);
      this.#deps.clock.after(GRANT_RESEND_PERIOD_MS, () => {
        this.#recentGrants.delete(id);
      });
    }
  }

  #send(id: number, address: string, message: GateMessage, sent: number): void {
    const pending = this.#pending.get(id);
    if (!pending) {
      return;
    }
    this.#deps.sendGateMessage(address, message);
    if (sent < MAX_SENDS) {
      pending.timer = this.#deps.clock.after(RESEND_MS, () => {
        this.#send(id, address, message, sent + 1);
      });
    }
  }

  /** Removes a pending request; returns whether it was still pending. */
  #remove(id: number): boolean {
    this.#pending.get(id)?.timer?.cancel();
    return this.#pending.delete(id);
  }
}
