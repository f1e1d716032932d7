import { randomUUID } from "node:crypto";
import { applyAtLeader } from "../src/cli/applyAtLeader.ts";
import type { ConfigRecord } from "./History.ts";
import { soakDocument } from "./soakDocument.ts";
import type { SoakFleet } from "./SoakFleet.ts";
import type { SoakPlan } from "./SoakPlan.ts";

/** The operators: they apply one document after the other, at times several at once. */
export class SoakOperator {
  readonly #fleet: SoakFleet;
  readonly #plan: SoakPlan;
  readonly #pending = new Set<Promise<void>>();
  readonly #records = new Map<number, ConfigRecord>();
  #changes = 0;

  constructor(fleet: SoakFleet, plan: SoakPlan) {
    this.#fleet = fleet;
    this.#plan = plan;
  }

  get records(): readonly ConfigRecord[] {
    return [...this.#records.values()];
  }

  /** Changes that were accepted, the newest version first. */
  get accepted(): readonly ConfigRecord[] {
    return this.records
      .filter((r) => r.outcome === "accepted")
      .sort((a, b) => b.version - a.version);
  }

  /** Applies the first document; resolves with the version that it became. */
  async applyFirst(): Promise<number> {
    await this.#apply();
    const [accepted] = this.accepted;
    if (!accepted) {
      throw new Error("the first document was not accepted");
    }
    return accepted.version;
  }

  /** Sends a further change, beside those that are under way. */
  applyNext(): void {
    const done = this.#apply();
    this.#pending.add(done);
    void done.finally(() => this.#pending.delete(done));
  }

  async waitForPending(): Promise<void> {
    await Promise.all(this.#pending);
  }

  async #apply(): Promise<void> {
    const change = ++this.#changes;
    const sent: ConfigRecord = {
      change,
      sentAt: this.#fleet.now,
      outcome: "unknown",
      version: 0,
      acceptedAt: Infinity,
    };
    this.#records.set(change, sent);
    const text = soakDocument(this.#plan, change);
    try {
      const { controlAddresses } = this.#fleet;
      const reply = await applyAtLeader(controlAddresses, text, undefined, randomUUID());
      const { version } = reply;
      this.#records.set(
        change,
        reply.outcome === "accepted"
          ? { ...sent, outcome: "accepted", version, acceptedAt: this.#fleet.now }
          : { ...sent, outcome: "refused" },
      );
    } catch {
      // No replica gave a clear answer: it may or may not be in force.
    }
  }
}
