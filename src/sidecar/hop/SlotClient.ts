import type { Clock } from "../../common/lifecycle/Clock.ts";
import type { Timer } from "../../common/lifecycle/Timer.ts";
import type { ProtoTypes } from "../../common/rpc/ProtoTypes.ts";
import type { SlotRequest } from "./SlotRequest.ts";
import type { SlotReply } from "./SlotReply.ts";
import type { GateLoad } from "./GateLoad.ts";
import { gateWire } from "./gateWire.ts";
import type { PendingCall } from "./PendingCall.ts";

type GateMessage = ProtoTypes["GateMessage"];

/** An ask of which nothing is heard is sent again after this long, ms: datagrams are lost. Another target is asked meanwhile. */
const RESEND_MS = 60;

/** Times that an ask is sent, at most. */
const SENDS = 3;

/** A grant may be told of again for this long, ms: twice, and over a slow path. */
const TOLD_AGAIN_MS = 2000;

interface SlotClientDeps {
  /** Sends a message that may be lost. */
  readonly tell: (address: string, message: GateMessage) => void;
  readonly clock: Clock;
}

/** An ask of which the last word has not come. */
interface OpenAsk {
  readonly onQueued: (load: GateLoad) => void;
  readonly settle: (reply: SlotReply) => void;
  timer: Timer | undefined;
}

/**
 * Asks gates for slots by datagrams: an ask and its answer are some 60 bytes each, a sixth of what they
 * are as HTTP, and none waits for a connection to open. Lost ones are sent again, or do no harm: a
 * grant that nobody waits for any more is given back.
 */
export class SlotClient {
  readonly #deps: SlotClientDeps;
  readonly #open = new Map<number, OpenAsk>();
  /** Asks whose grants were passed on lately. */
  readonly #granted = new Set<number>();
  #nextId = 1;

  constructor(deps: SlotClientDeps) {
    this.#deps = deps;
  }

  /** Asks the gate at `address`; see {@link HopLink.requestSlot}. */
  requestSlot(
    address: string,
    request: SlotRequest,
    onQueued: OpenAsk["onQueued"],
  ): PendingCall<SlotReply> {
    const id = this.#nextId;
    this.#nextId = (this.#nextId % 0xffff_ffff) + 1;
    const message = gateWire.ask(id, request);
    const answer = new Promise<SlotReply>((settle) => {
      this.#open.set(id, { onQueued, settle, timer: undefined });
    });
    this.#send(id, address, message, 1);
    return {
      answer,
      giveUp: () => {
        if (this.#end(id)) {
          this.#deps.tell(address, gateWire.withdrawn(id));
        }
      },
    };
  }

  /** Takes what a gate says of an ask. */
  receive(message: GateMessage, from: string): void {
    const { ask_id: id } = message;
    const open = this.#open.get(id);
    const reply = gateWire.readReply(message);
    const queuedAt = gateWire.readQueued(message);
    if (reply && this.#end(id)) {
      this.#rememberGrant(id, reply);
      open?.settle(reply);
    } else if (reply?.kind === "granted" && !this.#granted.has(id)) {
      this.#deps.tell(from, gateWire.withdrawn(id));
    } else if (queuedAt && open) {
      open.timer?.cancel();
      open.onQueued(queuedAt);
    }
  }

  /** A gate tells of a grant again until it is taken; given back then, the request would come in vain. */
  #rememberGrant(id: number, { kind }: SlotReply): void {
    if (kind === "granted") {
      this.#granted.add(id);
      this.#deps.clock.after(TOLD_AGAIN_MS, () => {
        this.#granted.delete(id);
      });
    }
  }

  #send(id: number, address: string, message: GateMessage, sends: number): void {
    const open = this.#open.get(id);
    if (!open) {
      return;
    }
    this.#deps.tell(address, message);
    if (sends < SENDS) {
      open.timer = this.#deps.clock.after(RESEND_MS, () => {
        this.#send(id, address, message, sends + 1);
      });
    }
  }

  /** True when it was open until now. */
  #end(id: number): boolean {
    this.#open.get(id)?.timer?.cancel();
    return this.#open.delete(id);
  }
}
