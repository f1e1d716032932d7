import { sampleOf } from "../../membership/sampleOf.ts";
import type { RetryCost } from "./RetryCost.ts";

/** Maximum number of sidecars asked, one after the other, before the retry is abandoned. */
const MAX_LENDERS = 4;

interface RetryTokenBorrowerDeps {
  /** Addresses of sidecars that may lend retry tokens. */
  readonly lenders: () => readonly string[];
  /** Requests a retry token from one sidecar; false if its budget does not allow it, or it does not reply in time. */
  readonly requestToken: (
    address: string,
    costs: readonly RetryCost[],
    isNestedCall: boolean,
  ) => Promise<boolean>;
  /** Returns a number in [0, 1); tests pass a seeded generator. */
  readonly random: () => number;
}

/**
 * Borrows retry tokens from other sidecars' shares of the fleet's retry budget. Among hundreds of sidecars each share
 * is one or two extra requests per window: most go unused, while a sidecar that meets a gray target twice could not
 * retry. The total stays within the budget: a lender counts a token as spent when it lends it, a token is used at once
 * or not at all, and a lender that restarts has no share of the slack for one window.
 */
export class RetryTokenBorrower {
  readonly #deps: RetryTokenBorrowerDeps;

  constructor(deps: RetryTokenBorrowerDeps) {
    this.#deps = deps;
  }

  /** Tries to borrow retry tokens for the given costs, to be used at once; false if no sidecar lends them. */
  async borrow(costs: readonly RetryCost[], isNestedCall = false): Promise<boolean> {
    const { lenders, requestToken, random } = this.#deps;
    for (const address of sampleOf(lenders(), MAX_LENDERS, random)) {
      if (await requestToken(address, costs, isNestedCall)) {
        return true;
      }
    }
    return false;
  }
}
