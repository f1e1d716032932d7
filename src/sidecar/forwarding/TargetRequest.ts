import type { Readable } from "node:stream";
import type { TargetMetadata } from "../dialect/Dialect.ts";
import type { HeaderList } from "./HeaderList.ts";

/** A caller's request as it is sent to a target. */
export interface TargetRequest {
  readonly method: string;
  readonly path: string;
  /** End-to-end headers, without those that the dialect sets. */
  readonly headers: HeaderList;
  readonly body: Buffer | Readable | undefined;
  /** Length of a body that is streamed, where it is known. */
  readonly bodyLength?: number;
  /** What the target is told besides; the time left is worked out when it is sent. */
  readonly words: Omit<TargetMetadata, "remainingMs">;
  /** When the answer must be there, by the steady clock, ms. */
  readonly deadlineAt: number;
  readonly idempotent: boolean;
  /** Aborted when the caller has left; absent for work that must run to its end. */
  readonly cancelled?: AbortSignal;
  /** Aborted when the target has started again: what it was given is lost, and no answer will come. */
  readonly lost?: AbortSignal;
  /** Read the whole answer, however large, before it counts: needed where it is stored. */
  readonly wholeAnswer?: boolean;
}
