import { DocumentHistory } from "../../common/document/DocumentHistory.ts";
import type { OperatorDocument } from "../../common/document/OperatorDocument.ts";
import type { AcceptedChange } from "./AcceptedChange.ts";
import type { ConfigSnapshot } from "./ConfigSnapshot.ts";

/**
 * Accepted orders remembered, so that a resend of one is acknowledged again and
 * not refused. A day of the two-year size has 31,000 changes; operators' tools
 * send again within seconds, so the last few thousand are hours' worth.
 */
const REMEMBERED_ORDERS = 4096;

/** The state machine over the replicated log: the document in force, and which orders led to it. */
export class ConfigState {
  readonly history = new DocumentHistory();
  readonly #accepted: Map<string, number>;

  constructor(from?: ConfigSnapshot) {
    this.#accepted = new Map(from?.accepted);
    if (from) {
      this.history.take({ kind: "whole", version: from.version, document: from.document });
    }
  }

  /** Version in force; 0 before any. */
  get version(): number {
    return this.history.version;
  }

  get document(): OperatorDocument {
    return this.history.document;
  }

  /** The version that an accepted order became, while it is remembered. */
  versionOf(orderId: string): number | undefined {
    return this.#accepted.get(orderId);
  }

  /** Takes in the next committed change. */
  apply({ version, orderId, edit }: AcceptedChange): void {
    this.history.take({ kind: "edit", base: this.version, version, edit });
    this.#accepted.set(orderId, version);
    const [oldest] = this.#accepted.keys();
    if (this.#accepted.size > REMEMBERED_ORDERS && oldest !== undefined) {
      this.#accepted.delete(oldest);
    }
  }

  /** The state as it stands, for a snapshot. */
  snapshot(): ConfigSnapshot {
    return { version: this.version, document: this.document, accepted: [...this.#accepted] };
  }
}
