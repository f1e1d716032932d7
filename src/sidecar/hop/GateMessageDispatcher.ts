import type { TargetId } from "../../common/ids/TargetId.ts";
import type { ProtoTypes } from "../../common/rpc/ProtoTypes.ts";
import type { RetryCost } from "../routing/RetryCost.ts";
import type { SlotClient } from "./SlotClient.ts";
import type { GateLoad } from "./GateLoad.ts";
import { gateCodec } from "./gateCodec.ts";
import type { RetryTokenClient } from "./RetryTokenClient.ts";

type GateMessage = ProtoTypes["GateMessage"];

/** Receivers of gate messages: datagrams between sidecars about the load of targets, their slots and retry tokens. */
interface GateMessageDispatcherDeps {
  /** Requests slots from the gates of other sidecars. */
  readonly slotClient: Pick<SlotClient, "receive">;
  /** Receives slot requests for the gates of this sidecar. */
  readonly gates: { receive(message: GateMessage, from: string): void };
  /** Chooses targets by their load and health. */
  readonly policy: { recordLoad(target: TargetId, load: GateLoad): void };
  /** Borrows retry tokens from other sidecars. */
  readonly retryTokenClient: Pick<RetryTokenClient, "receive">;
  /** Lends retry tokens to other sidecars. */
  readonly budgets: { lend(costs: readonly RetryCost[], isNestedCall: boolean): boolean };
  /** Sends a datagram, which may be lost. */
  readonly sendGateMessage: (address: string, message: GateMessage) => void;
}

/**
 * Dispatches gate messages from other sidecars: slot requests and replies, load updates, and requests for retry tokens.
 */
export class GateMessageDispatcher {
  readonly #deps: GateMessageDispatcherDeps;

  constructor(deps: GateMessageDispatcherDeps) {
    this.#deps = deps;
  }

  /** Passes a message to its receiver; a request for retry tokens is replied to directly. */
  dispatch(message: GateMessage, from: string): void {
    const { slotClient, gates, policy, retryTokenClient, budgets, sendGateMessage } = this.#deps;
    const update = gateCodec.readLoadUpdate(message);
    const costs = gateCodec.readRetryTokenRequest(message);
    if (costs) {
      const isLent = budgets.lend(costs, message.loan_ask?.call === true);
      sendGateMessage(from, gateCodec.retryTokenReply(message.ask_id, isLent));
    } else if (message.loan) {
      retryTokenClient.receive(message);
    } else if (update) {
      policy.recordLoad(update.target, update.load);
    } else if (message.ask || message.withdrawn) {
      gates.receive(message, from);
    } else {
      slotClient.receive(message, from);
    }
  }
}
