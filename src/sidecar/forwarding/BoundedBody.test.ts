import { PassThrough, type Readable } from "node:stream";
import test from "ava";
import { FakeClock } from "../../../test/fixtures/FakeClock.ts";
import { BoundedBody } from "./BoundedBody.ts";
import { LimitExceededError } from "./LimitExceededError.ts";

const LIMITS = { maxBytes: 100_000, silenceMs: 1000 };

const turn = () => new Promise((resolve) => setImmediate(resolve));

/** Reads all of `source`, waiting `readerMs` by the clock between the reads. */
async function readAll(source: Readable, clock: FakeClock, readerMs: number): Promise<number> {
  const body = new BoundedBody(source, LIMITS, clock);
  let bytes = 0;
  for (let next = await body.next(true); next; next = await body.next(true)) {
    bytes += next.length;
    await clock.advance(readerMs);
  }
  return bytes;
}

/** The sizes of the parts that a target sends, ms between them, and the limit that they exceed. */
const cases: readonly {
  name: string;
  sizes: readonly number[];
  gapMs: number;
  readerMs?: number;
  limit?: string;
}[] = [
  { name: "a body within the limits", sizes: [60_000, 30_000], gapMs: 900 },
  { name: "a slow reader", sizes: [60_000, 30_000], gapMs: 0, readerMs: 60_000 },
  { name: "too many bytes", sizes: [60_000, 60_000], gapMs: 0, limit: "bytes of a response" },
  { name: "silence", sizes: [10, 10], gapMs: 1100, limit: "silence" },
  { name: "one byte at a time", sizes: Array(40).fill(1), gapMs: 100, limit: "less than" },
];

for (const { name, sizes, gapMs, readerMs = 0, limit } of cases) {
  test(`bounded body: ${name}`, async (t) => {
    const clock = new FakeClock();
    const source = new PassThrough();
    const reading = readAll(source, clock, readerMs).catch((err: unknown) => err);
    for (const size of sizes) {
      await turn();
      await clock.advance(gapMs);
      source.write(Buffer.alloc(size));
      await turn();
    }
    source.end();
    const result = await reading;
    if (limit === undefined) {
      t.is(
        result,
        sizes.reduce((sum, size) => sum + size, 0),
      );
    } else {
      t.true(result instanceof LimitExceededError && result.limit.includes(limit));
      t.true(source.destroyed);
    }
  });
}
