import type { CallKind } from "./SoakPlan.ts";

/** A caller's request and its response, as the caller observed them. Times are ms after the start of the load. */
export interface CallRecord {
  /** Identifies the request; sent as a header, which targets echo in the response body. */
  readonly tag: string;
  readonly kind: CallKind;
  /** The service that the request is for. */
  readonly service: string;
  /** The VM to whose sidecar it was sent. */
  readonly via: string;
  /** Tag of the first request with the same idempotency key; undefined unless this one is a resend. */
  readonly resendOf: string | undefined;
  readonly sentAt: number;
  readonly endedAt: number;
  /** HTTP status; 0 where the connection ended without a complete response. */
  readonly status: number;
  /** The `x-burdockpass-verdict` header, which states whether it ran; empty if absent, "left" if the caller timed out. */
  readonly verdict: string;
  /** The tag in the response body; undefined where there is none. */
  readonly bodyTag: string | undefined;
  /** The response body was well formed and had the requested length. */
  readonly isWhole: boolean;
  /** The response had begun to arrive when the connection ended. */
  readonly hadBegun: boolean;
}

/** An entry of a target's journal: what the target did with a request. */
export interface TargetRecord {
  readonly at: number;
  readonly target: string;
  readonly service: string;
  readonly tag: string;
  /** The request arrived, its run took effect, failed, was refused without a run, or ended the target's process. */
  readonly event: "arrived" | "ran" | "failed" | "shed" | "crashed";
  /** In the record of its arrival, the sidecars' id of the request. */
  readonly attempt?: string;
}

/** A planned stop of a process, from its first SIGTERM until its exit. */
export interface StopRecord {
  readonly on: string;
  readonly at: number;
  readonly endedAt: number;
  readonly code: number | null;
}

/** An operators' change of the document, and the outcome that was reported to them. */
export interface ConfigRecord {
  /** Number of the change, which names the route that only its document has. */
  readonly change: number;
  readonly sentAt: number;
  readonly outcome: "accepted" | "refused" | "unknown";
  /** The document version that it became; 0 unless it is known to be accepted. */
  readonly version: number;
  /** When the acceptance was reported; Infinity unless it is known to be accepted. */
  readonly acceptedAt: number;
}

/** A moment at which all control replicas and sidecars were killed. */
export interface BlackoutRecord {
  readonly at: number;
  /** The document version that had been accepted right before. */
  readonly version: number;
}

/** The service that ran a request on the route that moves with each change. */
export interface MovedSample {
  readonly at: number;
  readonly via: string;
  readonly service: string;
}

/** Whether the route that only one document version has existed at one sidecar. */
export interface ConfigSample {
  readonly at: number;
  readonly via: string;
  /** Incarnation of the process, from 1. */
  readonly life: number;
  /** The accepted document version whose route was requested. */
  readonly version: number;
  /** Whether the route existed. */
  readonly isThere: boolean;
}

/** A period in which a fault affected a process, its links or its target. */
export interface Disturbance {
  readonly on: string;
  readonly kind: string;
  readonly from: number;
  readonly until: number;
}

/** Whether a sidecar reported itself as ready, and whether it responded on a new connection. */
export interface ReadinessSample {
  readonly at: number;
  readonly via: string;
  readonly isReady: boolean;
  readonly isAnswered: boolean;
}

/** Resource use of a process at one time. */
export interface ResourceSample {
  readonly at: number;
  readonly name: string;
  readonly life: number;
  readonly rssMb: number;
  readonly descriptors: number;
}

/** A request of a workspace, as its caller observed it. */
export interface AccountRecord {
  readonly tag: string;
  /** Number of the change whose document alone has its key; 0 for the workspace that exceeds its quota. */
  readonly change: number;
  readonly via: string;
  readonly sentAt: number;
  readonly endedAt: number;
  /** HTTP status; 0 without a complete response. */
  readonly status: number;
}

/** A period in which a target named a limit in its responses. */
export interface LimitRecord {
  readonly target: string;
  /** Requests a second. */
  readonly perS: number;
  readonly from: number;
  until: number;
}

/** A large response that a caller did not read for some time after it had begun. */
export interface SlowRead {
  /** The VM to whose sidecar the request was sent. */
  readonly via: string;
  readonly from: number;
  readonly until: number;
  /** HTTP status; 0 without a response. */
  readonly status: number;
  readonly isWhole: boolean;
}

/** Everything that was observed of a soak run, from outside the processes. */
export interface History {
  readonly calls: readonly CallRecord[];
  /** Pipelined requests behind a response that closed the connection, which no target may have got. */
  readonly unread: readonly CallRecord[];
  readonly targets: readonly TargetRecord[];
  readonly stops: readonly StopRecord[];
  readonly configs: readonly ConfigRecord[];
  readonly configLooks: readonly ConfigSample[];
  readonly movedLooks: readonly MovedSample[];
  readonly blackouts: readonly BlackoutRecord[];
  readonly readyLooks: readonly ReadinessSample[];
  readonly disturbances: readonly Disturbance[];
  readonly drains: readonly { readonly target: string; readonly at: number }[];
  readonly accounts: readonly AccountRecord[];
  readonly limits: readonly LimitRecord[];
  /** Targets that said in their responses from `at` on that they were leaving. */
  readonly leavings: readonly { readonly target: string; readonly at: number }[];
  readonly slowReads: readonly SlowRead[];
  readonly uses: readonly ResourceSample[];
  /** End of the last fault, ms. */
  readonly faultsEndAt: number;
  /** End of the load, ms. */
  readonly endAt: number;
}
