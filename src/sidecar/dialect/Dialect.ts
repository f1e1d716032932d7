import type { IncomingHttpHeaders } from "node:http";
import type { AttemptId } from "../../common/ids/AttemptId.ts";
import type { ServiceName } from "../../common/ids/ServiceName.ts";
import type { TargetId } from "../../common/ids/TargetId.ts";

/** What a caller says of its request besides the request itself. */
export interface CallerMetadata {
  readonly attempt: AttemptId;
  /** How long the caller will wait, ms; undefined when it does not say. */
  readonly remainingMs: number | undefined;
}

/** What a target is told of a request besides the request itself. */
export interface TargetMetadata {
  readonly attempt: AttemptId;
  /** Time left for the answer, ms. */
  readonly remainingMs: number;
  /** The target that is meant; another one at its address must not run it. */
  readonly target: TargetId;
  /** The service beside which the request began; empty when unknown. */
  readonly callerService: ServiceName | "";
  /** The header in which targets of the service echo the id they are sent, if they do. */
  readonly echoHeader: string | undefined;
}

/** What the head of an answer says about whose it is and whether the request ran. */
export type ResponseHead =
  | { readonly kind: "own" }
  /** The target says that it did not run the request; another target may be at the address. */
  | {
      readonly kind: "not-run";
      readonly retryAfterMs: number | undefined;
      readonly otherTarget: TargetId | undefined;
    }
  /** Not the answer to this request: whose it is cannot be told, and nobody gets it. */
  | { readonly kind: "foreign"; readonly reason: string };

/**
 * How callers and targets put in headers what HTTP itself has no words for. The
 * sidecar decides by what is said here, never by a header's name.
 */
export interface Dialect {
  /** Reads what a caller says; a text tells it what is wrong with its request. */
  readCaller(headers: IncomingHttpHeaders): CallerMetadata | string;
  /** Headers for the target; they replace any that the caller sent under these names. */
  writeTarget(words: TargetMetadata): Record<string, string>;
  /** Reads the head of a target's answer to what {@link writeTarget} said. */
  readResponse(words: TargetMetadata, status: number, headers: IncomingHttpHeaders): ResponseHead;
  /** The `Retry-After` that says to come back after `ms`. */
  writeRetryAfter(ms: number): string;
}
