import { randomUUID } from "node:crypto";
import { applyAtLeader } from "../src/cli/applyAtLeader.ts";
import type { ConfigRecord } from "./History.ts";
import { soakDocument } from "./soakDocument.ts";
import type { SoakFleet } from "./SoakFleet.ts";
import type { SoakPlan } from "./SoakPlan.ts";

/** Simulates operators: applies one document after the other, sometimes several concurrently. */
export class SoakOperator {
  readonly #fleet: SoakFleet;
  readonly #plan: SoakPlan;
  readonly #pending = new Set<Promise<void>>();
  /** By number of the change. */
  readonly #records = new Map<number, ConfigRecord>();
  #changes = 0;

  constructor(fleet: SoakFleet, plan: SoakPlan) {
    this.#fleet = fleet;
    this.#plan = plan;
  }

  get records(): readonly ConfigRecord[] {
    return [...this.#records.values()];
  }

  /** Accepted changes, the newest version first. */
  get accepted(): readonly ConfigRecord[] {
    return this.records
      .filter((r) => r.outcome === "accepted")
      .sort((a, b) => b.version - a.version);
  }

  /** Applies the first document; resolves with its document version. */
  async applyFirst(): Promise<number> {
    await this.#apply();
    const [accepted] = this.accepted;
    if (!accepted) {
      throw new Error("the first document was not accepted");
    }
    return accepted.version;
  }

  /** Starts to apply a further change without waiting for the pending ones; resolves with its outcome. */
  async applyNext(): Promise<ConfigRecord | undefined> {
    const change = this.#changes + 1;
    const done = this.#apply();
    this.#pending.add(done);
    await done.finally(() => this.#pending.delete(done));
    return this.#records.get(change);
  }

  /** Resolves once no change is pending. */
  async waitForPending(): Promise<void> {
    await Promise.all(this.#pending);
  }

  async #apply(): Promise<void> {
    const change = ++this.#changes;
    const unresolved: ConfigRecord = {
      change,
      sentAt: this.#fleet.now,
      outcome: "unknown",
      version: 0,
      acceptedAt: Infinity,
    };
    this.#records.set(change, unresolved);
    const text = soakDocument(this.#plan, change);
    try {
      const { controlAddresses } = this.#fleet;
      const reply = await applyAtLeader(controlAddresses, text, undefined, randomUUID());
      const { version } = reply;
      this.#records.set(
        change,
        reply.outcome === "accepted"
          ? { ...unresolved, outcome: "accepted", version, acceptedAt: this.#fleet.now }
          : { ...unresolved, outcome: "refused" },
      );
    } catch {
      // No replica reported a definite outcome: the change may or may not be in force.
    }
  }
}
