import { Readable } from "node:stream";
import { AttemptOutcome } from "../detection/AttemptOutcome.ts";

/** Answers up to this size are read whole before any of it goes to the caller, bytes. */
const MAX_BUFFERED_BYTES = 1 << 20;

/** A body read whole, or a stream of a large one and how it ended. */
type Answer =
  { readonly body: Buffer } | { readonly body: Readable; readonly ended: Promise<AttemptOutcome> };

/** Looks at a body that has come to its end; rejects when that was no proper end. */
type CheckEnd = () => Promise<void>;

/**
 * Reads a target's answer. One of ordinary size is read whole, so that it can
 * still be retried elsewhere when it is cut short. A large one (a trend report)
 * is passed on as it comes, after its first {@link MAX_BUFFERED_BYTES}; it
 * fails when the target cuts it short. Rejects when cut short before that.
 */
export async function readResponse(
  source: Readable,
  whole: boolean,
  checkEnd: CheckEnd = () => Promise.resolve(),
): Promise<Answer> {
  const chunks: Buffer[] = [];
  let size = 0;
  const rest = source[Symbol.asyncIterator]() as AsyncIterator<Buffer, undefined>;
  for (;;) {
    const next = await rest.next();
    if (next.done) {
      await checkEnd();
      return { body: Buffer.concat(chunks) };
    }
    chunks.push(next.value);
    size += next.value.length;
    if (size > MAX_BUFFERED_BYTES && !whole) {
      return streamOn(chunks, rest, checkEnd);
    }
  }
}

function streamOn(
  first: readonly Buffer[],
  rest: AsyncIterator<Buffer, undefined>,
  checkEnd: CheckEnd,
): Answer {
  let settle: (how: AttemptOutcome) => void = () => undefined;
  const ended = new Promise<AttemptOutcome>((resolve) => (settle = resolve));
  const body = Readable.from(
    (async function* () {
      let how = AttemptOutcome.Cancelled; // Stays so when the caller stops reading.
      try {
        yield* first;
        for (let next = await pull(); !next.done; next = await pull()) {
          yield next.value;
        }
        how = AttemptOutcome.Ok;
      } finally {
        settle(how);
        await rest.return?.();
      }

      async function pull() {
        try {
          const next = await rest.next();
          if (next.done) {
            await checkEnd();
          }
          return next;
        } catch (err) {
          how = AttemptOutcome.Failed;
          throw err;
        }
      }
    })(),
    { objectMode: false },
  );
  return { body, ended };
}
