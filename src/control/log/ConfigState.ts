import { DocumentHistory } from "../../common/document/DocumentHistory.ts";
import type { OperatorDocument } from "../../common/document/OperatorDocument.ts";
import type { AcceptedChange } from "./AcceptedChange.ts";
import type { ConfigSnapshot } from "./ConfigSnapshot.ts";

/**
 * Number of accepted change requests that are remembered, so that a resend is acknowledged
 * again and not refused. At the size planned for in two years, there are 31,000 changes
 * a day, so 4096 cover about three hours; operators' tools resend within seconds.
 */
const MAX_REMEMBERED_REQUESTS = 4096;

/** The state machine of the replicated log: the current document and the recently accepted change requests. */
export class ConfigState {
  readonly history = new DocumentHistory();
  readonly #accepted: Map<string, number>;

  constructor(from?: ConfigSnapshot) {
    this.#accepted = new Map(from?.accepted);
    if (from) {
      this.history.apply({ kind: "whole", version: from.version, document: from.document });
    }
  }

  /** Current document version; 0 before the first change. */
  get version(): number {
    return this.history.version;
  }

  get document(): OperatorDocument {
    return this.history.document;
  }

  /** The version that an accepted change request created; undefined for one that is not remembered. */
  versionOf(orderId: string): number | undefined {
    return this.#accepted.get(orderId);
  }

  /** Applies the next committed change. */
  apply({ version, orderId, edit }: AcceptedChange): void {
    this.history.apply({ kind: "edit", base: this.version, version, edit });
    this.#accepted.set(orderId, version);
    const [oldest] = this.#accepted.keys();
    if (this.#accepted.size > MAX_REMEMBERED_REQUESTS && oldest !== undefined) {
      this.#accepted.delete(oldest);
    }
  }

  /** The current state, for a snapshot of the log. */
  snapshot(): ConfigSnapshot {
    return { version: this.version, document: this.document, accepted: [...this.#accepted] };
  }
}
