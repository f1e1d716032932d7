import type { TargetId } from "../../common/ids/TargetId.ts";
import type { ProtoTypes } from "../../common/rpc/ProtoTypes.ts";
import type { RetryCost } from "../routing/RetryCost.ts";
import type { SlotClient } from "./SlotClient.ts";
import type { GateLoad } from "./GateLoad.ts";
import { gateWire } from "./gateWire.ts";
import type { RetryTokenClient } from "./RetryTokenClient.ts";

type GateMessage = ProtoTypes["GateMessage"];

/** For whom messages between sidecars are. */
interface GateMessagesDeps {
  /** Who asks gates elsewhere for slots. */
  readonly slotClient: Pick<SlotClient, "receive">;
  /** The gates here. */
  readonly gates: { receive(message: GateMessage, from: string): void };
  /** Who chooses targets, and hears how they are thought of. */
  readonly policy: { noteLoad(target: TargetId, load: GateLoad): void };
  /** Who borrows leave for retries, and who lends it. */
  readonly tokenClient: Pick<RetryTokenClient, "receive">;
  readonly budgets: { lend(costs: readonly RetryCost[]): boolean };
  /** Sends a message that may be lost. */
  readonly tell: (address: string, message: GateMessage) => void;
}

/** Hands what other sidecars say of slots, targets and retries to whom it is for. */
export class GateMessages {
  readonly #deps: GateMessagesDeps;

  constructor(deps: GateMessagesDeps) {
    this.#deps = deps;
  }

  take(message: GateMessage, from: string): void {
    const { slotClient, gates, policy, tokenClient, budgets, tell } = this.#deps;
    const news = gateWire.readNews(message);
    const costs = gateWire.readLoanAsk(message);
    if (costs) {
      tell(from, gateWire.loan(message.ask_id, budgets.lend(costs)));
    } else if (message.loan) {
      tokenClient.receive(message);
    } else if (news) {
      policy.noteLoad(news.target, news.load);
    } else if (message.ask || message.withdrawn) {
      gates.receive(message, from);
    } else {
      slotClient.receive(message, from);
    }
  }
}
