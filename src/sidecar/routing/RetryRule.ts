import type bunyan from "bunyan";
import type { Clock } from "../../common/lifecycle/Clock.ts";
import { AttemptOutcome } from "../detection/AttemptOutcome.ts";
import type { ForwardResult } from "../forwarding/ForwardResult.ts";
import type { DispatchState } from "./DispatchState.ts";
import type { ExtraRunCause } from "./ExtraRunCause.ts";
import { isStream } from "./isStream.ts";
import type { RetryBudgets } from "./RetryBudgets.ts";
import type { RetryTokenBorrower } from "./RetryTokenBorrower.ts";

interface RetryRuleDeps {
  readonly budgets: RetryBudgets;
  /** Borrows retry tokens from other sidecars; without it, none are borrowed. */
  readonly borrower?: Pick<RetryTokenBorrower, "borrow">;
  /** Called for each retry or hedge that is not sent because the service's retry budget is used up. */
  readonly onRetryDenied?: (service: string) => void;
  readonly clock: Clock;
  readonly log: bunyan;
}

/**
 * Grants of one request that may expire before the request is refused. The path to the targets is too slow by then, and
 * sending the request again would only slow it further for other requests.
 */
const MAX_EXPIRED_TOTAL = 6;

/** Maximum number of times that one request is sent to a target which then refuses to run it. */
const MAX_REFUSED_SENDS = 4;

/**
 * Decides whether a request may be sent again. An idempotent request may be after any failure, one that is not
 * idempotent only after a not-run, since it could run twice otherwise. Retries stay within the route's attempts, the
 * deadline and the service's retry budget.
 */
export class RetryRule {
  readonly #deps: RetryRuleDeps;

  constructor(deps: RetryRuleDeps) {
    this.#deps = deps;
  }

  /** Whether to send the request again after `last`; takes the retry token that this needs. */
  async mayRetry(state: DispatchState, last: ForwardResult): Promise<boolean> {
    const { req } = state;
    if (req.disconnected.aborted || this.#deps.clock.now() >= req.deadlineAt) {
      return false;
    }
    if (!state.guard.mayRetry) {
      return false;
    }
    switch (last.verdict.kind) {
      case "not-run":
        return last.verdict.status === undefined && this.#mayResend(state, last);
      case "in-progress":
        return false;
      case "may-have-run":
        return this.mayRepeat(state) && this.#takeRetryToken(state);
      case "done":
        return (
          last.outcome === AttemptOutcome.Failed &&
          this.mayRepeat(state) &&
          this.#takeRetryToken(state)
        );
    }
  }

  /**
   * Whether the request can be retried if its next run fails. Borrowed retry tokens are not counted: they are too
   * uncertain to justify sending the request to a gray target.
   */
  hasSpareAttempt({ route, req, sends, isNestedCall }: DispatchState): boolean {
    const isRepeatable = route.idempotent && !isStream(req.body);
    return (
      isRepeatable && sends + 1 < route.attempts && this.#deps.budgets.canRetry(route, isNestedCall)
    );
  }

  /** Whether the request may be sent to a further target although it may have run. */
  mayRepeat({ route, req, sends }: DispatchState): boolean {
    return route.idempotent && sends < route.attempts && !isStream(req.body);
  }

  /**
   * Whether to send the request again after a not-run. If the target itself refused it, the request reached
   * the target, so this takes a retry token.
   */
  async #mayResend(state: DispatchState, last: ForwardResult): Promise<boolean> {
    if (isStream(state.req.body)) {
      return false;
    }
    if (last.outcome !== AttemptOutcome.Shed) {
      return state.expired <= MAX_EXPIRED_TOTAL;
    }
    state.refusedSends += 1;
    return state.refusedSends <= MAX_REFUSED_SENDS && this.#takeRetryToken(state);
  }

  /**
   * Takes a retry token for the service from this sidecar's budget, or borrows from another sidecar; false
   * and reported if there is none.
   */
  async #takeRetryToken(state: DispatchState): Promise<boolean> {
    const { budgets, borrower, log } = this.#deps;
    const { route, req, isNestedCall } = state;
    if (budgets.tryRetry(route, isNestedCall)) {
      return true;
    }
    const costs = budgets.costs(route);
    if (await borrower?.borrow(costs, isNestedCall)) {
      log.info({ attempt: req.attempt, costs }, "retry tokens borrowed");
      return !req.disconnected.aborted;
    }
    this.reportDenied(state, "retry");
    return false;
  }

  /** Logs and counts that the retry budget allows no further run. */
  reportDenied({ route, req }: DispatchState, cause: ExtraRunCause): void {
    const { budgets } = this.#deps;
    const service = route.service.name;
    this.#deps.onRetryDenied?.(service);
    const { attempt } = req;
    this.#deps.log.info({ attempt, service, cause, budgets: budgets.usage }, "no retry left");
  }
}
