import type { Readable } from "node:stream";
import type { AttemptId } from "../../common/ids/AttemptId.ts";
import type { GrantId } from "../../common/ids/GrantId.ts";
import type { TargetId } from "../../common/ids/TargetId.ts";
import type { HeaderList } from "../forwarding/HeaderList.ts";

/** A caller's request as it crosses to the sidecar beside a target. */
export interface HopRequest {
  readonly attempt: AttemptId;
  readonly target: TargetId;
  readonly grant: GrantId;
  readonly method: string;
  readonly path: string;
  readonly headers: HeaderList;
  readonly body: Buffer | Readable | undefined;
  readonly bodyLength?: number;
  readonly remainingMs: number;
  readonly callerService: string;
  readonly idempotent: boolean;
  readonly echoHeader: string | undefined;
}
