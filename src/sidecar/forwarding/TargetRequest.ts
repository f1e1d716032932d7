import type { Readable } from "node:stream";
import type { DispatchId } from "../../common/ids/DispatchId.ts";
import type { TargetMetadata } from "../dialect/Dialect.ts";
import type { HeaderList } from "./HeaderList.ts";

/** A caller's request as it is sent to a target. */
export interface TargetRequest {
  readonly method: string;
  readonly path: string;
  /** End-to-end headers, without those that the dialect sets. */
  readonly headers: HeaderList;
  readonly body: Buffer | Readable | undefined;
  /** Length of a streamed body, bytes, if known. */
  readonly bodyLength?: number;
  /** Metadata sent to the target in headers; the remaining time is computed when the request is sent. */
  readonly metadata: Omit<TargetMetadata, "remainingMs">;
  /** Id that the first sidecar has given to a request with an idempotency key. */
  readonly dispatch?: DispatchId;
  /** Arrival at the first sidecar, by the monotonic clock, ms; undefined if unknown. */
  readonly startedAt?: number;
  /** Deadline for the response, by the monotonic clock, ms. */
  readonly deadlineAt: number;
  readonly idempotent: boolean;
  /** Aborted when the caller has disconnected; undefined for requests that must run to completion. */
  readonly cancelled?: AbortSignal;
  /** Aborted when the target has restarted: the run is lost, and no response will arrive. */
  readonly targetRestarted?: AbortSignal;
  /** Buffer the complete response, whatever its size, before returning it; needed if the response is stored. */
  readonly bufferResponse?: boolean;
}
