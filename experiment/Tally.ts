import { groupBy } from "./groupBy.ts";
import type { RequestKind } from "./Scenario.ts";

/** How one caller's request ended. */
export interface EndedRequest {
  readonly kind: RequestKind;
  readonly startedAt: number;
  readonly endedAt: number;
  readonly outcome: "served" | "refused" | "failed";
}

/** Width of the windows of which the worst are reported, ms. */
const WINDOW_MS = 2000;

/** Unserved share at which the nines count in full: the users' best. */
const BEST_UNSERVED = 0.005;

/** Figures of one run. */
export interface Figures {
  /**
   * All in one, as the users weigh them: 0.35 the whole credit, 0.15 the worst windows, 0.15 the
   * worst-served kind, 0.35 the share served, counted in nines. Costs are not in it.
   */
  readonly goal: number;
  readonly served: number;
  /** Credit earned over credit owed. */
  readonly worth: number;
  /** The same in the worst two windows. */
  readonly worst: number;
  readonly refused: number;
  readonly failed: number;
  /** How long refused callers were held, ms, on average. */
  readonly refusedAfterMs: number;
  /** Credit by kind. */
  readonly byKind: Readonly<Record<string, number>>;
}

/** Counts what callers got. */
export class Tally {
  readonly #ended: EndedRequest[] = [];

  add(ended: EndedRequest): void {
    this.#ended.push(ended);
  }

  /** Requests that have ended. */
  get count(): number {
    return this.#ended.length;
  }

  /** Share of the requests for `service` sent from `fromMs` to `untilMs` that were not served. */
  unservedShare(service: string, fromMs: number, untilMs: number): number {
    const sent = this.#ended.filter(
      ({ kind, startedAt }) =>
        kind.service === service && fromMs <= startedAt && startedAt < untilMs,
    );
    return sent.length === 0 ? 0 : 1 - share(sent, "served");
  }

  /** Credit over time, a point a window: from when, and credit earned over owed. */
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
