import type { Clock } from "../lifecycle/Clock.ts";
import type { LogSink } from "./LogSink.ts";

/**
 * Maximum rate of lines, and maximum burst after a quiet period. A sidecar writes two
 * to four lines for each request and handles a few dozen requests a second. Beyond this
 * rate, for example while very many requests are refused, further lines add nothing new.
 */
const MAX_LINES_PER_S = 400;

/** Maximum rate of bytes, and maximum burst: {@link MAX_LINES_PER_S} lines of about 320 bytes. */
const MAX_BYTES_PER_S = 128 * 1024;

/** Fraction of the rate limits and of the buffer that is reserved for warnings and errors. */
const URGENT_RESERVE = 0.25;

/** Maximum number of bytes buffered for a slow reader; further lines are dropped. */
const MAX_BUFFERED_BYTES = 256 * 1024;

/** Lines are buffered for this long and written together, ms, because each write is more expensive than a line. */
const BATCH_MS = 50;

/** Delay before the next write when the reader accepted nothing, ms. */
const RETRY_MS = 100;

/** bunyan's warning level; higher levels are more severe. */
const WARN = 40;

const EMPTY = Buffer.alloc(0);

/** A log record as bunyan passes it to a raw stream. */
export interface LogRecord {
  readonly level: number;
  readonly time: Date;
  readonly [field: string]: unknown;
}

/**
 * Writes log records to the process's output as JSON lines, rate-limited by token
 * buckets and buffered up to a limit. A burst of lines, or a reader that is slow or
 * gone, loses log lines but never delays a request: lines beyond the limits are
 * dropped, counted, and reported in a separate log line.
 */
export class LogStream {
  readonly #sink: LogSink;
  readonly #clock: Clock;
  #buffered: string[] = [];
  /** The part of the last chunk that the reader has not accepted yet. */
  #unwritten: Buffer = EMPTY;
  #bufferedBytes = 0;
  #lineTokens = MAX_LINES_PER_S;
  #byteTokens = MAX_BYTES_PER_S;
  #refilledAt: number;
  #dropped = 0;
  #unreportedDrops = 0;
  #isScheduled = false;

  constructor(sink: LogSink, clock: Clock) {
    this.#sink = sink;
    this.#clock = clock;
    this.#refilledAt = clock.now();
  }

  /** Number of lines dropped since the start. */
  get dropped(): number {
    return this.#dropped;
  }

  /** Buffers or drops one record; called by bunyan. */
  write(record: LogRecord): void {
    this.#refill();
    const reserved = record.level >= WARN ? 0 : URGENT_RESERVE;
    if (
      this.#lineTokens < 1 + reserved * MAX_LINES_PER_S ||
      this.#byteTokens < reserved * MAX_BYTES_PER_S ||
      this.#bufferedBytes > MAX_BUFFERED_BYTES * (1 - reserved)
    ) {
      this.#dropped += 1;
      this.#unreportedDrops += 1;
      return;
    }
    this.#push(toLine(record));
    this.#schedule(BATCH_MS);
  }

  /** Synchronously writes the buffered lines, as far as the reader accepts them. Called when the process ends. */
  flush(): void {
    this.#sink.writeNow(this.#takeBuffered());
  }

  #schedule(ms: number): void {
    if (this.#isScheduled) {
      return;
    }
    this.#isScheduled = true;
    this.#clock.after(ms, () => {
      this.#drain(this.#takeBuffered());
    });
  }

  /** Removes everything that is buffered and returns it as one chunk. */
  #takeBuffered(): Buffer {
    this.#reportDropped();
    const chunk = Buffer.concat([this.#unwritten, Buffer.from(this.#buffered.join(""))]);
    this.#unwritten = EMPTY;
    this.#buffered = [];
    return chunk;
  }

  /** Writes `chunk`; whatever the reader does not accept is kept for the next write. */
  #drain(chunk: Buffer): void {
    this.#sink.write(chunk, (written) => {
      this.#isScheduled = false;
      this.#unwritten = chunk.subarray(written);
      this.#bufferedBytes -= written;
      if (this.#unwritten.length > 0 || this.#buffered.length > 0) {
        this.#schedule(written > 0 ? BATCH_MS : RETRY_MS);
      }
    });
  }

  #reportDropped(): void {
    if (this.#unreportedDrops > 0 && this.#bufferedBytes <= MAX_BUFFERED_BYTES) {
      const msg = "log lines dropped";
      const line = { time: new Date(), level: WARN, msg, lines: this.#unreportedDrops };
      this.#push(toLine(line));
      this.#unreportedDrops = 0;
    }
  }

  #push(line: string): void {
    const bytes = Buffer.byteLength(line);
    this.#lineTokens -= 1;
    this.#byteTokens -= bytes;
    this.#buffered.push(line);
    this.#bufferedBytes += bytes;
  }

  #refill(): void {
    const now = this.#clock.now();
    const seconds = (now - this.#refilledAt) / 1000;
    this.#refilledAt = now;
    this.#lineTokens = Math.min(MAX_LINES_PER_S, this.#lineTokens + seconds * MAX_LINES_PER_S);
    this.#byteTokens = Math.min(MAX_BYTES_PER_S, this.#byteTokens + seconds * MAX_BYTES_PER_S);
  }
}

function toLine(record: object): string {
  try {
    return `${JSON.stringify(record)}\n`;
  } catch (err) {
    // A circular reference in a field: losing the line is better than failing the code that logs.
    return `${JSON.stringify({ msg: "log record cannot be serialized as JSON", reason: String(err) })}\n`;
  }
}
