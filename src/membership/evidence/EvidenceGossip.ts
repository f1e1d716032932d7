import type { Clock } from "../../common/lifecycle/Clock.ts";
import type { ProtoTypes } from "../../common/rpc/ProtoTypes.ts";
import { RumorQueue, type Distance } from "../RumorQueue.ts";
import { sampleOf } from "../sampleOf.ts";
import { evidenceCodec } from "./evidenceCodec.ts";
import { evidenceKey } from "./evidenceKey.ts";
import type { CrashEvidence } from "./CrashEvidence.ts";
import type { EvidenceStore } from "./EvidenceStore.ts";

type EvidenceMessage = ProtoTypes["CrashEvidence"];

/** Maximum pieces of new evidence per gossip message, at some 100 bytes each. */
const NEW_PER_MESSAGE = 8;

/** Interval at which an older piece, drawn at random, is repeated for members that have missed it, ms: 100 bytes/s. */
const REPEAT_INTERVAL_MS = 1000;

interface EvidenceGossipDeps {
  readonly store: EvidenceStore;
  readonly clock: Clock;
  /** Returns a number in [0, 1); seeded in tests. */
  readonly random: () => number;
  /** Number of other live members, in the own zone and in other zones. */
  readonly others: () => Record<Distance, number>;
  /** Called when there is new evidence to spread. */
  readonly onNews: () => void;
}

/** Spreads crash evidence with the gossip of the membership protocol. */
export class EvidenceGossip {
  readonly #deps: EvidenceGossipDeps;
  readonly #rumors = new RumorQueue();
  #repeatedAt = -Infinity;

  constructor(deps: EvidenceGossipDeps) {
    this.#deps = deps;
  }

  /** Adds evidence that this member has found. */
  add(evidence: CrashEvidence): void {
    this.#merge([evidence]);
  }

  /** Merges received evidence; returns the indices of what was known here before. */
  receive(messages: readonly EvidenceMessage[]): number[] {
    const now = this.#deps.clock.now();
    const evidence = messages.map((m) => evidenceCodec.decode(m, now));
    const fresh = this.#merge(evidence.flatMap((e) => e ?? []));
    return evidence.flatMap((e, index) => (e && fresh.has(e) ? [] : [index]));
  }

  /** Evidence to send now, without what the receiver has just sent. */
  take(received: readonly EvidenceMessage[] = []): EvidenceMessage[] {
    const { store, clock } = this.#deps;
    if (!store.hasAny) {
      return [];
    }
    const now = clock.now();
    const known = new Set(
      received.flatMap((m) => evidenceCodec.decode(m, now) ?? []).map((e) => evidenceKey(e)),
    );
    const fresh = this.#rumors.take(NEW_PER_MESSAGE, known);
    const keys = new Set([...fresh, ...this.#takeOlder(now)]);
    return [...keys]
      .flatMap((key) => store.get(key) ?? [])
      .map((e) => evidenceCodec.encode(e, now));
  }

  /** All evidence, for a member that joins. */
  all(): EvidenceMessage[] {
    const now = this.#deps.clock.now();
    return this.#deps.store.all().map((e) => evidenceCodec.encode(e, now));
  }

  /** Notes that a member which was sent `message` had it already. */
  noteKnown(message: EvidenceMessage | undefined, distance: Distance): void {
    const evidence = message && evidenceCodec.decode(message, this.#deps.clock.now());
    if (evidence) {
      this.#rumors.noteKnown(evidenceKey(evidence), distance);
    }
  }

  /** The key of the older piece to repeat now, if one is due. */
  #takeOlder(now: number): string[] {
    const { store, random } = this.#deps;
    if (now - this.#repeatedAt < REPEAT_INTERVAL_MS) {
      return [];
    }
    this.#repeatedAt = now;
    return sampleOf(store.all(), 1, random).map((e) => evidenceKey(e));
  }

  #merge(evidence: readonly CrashEvidence[]): Set<CrashEvidence> {
    const { store, others, onNews } = this.#deps;
    const fresh = new Set(evidence.filter((e) => store.add(e)));
    for (const e of fresh) {
      this.#rumors.add(evidenceKey(e), others());
    }
    if (fresh.size > 0) {
      onNews();
    }
    return fresh;
  }
}
