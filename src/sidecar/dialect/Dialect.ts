import type { IncomingHttpHeaders } from "node:http";
import type { AttemptId } from "../../common/ids/AttemptId.ts";
import type { ServiceName } from "../../common/ids/ServiceName.ts";
import type { TargetId } from "../../common/ids/TargetId.ts";
import type { WorkspaceName } from "../../common/ids/WorkspaceName.ts";
import type { TargetSignals } from "../signals/TargetSignals.ts";

/** Metadata that a caller sends with its request. */
export interface CallerMetadata {
  readonly attempt: AttemptId;
  /** Time that the caller will wait for the response, ms; undefined if it is not specified. */
  readonly remainingMs: number | undefined;
}

/** Metadata that a target gets with a request. */
export interface TargetMetadata {
  readonly attempt: AttemptId;
  /** Time left until the deadline of the response, ms. */
  readonly remainingMs: number;
  /** The target that the request is for; another one at the same address must not run it. */
  readonly target: TargetId;
  /** The service whose sidecar received the request from the caller; empty if unknown. */
  readonly callerService: ServiceName | "";
  /** The workspace that the request belongs to; undefined if it belongs to none. */
  readonly workspace?: WorkspaceName;
  /** Header for the attempt id, which targets of the service echo in the response; undefined if they do not. */
  readonly echoHeader: string | undefined;
}

/** Headers of a response, as received or as stored. */
export type ResponseHeaders = Readonly<Record<string, string | string[] | undefined>>;

/** What the head of a response says: whether it belongs to this request, and whether the request ran. */
export type ResponseHead =
  | { readonly kind: "own" }
  /** The target did not run the request. `otherTarget` is set if another target is at the address. */
  | {
      readonly kind: "not-run";
      readonly retryAfterMs: number | undefined;
      readonly otherTarget: TargetId | undefined;
    }
  /** Not the response to this request. It is discarded, since the request that it belongs to is unknown. */
  | { readonly kind: "foreign"; readonly reason: string };

/**
 * Converts between the headers that callers and targets use and metadata for which HTTP has no
 * standard fields. The sidecar decides by this metadata and never by the name of a header.
 */
export interface Dialect {
  /** Name of the header, in lower case, with which a target is sent the workspace of a request. */
  readonly workspaceHeader: string;
  /** Reads the metadata of a caller's request; returns an error message for the caller if a header is invalid. */
  readCaller(headers: IncomingHttpHeaders): CallerMetadata | string;
  /** Headers for the target, which replace headers of the same names from the caller. */
  writeTarget(metadata: TargetMetadata): Record<string, string>;
  /** Reads the head of a target's response to a request sent with the headers from {@link writeTarget}. */
  readResponse(
    metadata: TargetMetadata,
    status: number,
    headers: IncomingHttpHeaders,
  ): ResponseHead;
  /** Reads what a response's headers say about the target that sent it; undefined if that is another target. */
  readSignals(status: number, headers: ResponseHeaders): TargetSignals | undefined;
  /** The value of `Retry-After` for a delay of `ms`. */
  writeRetryAfter(ms: number): string;
}
