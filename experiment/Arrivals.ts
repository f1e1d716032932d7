/** The arrival of a request at a target. */
interface Arrival {
  readonly at: number;
  readonly service: string;
  readonly target: string;
  readonly idempotent: boolean;
  /** Probability that the target fails the request, as its sidecar estimated it at that time. */
  readonly risk: number;
  /** Whether the same request has reached a target before, or this is a nested call of a repeated run. */
  readonly isExtra: boolean;
}

/** Extra arrivals at a service in one window of the retry budget, and how many the budget allows. */
export interface BudgetUse {
  readonly service: string;
  readonly fromMs: number;
  readonly extras: number;
  readonly allowed: number;
}

/** The retry budget of the whole fleet: `ratio` of the requests in a window of `windowMs`, plus `slack`. */
interface FleetBudget {
  readonly ratio: number;
  readonly windowMs: number;
  readonly slack: number;
}

/** Records which requests reach the targets of a fleet, when, and how often. */
export class Arrivals {
  readonly #arrivals: Arrival[] = [];
  readonly #requests: { at: number; service: string }[] = [];
  /** How many times each request has reached a target, by attempt id. */
  readonly #counts = new Map<string, number>();

  /** Records that a caller sends a request for `service` at time `at`, ms. */
  recordRequest(service: string, at: number): void {
    this.#requests.push({ service, at });
  }

  /**
   * Records a request that reaches a target.
   *
   * @param isFromRepeatedRun whether it is a nested call of a repeated run
   * @returns whether the arrival is extra
   */
  recordArrival(
    attempt: string,
    arrival: Omit<Arrival, "isExtra">,
    isFromRepeatedRun: boolean,
  ): boolean {
    const count = (this.#counts.get(attempt) ?? 0) + 1;
    this.#counts.set(attempt, count);
    const isExtra = count > 1 || isFromRepeatedRun;
    this.#arrivals.push({ ...arrival, isExtra });
    return isExtra;
  }

  /** Targets of `service` that a request reached from `fromMs` until before `untilMs`. */
  targetsReached(service: string, fromMs: number, untilMs: number): Set<string> {
    const within = this.#arrivals.filter(
      (a) => a.service === service && fromMs <= a.at && a.at < untilMs,
    );
    return new Set(within.map((a) => a.target));
  }

  /**
   * The largest number of non-idempotent requests that reach one target within a second while its sidecar estimates
   * a failure probability of at least `risk`. Idempotent requests are not counted: they can be retried, so they serve as
   * probes, and go to such a target when no other is available.
   */
  worstRiskySecond(risk: number): { target: string; fromMs: number; count: number } {
    const risky = this.#arrivals.filter((a) => !a.idempotent && a.risk >= risk);
    const bursts = risky.map(({ target, at }) => ({
      target,
      fromMs: at,
      count: risky.filter((a) => a.target === target && at <= a.at && a.at < at + 1000).length,
    }));
    const none = { target: "", fromMs: 0, count: 0 };
    return bursts.reduce((worst, b) => (b.count > worst.count ? b : worst), none);
  }

  /** The largest number of requests that reach a target within `windowMs` from `fromMs` until before `untilMs`. */
  busiestWindow(target: string, fromMs: number, untilMs: number, windowMs: number): number {
    const times = this.#arrivals
      .filter((a) => a.target === target && fromMs <= a.at && a.at < untilMs)
      .map((a) => a.at);
    const counts = times.map((from) => times.filter((at) => from <= at && at < from + windowMs));
    return Math.max(0, ...counts.map((c) => c.length));
  }

  /** Number of requests that reach a target from `fromMs` until before `untilMs`. */
  count(target: string, fromMs: number, untilMs: number): number {
    return this.#arrivals.filter((a) => a.target === target && fromMs <= a.at && a.at < untilMs)
      .length;
  }

  /** The window in which the extra arrivals at `service` are the largest share of what the budget allows. */
  worstWindow(service: string, { ratio, windowMs, slack }: FleetBudget): BudgetUse {
    const extras = this.#arrivals.filter((a) => a.service === service && a.isExtra);
    const requests = this.#requests.filter((r) => r.service === service);
    const count = (list: readonly { at: number }[], from: number) =>
      list.filter((x) => from <= x.at && x.at < from + windowMs).length;
    const uses = extras.map(({ at }) => ({
      service,
      fromMs: at,
      extras: count(extras, at),
      allowed: ratio * count(requests, at) + slack,
    }));
    const none = { service, fromMs: 0, extras: 0, allowed: slack };
    return uses.reduce(
      (worst, use) => (use.extras / use.allowed > worst.extras / worst.allowed ? use : worst),
      none,
    );
  }
}
