import type { CallKind } from "./SoakPlan.ts";

/** A caller's request and what came back, as its caller saw it. Times are ms after the start of the load. */
export interface CallRecord {
  /** Names the request; sent as a header, which targets echo in the body. */
  readonly tag: string;
  readonly kind: CallKind;
  /** The service that it is for. */
  readonly service: string;
  /** The VM whose sidecar took it. */
  readonly via: string;
  /** It was sent again under the key of this request, which came first. */
  readonly resendOf: string | undefined;
  readonly sentAt: number;
  readonly endedAt: number;
  /** 0 where the connection ended without a whole answer. */
  readonly status: number;
  /** The product's word on whether it ran; empty where there is none. */
  readonly verdict: string;
  /** The tag in the body; undefined where the body tells none. */
  readonly bodyTag: string | undefined;
  /** The body was as long as was asked for, and well formed. */
  readonly isWhole: boolean;
  /** Bytes of an answer had arrived when the connection ended. */
  readonly hadBegun: boolean;
}

/** What a target did with a request, as it wrote down itself. */
export interface TargetRecord {
  readonly at: number;
  readonly target: string;
  readonly service: string;
  readonly tag: string;
  /** It arrived; it was run to its effect; it was refused, unrun. */
  readonly event: "arrived" | "ran" | "shed";
}

/** A time that a VM's process was told to stop, until it had ended. */
export interface StopRecord {
  readonly on: string;
  readonly at: number;
  readonly endedAt: number;
  readonly code: number | null;
}

/** A change of the operators', and what they were told of it. */
export interface ConfigRecord {
  /** Names the route that only this change's document has. */
  readonly change: number;
  readonly sentAt: number;
  readonly outcome: "accepted" | "refused" | "unknown";
  /** The version that it became; 0 where it was not accepted, as far as is known. */
  readonly version: number;
  /** When it was accepted; Infinity for never, as far as is known. */
  readonly acceptedAt: number;
}

/** What a look at the route that only one version has showed, through one sidecar. */
export interface ConfigSample {
  readonly at: number;
  readonly via: string;
  /** Names one life of the process. */
  readonly life: number;
  /** The accepted version whose route was asked for. */
  readonly version: number;
  readonly isThere: boolean;
}

/** A time in which something from outside held a process, its links or its target. */
export interface Disturbance {
  readonly on: string;
  readonly kind: string;
  readonly from: number;
  readonly until: number;
}

/** Whether a sidecar said that it is ready, and whether a new connection to it was answered. */
export interface ReadinessSample {
  readonly at: number;
  readonly via: string;
  readonly isReady: boolean;
  readonly isAnswered: boolean;
}

/** What a process used at a moment. */
export interface ResourceSample {
  readonly at: number;
  readonly name: string;
  readonly life: number;
  readonly rssMb: number;
  readonly descriptors: number;
}

/** All that was seen of a run, from outside. */
export interface History {
  readonly calls: readonly CallRecord[];
  readonly targets: readonly TargetRecord[];
  readonly stops: readonly StopRecord[];
  readonly configs: readonly ConfigRecord[];
  readonly configLooks: readonly ConfigSample[];
  readonly readyLooks: readonly ReadinessSample[];
  readonly disturbances: readonly Disturbance[];
  readonly drains: readonly { readonly target: string; readonly at: number }[];
  readonly uses: readonly ResourceSample[];
  /** End of the last fault, and of the load, ms. */
  readonly faultsEndAt: number;
  readonly endAt: number;
}
