import type { Clock } from "../src/common/lifecycle/Clock.ts";

/** What a simulated target does with one request: its call, or how it ends. */
type RunEnd = "ok" | "failed" | "call-failed" | "shed";

/** Share of requests that a sound target fails by itself, unless a scenario says otherwise; the users' services measure 12 in 1,000. */
const OWN_ERRORS = 0.012;

/** A gray target fails a request this fast, ms. */
const FAIL_MS = 1;

/** Spread of work times: sigma of their logarithm. */
const SPREAD = 0.5;

/** A spell during which it fails requests, refuses them, or is slow. */
interface Spell {
  readonly from: number;
  readonly until: number;
  readonly fails: number;
  /** Share of requests that it refuses, unrun. */
  readonly sheds: number;
  readonly slow: number;
}

/** A target as burdockpass sees one: takes time, has spells, makes calls. */
export class SimTarget {
  readonly #clock: Clock;
  readonly #random: () => number;
  readonly #ownErrors: number;
  readonly #spells: Spell[] = [];
  /** How much faster or slower than the others it is, for good. */
  readonly #speed: number;

  constructor(clock: Clock, random: () => number, ownErrors = OWN_ERRORS) {
    this.#clock = clock;
    this.#random = random;
    this.#ownErrors = ownErrors;
    this.#speed = 0.85 + 0.3 * random();
  }

  /** Adds a time during which it is gray. */
  addSpell(spell: Spell): void {
    this.#spells.push(spell);
  }

  /** It is in no spell at any time from `from` to `until`. */
  isSound(from: number, until: number): boolean {
    return !this.#spells.some((s) => s.from < until && from < s.until);
  }

  /** Works on one request; `call` makes the calls that the work needs, and tells whether they went well. */
  async run(workMs: number, call: () => Promise<boolean>): Promise<RunEnd> {
    const spell = this.#spell;
    if (spell && this.#random() < spell.sheds) {
      return "shed";
    }
    if (spell && this.#random() < spell.fails) {
      await this.#wait(FAIL_MS);
      return "failed";
    }
    const ms = workMs * this.#speed * (spell?.slow ?? 1) * logNormal(this.#random);
    await this.#wait(ms / 2);
    if (!(await call())) {
      return "call-failed";
    }
    await this.#wait(ms / 2);
    return this.#random() < this.#ownErrors ? "failed" : "ok";
  }

  get #spell(): Spell | undefined {
    const now = this.#clock.now();
    return this.#spells.find((s) => s.from <= now && now < s.until);
  }

  #wait(ms: number): Promise<void> {
    return new Promise((resolve) => {
      this.#clock.after(ms, resolve);
    });
  }
}

/** A factor around 1 with a long tail; its mean is 1. */
function logNormal(random: () => number): number {
  const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
  return Math.exp(SPREAD * normal - (SPREAD * SPREAD) / 2);
}
