import { createRng, type Rng } from "./createRng.ts";
import type { AccountRecord } from "./History.ts";
import { SOAK_WORKSPACES } from "./SOAK_WORKSPACES.ts";
import type { SoakFleet } from "./SoakFleet.ts";
import type { SoakOperator } from "./SoakOperator.ts";
import type { SoakPlan } from "./SoakPlan.ts";

/** Interval between the requests with a key that changes with each document, ms. */
const INTERVAL_MS = 200;

/** One in this many of them has a key of an earlier document. */
const OLD_KEY_EVERY = 3;

/** Number of documents before the newest whose keys are still used. */
const MAX_OLD_KEYS = 3;

/** Interval between the requests of the workspace that exceeds its quota, ms. */
const HOT_INTERVAL_MS = 25;

/** Time after which a caller gives up, ms: longer than the route's timeout. */
const GIVE_UP_MS = 4000;

/** Simulates callers of workspaces: some use the newest key, some one that was taken away, some exceed their quota. */
export class SoakAccounts {
  readonly #fleet: SoakFleet;
  readonly #operator: SoakOperator;
  readonly #rng: Rng;
  readonly #pending = new Set<Promise<void>>();
  readonly records: AccountRecord[] = [];
  #count = 0;
  #timer: NodeJS.Timeout | undefined;

  constructor(fleet: SoakFleet, operator: SoakOperator, { seed }: SoakPlan) {
    this.#fleet = fleet;
    this.#operator = operator;
    this.#rng = createRng(seed + 3);
  }

  /** Sends requests with the keys of the newest documents until stopped. */
  start(): void {
    this.#timer = setInterval(() => {
      const isOld = this.#rng.int(1, OLD_KEY_EVERY) === 1;
      const { accepted } = this.#operator;
      const config = accepted[isOld ? this.#rng.int(1, MAX_OLD_KEYS) : 0] ?? accepted[0];
      if (config) {
        this.#send("account", SOAK_WORKSPACES.rotatingKey(config.change), config.change);
      }
    }, INTERVAL_MS);
  }

  /** Sends more requests than the quota of a workspace allows. */
  async exceedQuota(ms: number): Promise<void> {
    const until = this.#fleet.now + ms;
    while (this.#fleet.now < until) {
      this.#send("hot", SOAK_WORKSPACES.hotKey, 0);
      await new Promise((resolve) => setTimeout(resolve, HOT_INTERVAL_MS));
    }
  }

  /** Stops sending; resolves once all requests have ended. */
  async stop(): Promise<void> {
    clearInterval(this.#timer);
    await Promise.all(this.#pending);
  }

  #send(kind: "account" | "hot", key: string, change: number): void {
    const sent = this.#request(`${kind}-${++this.#count}`, key, change);
    this.#pending.add(sent);
    void sent.finally(() => this.#pending.delete(sent));
  }

  async #request(tag: string, key: string, change: number): Promise<void> {
    const via = this.#rng.pick(this.#fleet.vms);
    const sentAt = this.#fleet.now;
    const url = `http://127.0.0.1:${this.#fleet.callerPort(via)}${SOAK_WORKSPACES.path}${tag}?bytes=0`;
    const headers = { "x-caller-tag": tag, authorization: `Bearer ${key}` };
    const status = await fetch(url, { headers, signal: AbortSignal.timeout(GIVE_UP_MS) }).then(
      async (res) => {
        await res.arrayBuffer();
        return res.status;
      },
      () => 0,
    );
    this.records.push({ tag, change, via, sentAt, endedAt: this.#fleet.now, status });
  }
}
