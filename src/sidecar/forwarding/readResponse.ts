import { Readable } from "node:stream";
import { AttemptOutcome } from "../detection/AttemptOutcome.ts";

/** Response bodies up to this size are buffered before any part is returned to the caller, bytes. */
const MAX_BUFFERED_BYTES = 1 << 20;

/** A buffered body, or a stream of a large one and the outcome with which it ended. */
type ResponseBody =
  { readonly body: Buffer } | { readonly body: Readable; readonly ended: Promise<AttemptOutcome> };

/** Checks a body that has ended; rejects if it was truncated. */
type CheckEnd = () => Promise<void>;

/**
 * Reads the body of a target's response. A body of ordinary size is buffered, so that the request can still be retried
 * at another target if the body is truncated. A larger one (such as a trend report) is streamed once more than
 * {@link MAX_BUFFERED_BYTES} have been read; the stream fails if the target truncates it. Rejects if the body is
 * truncated before that.
 *
 * @param bufferAll buffer the body whatever its size
 */
export async function readResponse(
  source: Readable,
  bufferAll: boolean,
  checkEnd: CheckEnd = () => Promise.resolve(),
): Promise<ResponseBody> {
  const chunks: Buffer[] = [];
  let size = 0;
  const iterator = source[Symbol.asyncIterator]() as AsyncIterator<Buffer, undefined>;
  for (;;) {
    const next = await iterator.next();
    if (next.done) {
      await checkEnd();
      return { body: Buffer.concat(chunks) };
    }
    chunks.push(next.value);
    size += next.value.length;
    if (size > MAX_BUFFERED_BYTES && !bufferAll) {
      return streamRest(chunks, iterator, checkEnd);
    }
  }
}

function streamRest(
  buffered: readonly Buffer[],
  iterator: AsyncIterator<Buffer, undefined>,
  checkEnd: CheckEnd,
): ResponseBody {
  let settle: (outcome: AttemptOutcome) => void = () => undefined;
  const ended = new Promise<AttemptOutcome>((resolve) => (settle = resolve));
  const body = Readable.from(
    (async function* () {
      let outcome = AttemptOutcome.Cancelled; // Remains the outcome if the caller stops reading.
      try {
        yield* buffered;
        for (let next = await readNext(); !next.done; next = await readNext()) {
          yield next.value;
        }
        outcome = AttemptOutcome.Ok;
      } finally {
        settle(outcome);
        await iterator.return?.();
      }

      async function readNext() {
        try {
          const next = await iterator.next();
          if (next.done) {
            await checkEnd();
          }
          return next;
        } catch (err) {
          outcome = AttemptOutcome.Failed;
          throw err;
        }
      }
    })(),
    { objectMode: false },
  );
  return { body, ended };
}
