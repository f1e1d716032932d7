import type { Readable } from "node:stream";
import type { AttemptId } from "../../common/ids/AttemptId.ts";
import type { RequestOrigin } from "./RequestOrigin.ts";
import type { HeaderList } from "../forwarding/HeaderList.ts";

/** A caller's request on its way to a target. */
export interface CallerRequest {
  readonly attempt: AttemptId;
  readonly method: string;
  readonly path: string;
  /** End-to-end headers. */
  readonly headers: HeaderList;
  readonly body: Buffer | Readable | undefined;
  readonly bodyLength?: number;
  readonly origin: RequestOrigin;
  /** When it came, by the steady clock, ms. */
  readonly startedAt: number;
  /** When its final answer is due, by the steady clock, ms. */
  readonly deadlineAt: number;
  /** Aborted when the caller has left. */
  readonly left: AbortSignal;
}
