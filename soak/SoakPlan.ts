/** Kinds of requests that callers send. */
export enum CallKind {
  /** May be repeated; targets of the desk service make a nested call to the ledger service during it. */
  Check = "check",
  /** May be repeated. */
  Lookup = "lookup",
  /** Must not be repeated. */
  Booking = "booking",
  /** Must not be repeated, even when it is sent again with the same idempotency key. */
  KeyedBooking = "keyed-booking",
  /** A booking with a body of several hundred KB. */
  Upload = "upload",
  /** A lookup with a large response; some are pipelined, and some are read with pauses. */
  Download = "download",
}

/** Faults that are injected into a process from outside, and document changes. */
export enum FaultKind {
  /** SIGTERM, and a restart once the process has exited. */
  PlannedStop = "planned-stop",
  /** SIGTERM twice with a SIGHUP (reload) in between, and a restart. */
  StopTwice = "stop-twice",
  /** SIGKILL, and a restart after the fault's duration. */
  Kill = "kill",
  /** As `Kill`, but the process restarts with an empty data directory. */
  Wipe = "wipe",
  /** SIGSTOP, and SIGCONT after the fault's duration. */
  Freeze = "freeze",
  /** SIGHUP: reloads the settings. */
  Reload = "reload",
  /** Traffic to and from the process is delayed. */
  LinkDelay = "link-delay",
  /** Connections to the process are reset; new ones can be opened at once. */
  LinkReset = "link-reset",
  /** Traffic is dropped in both directions. */
  LinkCut = "link-cut",
  /** Traffic to the process arrives; traffic from it is dropped. */
  LinkOneWay = "link-one-way",
  /** Some datagrams to and from the process are lost or reordered. */
  LinkLossy = "link-lossy",
  /** Gray failure: the target fails most requests while its health endpoint reports it as healthy. */
  TargetGray = "target-gray",
  /** The target refuses half of the requests, although it has free slots. */
  TargetSheds = "target-sheds",
  /** The target takes ten times as long for each request. */
  TargetSlow = "target-slow",
  /** The target runs requests, and its responses are lost. */
  TargetResponseLost = "target-answer-lost",
  /** The target breaks its responses off in the middle of the body. */
  TargetTruncates = "target-truncates",
  /** The target accepts requests and never responds. */
  TargetSilent = "target-silent",
  /** The target sends bytes without end before, or instead of, its responses: a different kind of bytes each time. */
  TargetEndless = "target-endless",
  /** Callers request large responses through the VM's sidecar, and do not read them for the fault's duration. */
  SlowReaders = "slow-readers",
  /** The target reports that it is draining, and still serves requests for a while. */
  TargetDrains = "target-drains",
  /** The target names a limit on the rate of its requests in its responses. */
  TargetLimit = "target-limit",
  /** The target says in its responses that it is leaving, while it announces itself as ready. */
  TargetLeaving = "target-leaving",
  /** The target's process is killed, and started again as a new incarnation. */
  TargetKill = "target-kill",
  /** Callers send a request that ends every target of the service that runs it, again and again. */
  FatalRequest = "fatal-request",
  /** Callers of a workspace send far more requests than its quota allows. */
  HotWorkspace = "hot-workspace",
  /**
   * Right after a document was accepted, all control replicas and sidecars are killed; a minority of the replicas lose
   * their disks, that of `on` among them, and all start again, one by one, within the fault's duration.
   */
  Blackout = "blackout",
  /** Operators apply another document; several such faults at the same time apply several at once. */
  Config = "config",
}

/** One fault of the schedule. */
export interface PlannedFault {
  readonly kind: FaultKind;
  /** Seconds after the start of the load. */
  readonly atS: number;
  /** Duration, s; 0 for an instantaneous fault. */
  readonly forS: number;
  /** Name of the VM or control replica that it is injected into; empty for a document change. */
  readonly on: string;
}

/** A service of the fleet. */
export interface SoakService {
  readonly name: string;
  readonly targets: number;
  readonly slots: number;
  readonly workMs: number;
}

/** A whole soak run, derived from its seed: the fleet's shape, the load, and the schedule of faults. */
export interface SoakPlan {
  readonly seed: number;
  /** Duration of the load, s; its last part is free of faults. */
  readonly seconds: number;
  readonly zones: number;
  readonly controls: number;
  readonly services: readonly SoakService[];
  /** Requests per second, by kind; 0 for those left out. */
  readonly rates: Readonly<Partial<Record<CallKind, number>>>;
  readonly faults: readonly PlannedFault[];
  /** Whether sidecars keep their document on disk; by default they do. */
  readonly sidecarDisks?: boolean;
  /** Largest work time of a run, as a multiple of the mean; by default all runs of a service take equally long. */
  readonly workTail?: number;
  /** The routes' timeout, ms. */
  readonly timeoutMs?: number;
  /** The sidecars' setting `stop`, ms. */
  readonly stop?: { readonly callersMs: number; readonly graceMs: number };
  /** A sidecar that still runs this long after its SIGTERM is killed, ms; by default none is. */
  readonly killMs?: number;
}
