/** One kind of request, and the calls that its targets make while they work on it. */
export interface RequestKind {
  readonly name: string;
  readonly service: string;
  readonly idempotent: boolean;
  readonly priority: number;
  /** Requests a second that callers send; 0 for calls that only targets make. */
  readonly perSecond: number;
  readonly workMs: number;
  readonly objectiveMs: number;
  readonly deadlineMs: number;
  /** What an answer in time is worth, and one after its objective. */
  readonly credit: readonly [inTime: number, late: number];
  /** A kind of call that a share of its runs makes, so many times. */
  readonly nestedCalls?: { readonly kind: string; readonly count: number; readonly share: number };
}

/** Targets of a service that fail most of what they are given for a while. */
export interface GrayPeriod {
  readonly service: string;
  readonly count: number;
  readonly fromMs: number;
  readonly durationMs: number;
  /** Share of requests that fail, at once. */
  readonly failureRate: number;
  /** Share of requests that are refused, unrun, though there is room; none where it is left out. */
  readonly shedRate?: number;
  /** Work takes this many times as long. */
  readonly slowdown?: number;
}

/** More requests than usual for a while. */
export interface Burst {
  readonly fromMs: number;
  readonly durationMs: number;
  readonly rateFactor: number;
}

/** Sidecars that are stopped as planned, one after the other, and started again. */
export interface RollingStop {
  readonly fromMs: number;
  readonly count: number;
  readonly intervalMs: number;
}

/** A load on a fleet, and what goes wrong. */
export interface Scenario {
  readonly name: string;
  readonly services: readonly {
    readonly name: string;
    readonly targets: number;
    readonly slots: number;
  }[];
  readonly zones: number;
  /** Extras that the fleet's retry budget allows in a window besides its share; the small fleets' where it is left out. */
  readonly retrySlack?: number;
  /** How many of the callers come in each zone, in proportion; evenly where it is left out. */
  readonly zoneShares?: readonly number[];
  /** One way between availability zones, ms. */
  readonly zoneLatencyMs: number;
  readonly kinds: readonly RequestKind[];
  /** At any time this share of the targets is gray, in spells of random length, `spellMs` on average. */
  readonly randomGray?: {
    readonly share: number;
    readonly meanMs: number;
    readonly failureRate: number;
  };
  readonly grayPeriods?: readonly GrayPeriod[];
  /** Share of requests that sound targets fail by themselves; the users' where it is left out. */
  readonly baseErrorRate?: number;
  readonly bursts?: readonly Burst[];
  readonly stops?: readonly RollingStop[];
  readonly lengthMs: number;
}
