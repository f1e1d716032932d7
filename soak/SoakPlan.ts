/** What callers send. */
export enum CallKind {
  /** May be repeated; targets of the desk call the ledger in the midst of it. */
  Check = "check",
  /** May be repeated. */
  Lookup = "lookup",
  /** Must not be repeated. */
  Booking = "booking",
  /** Must not be repeated, whoever sends it again under its key. */
  KeyedBooking = "keyed-booking",
  /** A booking with a body of some hundred KB. */
  Upload = "upload",
}

/** Faults that come to a process, from outside. */
export enum FaultKind {
  /** SIGTERM, and a start once it has ended. */
  PlannedStop = "planned-stop",
  /** SIGTERM twice and a reload between. */
  StopTwice = "stop-twice",
  /** SIGKILL, and a start a moment later. */
  Kill = "kill",
  /** The same, with an empty data folder. */
  Wipe = "wipe",
  /** SIGSTOP, and SIGCONT after a while. */
  Freeze = "freeze",
  /** SIGHUP. */
  Reload = "reload",
  /** What others send to it comes late. */
  LinkDelay = "link-delay",
  /** Its connections are reset, and open again. */
  LinkReset = "link-reset",
  /** Nothing gets through to it, and nothing back. */
  LinkCut = "link-cut",
  /** What others send arrives, and nothing comes back. */
  LinkOneWay = "link-one-way",
  /** Part of the datagrams to it is lost, or comes out of order. */
  LinkLossy = "link-lossy",
  /** The target fails most of what it gets, its health endpoint says that all is well. */
  TargetGray = "target-gray",
  /** The target refuses half of what it gets, though it has room. */
  TargetSheds = "target-sheds",
  /** The target takes ten times as long. */
  TargetSlow = "target-slow",
  /** The target runs what it gets, and its answer is lost. */
  TargetResponseLost = "target-answer-lost",
  /** The target breaks its answers off. */
  TargetTruncates = "target-truncates",
  /** The target accepts requests and never answers. */
  TargetSilent = "target-silent",
  /** The target says that it leaves; it serves on for a while. */
  TargetDrains = "target-drains",
  /** Another document is applied; two at a time where `count` is 2. */
  Config = "config",
}

/** One fault of the schedule. */
export interface PlannedFault {
  readonly kind: FaultKind;
  /** Seconds after the start of the load. */
  readonly atS: number;
  /** How long it lasts, s; 0 for one that is over at once. */
  readonly forS: number;
  /** Name of a VM or a control replica; empty where it comes to none. */
  readonly on: string;
}

/** A service of the fleet. */
export interface SoakService {
  readonly name: string;
  readonly targets: number;
  readonly slots: number;
  readonly workMs: number;
}

/** A whole run, told by its seed: the fleet's shape, the load, and the faults with their times. */
export interface SoakPlan {
  readonly seed: number;
  /** Length of the load, s; the last part of it is without faults. */
  readonly seconds: number;
  readonly zones: number;
  readonly controls: number;
  readonly services: readonly SoakService[];
  /** Requests a second, by kind. */
  readonly rates: Readonly<Record<CallKind, number>>;
  readonly faults: readonly PlannedFault[];
}
