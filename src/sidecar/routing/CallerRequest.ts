import type { Readable } from "node:stream";
import type { AttemptId } from "../../common/ids/AttemptId.ts";
import type { DispatchId } from "../../common/ids/DispatchId.ts";
import type { WorkspaceName } from "../../common/ids/WorkspaceName.ts";
import type { RequestOrigin } from "./RequestOrigin.ts";
import type { HeaderList } from "../forwarding/HeaderList.ts";

/** A caller's request while it is being routed to a target. */
export interface CallerRequest {
  readonly attempt: AttemptId;
  readonly method: string;
  readonly path: string;
  /** End-to-end headers. */
  readonly headers: HeaderList;
  readonly body: Buffer | Readable | undefined;
  readonly bodyLength?: number;
  /** By the source address of its connection. */
  readonly origin: RequestOrigin;
  /** By its API key, or the lack of one, where that proves it. */
  readonly provenOrigin?: RequestOrigin;
  /** The workspace whose API key the request carried; undefined if it belongs to none. */
  readonly workspace?: WorkspaceName;
  /** Set by the dispatcher for a request with an idempotency key that must not be repeated. */
  readonly dispatch?: DispatchId;
  /** Arrival time on the monotonic clock, ms. */
  readonly startedAt: number;
  /** Deadline of the final response on the monotonic clock, ms. */
  readonly deadlineAt: number;
  /** Aborted when the caller disconnects. */
  readonly disconnected: AbortSignal;
}
