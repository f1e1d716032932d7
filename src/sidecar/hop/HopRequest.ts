import type { Readable } from "node:stream";
import type { AttemptId } from "../../common/ids/AttemptId.ts";
import type { DispatchId } from "../../common/ids/DispatchId.ts";
import type { GrantId } from "../../common/ids/GrantId.ts";
import type { TargetId } from "../../common/ids/TargetId.ts";
import type { WorkspaceName } from "../../common/ids/WorkspaceName.ts";
import type { HeaderList } from "../forwarding/HeaderList.ts";

/** A caller's request as it is forwarded to the sidecar of a target. */
export interface HopRequest {
  readonly attempt: AttemptId;
  readonly target: TargetId;
  readonly grant: GrantId;
  readonly method: string;
  readonly path: string;
  readonly headers: HeaderList;
  readonly body: Buffer | Readable | undefined;
  /** Length of a streamed body, bytes, if known. */
  readonly bodyLength?: number;
  /** Whether the grant has expired, by what this sidecar knows; for a request whose outcome must not become unknown. */
  readonly isGrantExpired?: () => boolean;
  /** Time remaining for the response, ms. */
  readonly remainingMs: number;
  /** For a request with an idempotency key: id that the first sidecar has given to it. */
  readonly dispatch?: DispatchId;
  /** For a request with an idempotency key: time since its arrival at the first sidecar, ms. */
  readonly ageMs?: number;
  /** Name of the service co-located with the sidecar at which the request originated; empty if unknown. */
  readonly callerService: string;
  /** The workspace that the request belongs to; undefined if it belongs to none. */
  readonly workspace?: WorkspaceName;
  readonly idempotent: boolean;
  /** Name of the header in which targets of the service echo the attempt id, if they do. */
  readonly echoHeader: string | undefined;
}
