import { groupBy } from "./groupBy.ts";
import type { RequestKind } from "./Scenario.ts";

/** A caller's request that has ended. */
export interface EndedRequest {
  readonly kind: RequestKind;
  readonly startedAt: number;
  readonly endedAt: number;
  readonly outcome: "served" | "refused" | "failed";
}

/** Length of the windows of which the two worst are reported, ms. */
const WINDOW_MS = 2000;

/** Unserved share, the users' best, at which the served share gets its full weight in {@link Figures.goal}. */
const BEST_UNSERVED = 0.005;

/** Results of one simulation run. */
export interface Figures {
  /**
   * Weighted total, with the users' weights: 0.35 credit of all requests, 0.15 credit in the worst windows, 0.15
   * credit of the worst-served kind, 0.35 the share served, on a logarithmic scale (in nines). Costs are not included.
   */
  readonly goal: number;
  readonly served: number;
  /** Credit earned as a share of the maximum, which is earned if every response comes within its objective. */
  readonly worth: number;
  /** Mean credit share of the two worst windows. */
  readonly worst: number;
  readonly refused: number;
  readonly failed: number;
  /** The 95th and 99th percentile of the response times of served idempotent requests, as shares of their objectives. */
  readonly p95: number;
  readonly p99: number;
  /** Mean time until a refused caller gets its response, ms. */
  readonly refusedAfterMs: number;
  /** Credit share by kind of request. */
  readonly byKind: Readonly<Record<string, number>>;
}

/** Collects callers' requests that have ended, and computes the results of a simulation run. */
export class Tally {
  readonly #ended: EndedRequest[] = [];

  add(ended: EndedRequest): void {
    this.#ended.push(ended);
  }

  /** Number of requests that have ended. */
  get count(): number {
    return this.#ended.length;
  }

  /** Share of the requests for `service` sent from `fromMs` until before `untilMs` that were not served. */
  unservedShare(service: string, fromMs: number, untilMs: number): number {
    const sent = this.#ended.filter(
      ({ kind, startedAt }) =>
        kind.service === service && fromMs <= startedAt && startedAt < untilMs,
    );
    return sent.length === 0 ? 0 : 1 - share(sent, "served");
  }

  /** Credit share of each window of {@link WINDOW_MS}, in order of time; `from` is its start, ms. */
  windows(): { from: number; worth: number }[] {
    const byWindow = groupBy(this.#ended, (e) => Math.floor(e.startedAt / WINDOW_MS));
    return [...byWindow.entries()]
      .sort(([a], [b]) => a - b)
      .map(([n, list]) => ({ from: n * WINDOW_MS, worth: creditShare(list) }));
  }

  figures(): Figures {
    const all = this.#ended;
    const refused = all.filter((e) => e.outcome === "refused");
    const refusedMs = refused.reduce((sum, e) => sum + e.endedAt - e.startedAt, 0);
    const worst = this.windows()
      .map((w) => w.worth)
      .sort((a, b) => a - b)
      .slice(0, 2);
    const kinds = groupBy(all, (e) => e.kind.name);
    const byKind = Object.fromEntries([...kinds].map(([name, list]) => [name, creditShare(list)]));
    const worstWindows = worst.reduce((sum, w) => sum + w, 0) / Math.max(1, worst.length);
    const unserved = Math.max(BEST_UNSERVED, 1 - share(all, "served"));
    return {
      goal:
        0.35 * creditShare(all) +
        0.15 * worstWindows +
        0.15 * Math.min(...Object.values(byKind)) +
        (0.35 * Math.log(unserved)) / Math.log(BEST_UNSERVED),
      served: share(all, "served"),
      worth: creditShare(all),
      worst: worstWindows,
      ...latePercentiles(all),
      refused: share(all, "refused"),
      failed: share(all, "failed"),
      refusedAfterMs: refusedMs / Math.max(1, refused.length),
      byKind,
    };
  }
}

function share(list: readonly EndedRequest[], outcome: EndedRequest["outcome"]): number {
  return list.filter((e) => e.outcome === outcome).length / Math.max(1, list.length);
}

function creditShare(list: readonly EndedRequest[]): number {
  const maxCredit = list.reduce((sum, e) => sum + e.kind.credit[0], 0);
  const earned = list.reduce((sum, e) => sum + creditOf(e), 0);
  return maxCredit > 0 ? earned / maxCredit : 1;
}

function creditOf({ kind, startedAt, endedAt, outcome }: EndedRequest): number {
  if (outcome !== "served") {
    return 0;
  }
  return endedAt - startedAt <= kind.objectiveMs ? kind.credit[0] : kind.credit[1];
}

function latePercentiles(list: readonly EndedRequest[]): { p95: number; p99: number } {
  const shares = list
    .filter(({ kind, outcome }) => kind.idempotent && outcome === "served")
    .map(({ kind, startedAt, endedAt }) => (endedAt - startedAt) / kind.objectiveMs)
    .sort((a, b) => a - b);
  const at = (q: number) => shares[Math.floor(shares.length * q)] ?? 0;
  return { p95: at(0.95), p99: at(0.99) };
}
