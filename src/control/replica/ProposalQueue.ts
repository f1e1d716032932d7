import type { ConfigState } from "../log/ConfigState.ts";
import type { LeaderTerm } from "./LeaderTerm.ts";
import type { ProposalDecision } from "./ProposalDecision.ts";
import type { ProposalOutcome } from "./ProposalOutcome.ts";

interface ProposalQueueDeps {
  /** The current term of a leader that holds its lease; undefined otherwise. */
  readonly leasedTerm: () => LeaderTerm | undefined;
  readonly lastIndex: () => number;
  /** The committed state. */
  readonly state: () => ConfigState;
}

/** Runs a leader's proposals one at a time. */
export class ProposalQueue {
  readonly #deps: ProposalQueueDeps;
  #last: Promise<unknown> = Promise.resolve();

  constructor(deps: ProposalQueueDeps) {
    this.#deps = deps;
  }

  /** Proposes the change that `decide` returns for the state after all earlier proposals. */
  propose<T>(decide: (current: ConfigState) => ProposalDecision<T>): Promise<ProposalOutcome<T>> {
    const proposal = this.#last.then(() => this.#run(decide));
    this.#last = proposal.catch(() => undefined);
    return proposal;
  }

  async #run<T>(
    decide: (current: ConfigState) => ProposalDecision<T>,
  ): Promise<ProposalOutcome<T>> {
    const { leasedTerm, lastIndex, state } = this.#deps;
    const term = leasedTerm();
    if (!term) {
      return { kind: "not-leader" };
    }
    // An earlier proposal that timed out may still be pending; its outcome must be known first.
    if (!(await term.waitForCommit(lastIndex()))) {
      return { kind: "unknown" };
    }
    const decision = decide(state());
    if ("answer" in decision) {
      // A replica that lost its leadership while suspended may have decided on an outdated state.
      return (await term.confirmLeadership())
        ? { kind: "answered", answer: decision.answer }
        : { kind: "unknown" };
    }
    const { propose: change } = decision;
    const index = term.append({ kind: "change", change });
    const isCommitted = index !== undefined && (await term.waitForCommit(index));
    return isCommitted ? { kind: "committed", version: change.version } : { kind: "unknown" };
  }
}
