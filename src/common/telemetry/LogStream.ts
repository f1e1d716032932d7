import type { Clock } from "../lifecycle/Clock.ts";
import type { LogOutlet } from "./LogOutlet.ts";

/**
 * Lines a second, at most, and as many again at once after quiet. A sidecar writes two
 * to four a request and takes a few dozen requests a second; past this, as in a storm
 * of refusals, one line more tells nothing new.
 */
const LINES_PER_S = 400;

/** Bytes a second, at most: the lines above at 320 bytes each. */
const BYTES_PER_S = 128 * 1024;

/** Share of both bounds that is kept for warnings and errors. */
const URGENT_SHARE = 0.25;

/** Bytes that wait for a slow reader; what comes beyond them is left out. */
const MAX_WAITING_BYTES = 256 * 1024;

/** Lines are gathered for this long and written together, ms: a write costs more than a line. */
const GATHER_MS = 50;

/** Pause before a reader that takes nothing is tried again, ms. */
const RETRY_MS = 100;

/** Levels from bunyan's warning on. */
const WARN = 40;

const NOTHING = Buffer.alloc(0);

/** A record as bunyan hands it on. */
export interface LogRecord {
  readonly level: number;
  readonly time: Date;
  readonly [field: string]: unknown;
}

/**
 * Log records on their way to the process's output, as JSON lines. A burst of lines,
 * or a reader that is slow or gone, costs lines and never a request: what is over the
 * bound is left out, counted, and said in a line of its own.
 */
export class LogStream {
  readonly #outlet: LogOutlet;
  readonly #clock: Clock;
  #waiting: string[] = [];
  /** What the reader did not take of the last chunk. */
  #rest: Buffer = NOTHING;
  #waitingBytes = 0;
  #lines = LINES_PER_S;
  #bytes = BYTES_PER_S;
  #refilledAt: number;
  #leftOut = 0;
  #leftOutSince = 0;
  #isScheduled = false;

  constructor(outlet: LogOutlet, clock: Clock) {
    this.#outlet = outlet;
    this.#clock = clock;
    this.#refilledAt = clock.now();
  }

  /** Lines left out since the start. */
  get leftOut(): number {
    return this.#leftOut;
  }

  /** Takes one record; called by bunyan. */
  write(record: LogRecord): void {
    this.#refill();
    const reserve = record.level >= WARN ? 0 : URGENT_SHARE;
    if (
      this.#lines < 1 + reserve * LINES_PER_S ||
      this.#bytes < reserve * BYTES_PER_S ||
      this.#waitingBytes > MAX_WAITING_BYTES * (1 - reserve)
    ) {
      this.#leftOut += 1;
      this.#leftOutSince += 1;
      return;
    }
    this.#push(toLine(record));
    this.#schedule(GATHER_MS);
  }

  /** Writes what waits now, as far as the reader takes it. Called when the process ends. */
  flush(): void {
    this.#outlet.writeNow(this.#gather());
  }

  #schedule(ms: number): void {
    if (this.#isScheduled) {
      return;
    }
    this.#isScheduled = true;
    this.#clock.after(ms, () => {
      this.#drain(this.#gather());
    });
  }

  /** Takes all that waits, as one chunk. */
  #gather(): Buffer {
    this.#sayLeftOut();
    const chunk = Buffer.concat([this.#rest, Buffer.from(this.#waiting.join(""))]);
    this.#rest = NOTHING;
    this.#waiting = [];
    return chunk;
  }

  /** Hands `chunk` on; whatever the reader does not take now waits for the next try. */
  #drain(chunk: Buffer): void {
    this.#outlet.write(chunk, (taken) => {
      this.#isScheduled = false;
      this.#rest = chunk.subarray(taken);
      this.#waitingBytes -= taken;
      if (this.#rest.length > 0 || this.#waiting.length > 0) {
        this.#schedule(taken > 0 ? GATHER_MS : RETRY_MS);
      }
    });
  }

  #sayLeftOut(): void {
    if (this.#leftOutSince > 0 && this.#waitingBytes <= MAX_WAITING_BYTES) {
      const msg = "log lines left out";
      const line = { time: new Date(), level: WARN, msg, lines: this.#leftOutSince };
      this.#push(toLine(line));
      this.#leftOutSince = 0;
    }
  }

  #push(line: string): void {
    const bytes = Buffer.byteLength(line);
    this.#lines -= 1;
    this.#bytes -= bytes;
    this.#waiting.push(line);
    this.#waitingBytes += bytes;
  }

  #refill(): void {
    const now = this.#clock.now();
    const seconds = (now - this.#refilledAt) / 1000;
    this.#refilledAt = now;
    this.#lines = Math.min(LINES_PER_S, this.#lines + seconds * LINES_PER_S);
    this.#bytes = Math.min(BYTES_PER_S, this.#bytes + seconds * BYTES_PER_S);
  }
}

function toLine(record: object): string {
  try {
    return `${JSON.stringify(record)}\n`;
  } catch (err) {
    // A field that holds itself: the line is worth less than what it is about.
    return `${JSON.stringify({ msg: "a log record that is no JSON", reason: String(err) })}\n`;
  }
}
