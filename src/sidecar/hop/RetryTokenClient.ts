import type { Clock } from "../../common/lifecycle/Clock.ts";
import type { Timer } from "../../common/lifecycle/Timer.ts";
import type { ProtoTypes } from "../../common/rpc/ProtoTypes.ts";
import type { RetryCost } from "../routing/RetryCost.ts";
import { gateWire } from "./gateWire.ts";

type GateMessage = ProtoTypes["GateMessage"];

/** A sidecar that has not answered by then is passed over, ms: a request waits meanwhile, and there are others. */
const SILENCE_MS = 40;

interface RetryTokenClientDeps {
  /** Sends a message that may be lost. */
  readonly tell: (address: string, message: GateMessage) => void;
  readonly clock: Clock;
}

/** A loan that was asked for, and not answered yet. */
interface OpenLoan {
  readonly settle: (isGiven: boolean) => void;
  readonly timer: Timer;
}

/** Asks other sidecars by datagrams for leave to retry; a loan whose answer is lost is spent for nothing. */
export class RetryTokenClient {
  readonly #deps: RetryTokenClientDeps;
  readonly #open = new Map<number, OpenLoan>();
  #nextId = 1;

  constructor(deps: RetryTokenClientDeps) {
    this.#deps = deps;
  }

  /** Asks the sidecar at `address`; false where it has no room, or does not answer soon. */
  ask(address: string, costs: readonly RetryCost[]): Promise<boolean> {
    const id = this.#nextId;
    this.#nextId = (this.#nextId % 0xffff_ffff) + 1;
    return new Promise((resolve) => {
      const settle = (isGiven: boolean) => {
        this.#open.get(id)?.timer.cancel();
        this.#open.delete(id);
        resolve(isGiven);
      };
      const timer = this.#deps.clock.after(SILENCE_MS, () => {
        settle(false);
      });
      this.#open.set(id, { settle, timer });
      this.#deps.tell(address, gateWire.loanAsk(id, costs));
    });
  }

  /** Takes what a sidecar says to a loan that was asked of it. */
  receive(message: GateMessage): void {
    const { ask_id: id, loan } = message;
    if (loan) {
      this.#open.get(id)?.settle(loan.given);
    }
  }
}
