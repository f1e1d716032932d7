import { Readable } from "node:stream";
import type { ResponseLimits } from "../../common/document/ResponseLimits.ts";
import type { Clock } from "../../common/lifecycle/Clock.ts";
import { AttemptOutcome } from "../detection/AttemptOutcome.ts";
import type { MemoryAccount } from "../memory/MemoryAccount.ts";
import type { MemoryHold } from "../memory/MemoryHold.ts";
import { MemoryHolder } from "../memory/MemoryHolder.ts";
import { BoundedBody } from "./BoundedBody.ts";
import { LimitExceededError } from "./LimitExceededError.ts";

/** Response bodies up to this size are buffered before any part is returned to the caller, bytes. */
const MAX_BUFFERED_BYTES = 1 << 20;

/**
 * Response bodies up to this size are buffered if all of a body should be, bytes. A faulty target sends hundreds of MB
 * until the deadline, and a sidecar has 250 MB of memory.
 */
const MAX_WHOLE_BYTES = 64 << 20;

/** A buffered body, or a stream of a large one and the outcome with which it ended. */
type ResponseBody =
  { readonly body: Buffer } | { readonly body: Readable; readonly ended: Promise<AttemptOutcome> };

interface ReadOptions {
  /** Buffer the body whatever its size, as far as memory allows. */
  readonly bufferAll: boolean;
  /** Checks a body that has ended; rejects if it was truncated. */
  readonly checkEnd?: () => Promise<void>;
  /** Called when a part of the body has arrived, until the result is returned. */
  readonly onPart?: () => void;
  readonly limits: ResponseLimits;
  readonly memory: MemoryAccount;
  readonly clock: Clock;
}

/**
 * Reads the body of a target's response. A body of ordinary size is buffered, so that the request can still be retried
 * at another target if the body is truncated. A larger one (such as a trend report) is streamed once more than
 * {@link MAX_BUFFERED_BYTES} have been read; the stream fails if the target truncates it or exceeds a limit. Rejects if
 * that happens before.
 */
export async function readResponse(source: Readable, options: ReadOptions): Promise<ResponseBody> {
  const { limits, clock, memory, checkEnd } = options;
  const reader = new BoundedBody(source, limits, clock);
  const hold = memory.hold(MemoryHolder.Receiving);
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    for (;;) {
      const next = await reader.next(false);
      if (next === undefined) {
        await checkEnd?.();
        hold.release();
        return { body: Buffer.concat(chunks) };
      }
      options.onPart?.();
      chunks.push(next);
      size += next.length;
      hold.add(next.length);
      if (!mayBuffer(size, options)) {
        return streamRest(chunks, reader, hold, checkEnd);
      }
    }
  } catch (err) {
    hold.release();
    throw err;
  }
}

function mayBuffer(size: number, { bufferAll, memory }: ReadOptions): boolean {
  return size <= MAX_BUFFERED_BYTES || (bufferAll && size <= MAX_WHOLE_BYTES && !memory.mustStream);
}

function streamRest(
  buffered: Buffer[],
  reader: BoundedBody,
  hold: MemoryHold,
  checkEnd: ReadOptions["checkEnd"],
): ResponseBody {
  let outcome = AttemptOutcome.Cancelled; // Remains the outcome if the caller stops reading.
  const pull = async (): Promise<Buffer | undefined> => {
    const first = buffered.shift();
    hold.add(-(first?.length ?? 0));
    const next = first ?? (await reader.next(true));
    if (next === undefined) {
      await checkEnd?.();
      outcome = AttemptOutcome.Ok;
    }
    return next;
  };
  const body = new Readable({
    read() {
      pull().then(
        (chunk) => this.push(chunk ?? null),
        (err: unknown) => {
          const isExceeded = err instanceof LimitExceededError;
          outcome = isExceeded ? AttemptOutcome.InvalidResponse : AttemptOutcome.Failed;
          this.destroy(err instanceof Error ? err : new Error(String(err)));
        },
      );
    },
    destroy(err, callback) {
      reader.close();
      callback(err);
    },
  });
  const ended = new Promise<AttemptOutcome>((resolve) => {
    body.once("close", () => {
      hold.release();
      resolve(outcome);
    });
  });
  return { body, ended };
}
