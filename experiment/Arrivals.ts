/** A request as it reached a target. */
interface Arrival {
  readonly at: number;
  readonly service: string;
  readonly target: string;
  readonly idempotent: boolean;
  /** The chance that the target fails it, as its sidecar knew it then. */
  readonly risk: number;
  /** The same request has reached a target before, or it is a call made by a run that repeats another. */
  readonly isExtra: boolean;
}

/** Extra arrivals at a service in one window, and what the retry budget allows there. */
export interface BudgetUse {
  readonly service: string;
  readonly fromMs: number;
  readonly extras: number;
  readonly allowed: number;
}

/** The retry budget of the whole fleet, as operators set it. */
interface FleetBudget {
  readonly ratio: number;
  readonly windowMs: number;
  readonly slack: number;
}

/** What the targets of a fleet see: which requests reach them, when, and how often. */
export class Arrivals {
  readonly #arrivals: Arrival[] = [];
  readonly #requests: { at: number; service: string }[] = [];
  /** How often each request has reached a target. */
  readonly #counts = new Map<string, number>();

  /** Notes that a caller sends a request for `service`. */
  recordRequest(service: string, at: number): void {
    this.#requests.push({ service, at });
  }

  /**
   * Notes a request that reaches a target.
   *
   * @param isFromRepeatedRun it is a call made by a run that repeats another
   * @returns whether it is extra
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

  /** Targets of `service` that a request has reached from `fromMs` to `untilMs`. */
  targetsReached(service: string, fromMs: number, untilMs: number): Set<string> {
    const within = this.#arrivals.filter(
      (a) => a.service === service && fromMs <= a.at && a.at < untilMs,
    );
    return new Set(within.map((a) => a.target));
  }

  /**
   * Requests without another try that reach one target in a second, at most, while its sidecar knows a chance to
   * fail of `risk` and more. Those with one may: they tell whether it is well, and go there when no other is in reach.
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

  /** The window in which `service` gets the most extras for what is allowed. */
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
