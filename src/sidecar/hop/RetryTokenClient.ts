import { RequestIds } from "../../common/ids/RequestIds.ts";
import type { Clock } from "../../common/lifecycle/Clock.ts";
import type { Timer } from "../../common/lifecycle/Timer.ts";
import type { ProtoTypes } from "../../common/rpc/ProtoTypes.ts";
import type { RetryCost } from "../routing/RetryCost.ts";
import { gateCodec } from "./gateCodec.ts";

type GateMessage = ProtoTypes["GateMessage"];

/** Reply timeout, ms. It is short because the request to be retried waits, and other sidecars can be asked instead. */
const REPLY_TIMEOUT_MS = 40;

interface RetryTokenClientDeps {
  /** Sends a datagram, which may be lost. */
  readonly sendGateMessage: (address: string, message: GateMessage) => void;
  readonly clock: Clock;
}

/** A request for retry tokens that has had no reply yet. */
interface PendingRequest {
  readonly settle: (isGranted: boolean) => void;
  readonly timer: Timer;
}

/**
 * Borrows retry tokens from other sidecars by datagrams. If the reply is lost, the tokens are deducted from the
 * lender's retry budget without being used.
 */
export class RetryTokenClient {
  readonly #deps: RetryTokenClientDeps;
  readonly #pending = new Map<number, PendingRequest>();
  readonly #ids = new RequestIds();

  constructor(deps: RetryTokenClientDeps) {
    this.#deps = deps;
  }

  /**
   * Requests retry tokens from the sidecar at `address`. Resolves to false if its retry budget does not cover the
   * costs, or if it does not reply in time.
   */
  requestToken(
    address: string,
    costs: readonly RetryCost[],
    isNestedCall = false,
  ): Promise<boolean> {
    const id = this.#ids.next();
    return new Promise((resolve) => {
      const settle = (isGranted: boolean) => {
        this.#pending.get(id)?.timer.cancel();
        this.#pending.delete(id);
        resolve(isGranted);
      };
      const timer = this.#deps.clock.timeout(REPLY_TIMEOUT_MS, () => {
        settle(false);
      });
      this.#pending.set(id, { settle, timer });
      this.#deps.sendGateMessage(address, gateCodec.retryTokenRequest(id, costs, isNestedCall));
    });
  }

  /** Handles the reply to a request for retry tokens. */
  receive(message: GateMessage): void {
    const { ask_id: id, loan } = message;
    if (loan) {
      this.#pending.get(id)?.settle(loan.given);
    }
  }
}
