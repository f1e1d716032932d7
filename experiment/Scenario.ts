/** A kind of request, and the nested calls that targets make while they run it. */
export interface RequestKind {
  readonly name: string;
  readonly service: string;
  readonly idempotent: boolean;
  readonly priority: number;
  /** Requests a second that callers send; 0 for nested calls, which only targets make. */
  readonly perSecond: number;
  readonly workMs: number;
  readonly objectiveMs: number;
  readonly deadlineMs: number;
  /** Credit for a response within `objectiveMs`, and for a later one. */
  readonly credit: readonly [inTime: number, late: number];
  /** Workspaces that callers' requests belong to, each to a random one; by default to none. */
  readonly workspaces?: readonly string[];
  /** Kind and number of the nested calls that a run makes, one after another, and the share of runs that make them. */
  readonly nestedCalls?: { readonly kind: string; readonly count: number; readonly share: number };
}

/** A period in which the first `count` targets of a service are gray: they fail, shed or slow down requests. */
export interface GrayPeriod {
  readonly service: string;
  readonly count: number;
  readonly fromMs: number;
  readonly durationMs: number;
  /** Share of requests that fail immediately. */
  readonly failureRate: number;
  /** Share of requests that are refused without running, although slots are free; 0 by default. */
  readonly shedRate?: number;
  /** Factor on the work time; 1 by default. */
  readonly slowdown?: number;
}

/** A period in which the first `count` targets of a service name a limit in their responses. */
export interface LimitPeriod {
  readonly service: string;
  readonly count: number;
  readonly fromMs: number;
  readonly durationMs: number;
  /** Requests a second. */
  readonly perS: number;
}

/** The log-normal distribution of the work times of a kind of request. */
export interface WorkTimes {
  /** Standard deviation of the logarithm of work times. */
  readonly sigma: number;
  /** Longest work time, as a multiple of the kind's mean. */
  readonly maxFactor: number;
}

/** A period with a higher request rate. */
export interface Burst {
  readonly fromMs: number;
  readonly durationMs: number;
  readonly rateFactor: number;
}

/** Crashes of `count` targets of a service at `atMs`, each of which is back after `downMs`. */
export interface Crash {
  readonly service: string;
  readonly count: number;
  readonly atMs: number;
  readonly downMs: number;
}

/** A request that ends every target that runs it, and comes again and again. */
export interface FatalRequest {
  /** Name of the kind of request. */
  readonly kind: string;
  readonly fromMs: number;
  readonly durationMs: number;
  readonly perSecond: number;
  /** Time from the start of a run to the end of the target, and until the target is back, ms. */
  readonly fatalAfterMs: number;
  readonly downMs: number;
}

/** Planned stops of `count` sidecars, `intervalMs` apart; each is started again afterwards. */
export interface RollingStop {
  readonly fromMs: number;
  readonly count: number;
  readonly intervalMs: number;
}

/** A simulated fleet, its load, and the faults that are injected. */
export interface Scenario {
  readonly name: string;
  readonly services: readonly {
    readonly name: string;
    readonly targets: number;
    readonly slots: number;
  }[];
  readonly zones: number;
  /** Extra requests that the retry budget allows in a window on top of its ratio; by default that of the small fleets. */
  readonly retrySlack?: number;
  /** Relative number of callers in each zone; by default each ready sidecar is equally likely. */
  readonly zoneShares?: readonly number[];
  /** One-way latency between availability zones, ms. */
  readonly zoneLatencyMs: number;
  readonly kinds: readonly RequestKind[];
  /** At any time this share of the targets is gray, for periods of random length, `meanMs` on average. */
  readonly randomGray?: {
    readonly share: number;
    readonly meanMs: number;
    readonly failureRate: number;
  };
  readonly grayPeriods?: readonly GrayPeriod[];
  readonly limits?: readonly LimitPeriod[];
  /** How far runs last longer or shorter than others of their kind; by default as measured at the users' services. */
  readonly workTimes?: WorkTimes;
  /** Share of requests that healthy targets fail; by default as measured at the users' services. */
  readonly baseErrorRate?: number;
  readonly bursts?: readonly Burst[];
  readonly crashes?: readonly Crash[];
  readonly fatalRequest?: FatalRequest;
  readonly stops?: readonly RollingStop[];
  readonly lengthMs: number;
}
