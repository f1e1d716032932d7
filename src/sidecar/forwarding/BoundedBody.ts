import type { Readable } from "node:stream";
import type { Clock } from "../../common/lifecycle/Clock.ts";
import type { ResponseLimits } from "../../common/document/ResponseLimits.ts";
import { LimitExceededError } from "./LimitExceededError.ts";

/**
 * Bytes that a body must deliver in each `silenceMs` that is spent waiting for it. A body that delivers less, such as
 * one byte at a time, would otherwise never be silent. The slowest links carry several hundred times as much.
 */
const MIN_DELIVERED_BYTES = 1024;

/**
 * Reads a response's body within the limits. Only the time in which a reader waits for the body counts, not the time
 * that the reader takes, so a slow reader never exceeds a limit. When one is exceeded, the source is destroyed, which
 * closes its connection.
 */
export class BoundedBody {
  readonly #source: Readable;
  readonly #iterator: AsyncIterator<Buffer, undefined>;
  readonly #limits: ResponseLimits;
  readonly #clock: Clock;
  #bytes = 0;
  /** Time spent waiting, ms, and bytes received, since the last check of how much was delivered. */
  #waitedMs = 0;
  #delivered = 0;

  constructor(source: Readable, limits: ResponseLimits, clock: Clock) {
    this.#source = source;
    this.#iterator = source[Symbol.asyncIterator]() as AsyncIterator<Buffer, undefined>;
    this.#limits = limits;
    this.#clock = clock;
  }

  /**
   * The next part of the body; undefined at its end. Rejects if the body is cut short, or exceeds a limit.
   *
   * @param isTimed whether the limit on silence applies; before a response is passed on, its deadline does
   */
  async next(isTimed: boolean): Promise<Buffer | undefined> {
    const { silenceMs = Infinity, maxBytes = Infinity } = this.#limits;
    const startedAt = this.#clock.now();
    const timer =
      isTimed && silenceMs < Infinity
        ? this.#clock.timeout(silenceMs, () => {
            this.#fail(`${silenceMs} ms of silence within a response`);
          })
        : undefined;
    const { value, done } = await this.#iterator.next().finally(() => timer?.cancel());
    if (done) {
      return undefined;
    }
    this.#bytes += value.length;
    if (this.#bytes > maxBytes) {
      throw this.#fail(`${maxBytes} bytes of a response`);
    }
    if (isTimed) {
      this.#checkDelivery(value.length, this.#clock.now() - startedAt);
    }
    return value;
  }

  /** Ends reading; closes the connection if the body has not ended. */
  close(): void {
    if (!this.#source.readableEnded) {
      this.#source.destroy();
    }
  }

  #checkDelivery(bytes: number, waitedMs: number): void {
    const { silenceMs = Infinity } = this.#limits;
    this.#waitedMs += waitedMs;
    this.#delivered += bytes;
    if (this.#waitedMs < silenceMs) {
      return;
    }
    if (this.#delivered < MIN_DELIVERED_BYTES) {
      throw this.#fail(`less than ${MIN_DELIVERED_BYTES} bytes of a response in ${silenceMs} ms`);
    }
    this.#waitedMs = 0;
    this.#delivered = 0;
  }

  #fail(limit: string): LimitExceededError {
    const err = new LimitExceededError(limit);
    this.#source.destroy(err);
    return err;
  }
}
