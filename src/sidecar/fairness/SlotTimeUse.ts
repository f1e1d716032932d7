import type { Clock } from "../../common/lifecycle/Clock.ts";
import { DecayingScore } from "../detection/DecayingScore.ts";

/** Half-life of the measured slot time, ms: short enough to show who uses the target now. */
const HALF_LIFE_MS = 10_000;

/** Number of users that are reported by name; each is a label value of a metric at each gate. */
const MAX_REPORTED = 10;

/** Number of users from which on those with almost no recent slot time are forgotten. */
const PRUNE_ABOVE = 256;

/** Slot time below which a user is forgotten then, ms. */
const NEGLIGIBLE_MS = 1;

/** Name under which users that are not reported by name are added up. No workspace has it: names contain no spaces. */
const OTHERS = "all others";

/** Recent slot time of one user. */
interface SlotTimeShare {
  readonly user: string;
  /** Part of all slot time that was used recently, 0 to 1. */
  readonly share: number;
}

/** Measures how much of a target's slot time each user (a workspace, or the nested calls) has used recently. */
export class SlotTimeUse {
  readonly #clock: Clock;
  readonly #usedMs = new Map<string, DecayingScore>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Records that a run of `user` has ended, which used a slot for `ms`. */
  record(user: string, ms: number): void {
    let used = this.#usedMs.get(user);
    if (!used) {
      this.#prune();
      used = new DecayingScore(this.#clock, () => HALF_LIFE_MS);
      this.#usedMs.set(user, used);
    }
    used.add(ms, Infinity);
  }

  /** The shares of the largest users, largest first, and of all others together. */
  get shares(): SlotTimeShare[] {
    const used = [...this.#usedMs].map(([user, { value: ms }]) => ({ user, ms }));
    const total = used.reduce((sum, { ms }) => sum + ms, 0);
    if (total < NEGLIGIBLE_MS) {
      return [];
    }
    const ranked = used
      .map(({ user, ms }) => ({ user, share: ms / total }))
      .sort((a, b) => b.share - a.share);
    const rest = ranked.slice(MAX_REPORTED).reduce((sum, { share }) => sum + share, 0);
    const reported = ranked.slice(0, MAX_REPORTED);
    return rest > 0 ? [...reported, { user: OTHERS, share: rest }] : reported;
  }

  #prune(): void {
    if (this.#usedMs.size >= PRUNE_ABOVE) {
      for (const [user, { value }] of this.#usedMs) {
        if (value < NEGLIGIBLE_MS) {
          this.#usedMs.delete(user);
        }
      }
    }
  }
}
