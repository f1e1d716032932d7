import type { OperatorDocument } from "../../common/document/OperatorDocument.ts";
import type { Workspace } from "../../common/document/Workspace.ts";
import type { FairShareRule } from "./FairShareRule.ts";

/** Weight of requests without a workspace, and of workspaces for which the document gives neither weight nor quota. */
const DEFAULT_WEIGHT = 1;

/** Least weight used, so that slot time divided by a weight stays within the range in which numbers add up exactly. */
const MIN_WEIGHT = 0.001;

/** Looks up the weights of workspaces in the document in force. */
export class WorkspaceWeights implements FairShareRule {
  readonly #read: () => OperatorDocument["workspaces"];
  #weights = new Map<string, number>();
  /** The workspaces from which the weights were taken. */
  #indexed: OperatorDocument["workspaces"];

  /** @param read returns the workspaces of the document in force */
  constructor(read: () => OperatorDocument["workspaces"]) {
    this.#read = read;
  }

  weightOf(workspace: string): number {
    const workspaces = this.#read();
    if (workspaces !== this.#indexed) {
      this.#indexed = workspaces;
      this.#weights = new Map(workspaces?.map((w) => [w.name, weightIn(w)]));
    }
    return this.#weights.get(workspace) ?? DEFAULT_WEIGHT;
  }
}

function weightIn({ weight, quota }: Workspace): number {
  return Math.max(MIN_WEIGHT, weight ?? quota?.ratePerS ?? DEFAULT_WEIGHT);
}
