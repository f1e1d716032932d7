import { sampleOf } from "../../membership/sampleOf.ts";
import type { RetryCost } from "./RetryCost.ts";

/** Sidecars that are asked one after the other before a retry is given up. */
const MAX_LENDERS = 4;

interface RetryTokenBorrowerDeps {
  /** Addresses of sidecars that may lend. */
  readonly lenders: () => readonly string[];
  /** Asks one of them; false where it has no room, or does not answer soon. */
  readonly ask: (address: string, costs: readonly RetryCost[]) => Promise<boolean>;
  /** In [0, 1); tests pass a seeded one. */
  readonly random: () => number;
}

/**
 * Leave for retries from other sidecars' parts of the fleet's budget. Among hundreds each part is one or two extra requests in
 * a window: most go unused, while a sidecar that meets a gray target twice could not retry. A lender counts what it lends as
 * spent, so the sum stays within the budget: it is used at once or not at all, and a lender that restarts has no part of
 * its own for a window.
 */
export class RetryTokenBorrower {
  readonly #deps: RetryTokenBorrowerDeps;

  constructor(deps: RetryTokenBorrowerDeps) {
    this.#deps = deps;
  }

  /** Seeks leave for extra requests that cost so much; to be used at once. */
  async borrow(costs: readonly RetryCost[]): Promise<boolean> {
    const { lenders, ask, random } = this.#deps;
    for (const address of sampleOf(lenders(), MAX_LENDERS, random)) {
      if (await ask(address, costs)) {
        return true;
      }
    }
    return false;
  }
}
