import type { OperatorDocument } from "../../../common/document/OperatorDocument.ts";

/** The quota of a workspace over the whole fleet. */
interface Quota {
  readonly ratePerS: number;
  readonly burst?: number | undefined;
}

/** Finds quotas in the document in force. Only the workspaces that were looked up are kept, since there may be very many. */
export class QuotaLookup {
  readonly #document: () => OperatorDocument | undefined;
  #known: OperatorDocument | undefined;
  readonly #quotas = new Map<string, Quota | undefined>();

  /** @param document returns the document in force; undefined before the first one */
  constructor(document: () => OperatorDocument | undefined) {
    this.#document = document;
  }

  /** Undefined if there is no such workspace, or it has no quota. */
  of(workspace: string): Quota | undefined {
    const document = this.#document();
    if (document !== this.#known) {
      this.#known = document;
      this.#quotas.clear();
    }
    if (!this.#quotas.has(workspace)) {
      const found = document?.workspaces?.find((w) => w.name === workspace);
      this.#quotas.set(workspace, found?.quota);
    }
    return this.#quotas.get(workspace);
  }
}
