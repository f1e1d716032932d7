/** Initial size of the buffer in which messages are written, bytes: most messages fit. */
const INITIAL_BYTES = 4096;

/** A buffer that grew beyond this for a large message is not kept, bytes. */
const MAX_KEPT_BYTES = 65_536;

/** Maximum length of a varint, bytes. */
const MAX_VARINT_BYTES = 10;

/** Maximum number of bytes that UTF-8 takes for one UTF-16 code unit. */
const MAX_BYTES_PER_UNIT = 3;

/** Strings up to this length are written byte by byte, which is faster than a call of Node's native function. */
const MAX_SHORT_STRING = 40;

/** Values that the low seven bits of a byte may have, and the bit that says that another byte follows. */
const VALUES_PER_BYTE = 128;

/** Up to this, bitwise operators apply. */
const MAX_INT32 = 2 ** 31 - 1;

/**
 * Writes the wire format of protobuf into one buffer, which is used again for each message. The library's writer makes
 * an object for each value first.
 */
export class ByteWriter {
  #bytes = Buffer.allocUnsafe(INITIAL_BYTES);
  #pos = 0;

  uint32(value: number): void {
    this.#reserve(MAX_VARINT_BYTES);
    let rest = value >>> 0;
    while (rest >= VALUES_PER_BYTE) {
      this.#bytes[this.#pos++] = rest | VALUES_PER_BYTE;
      rest >>>= 7;
    }
    this.#bytes[this.#pos++] = rest;
  }

  sint32(value: number): void {
    this.uint32((value << 1) ^ (value >> 31));
  }

  bool(value: boolean): void {
    this.uint32(value ? 1 : 0);
  }

  /** Writes a signed or unsigned integer, without its fraction; Infinity and NaN as 0. */
  int64(value: number): void {
    this.#reserve(MAX_VARINT_BYTES);
    if (value >= 0 && value <= Number.MAX_SAFE_INTEGER) {
      this.#writeSafe(Math.trunc(value));
    } else {
      this.#writeBig(BigInt.asUintN(64, BigInt(Number.isFinite(value) ? Math.trunc(value) : 0)));
    }
  }

  fixed32(value: number): void {
    this.#reserve(4);
    this.#pos = this.#bytes.writeUInt32LE(value >>> 0, this.#pos);
  }

  string(value: string): void {
    const start = this.begin();
    this.#reserve(value.length * MAX_BYTES_PER_UNIT);
    if (value.length > MAX_SHORT_STRING || !this.#writeAscii(value)) {
      this.#pos = start + this.#bytes.write(value, start, "utf8");
    }
    this.end(start);
  }

  bytes(value: Uint8Array): void {
    this.uint32(value.length);
    this.#reserve(value.length);
    this.#bytes.set(value, this.#pos);
    this.#pos += value.length;
  }

  /** Begins a value that is preceded by its length; returns what {@link end} needs. */
  begin(): number {
    this.#reserve(1);
    this.#pos += 1;
    return this.#pos;
  }

  /** Ends the value that began at `start`; makes room before it if its length needs more than the one byte left for it. */
  end(start: number): void {
    const length = this.#pos - start;
    if (length < VALUES_PER_BYTE) {
      this.#bytes[start - 1] = length;
      return;
    }
    const extra = varintBytes(length) - 1;
    this.#reserve(extra);
    this.#bytes.copyWithin(start + extra, start, this.#pos);
    this.#pos = start - 1;
    this.uint32(length);
    this.#pos += length;
  }

  /** Returns a copy of what was written, and begins anew. */
  finish(): Buffer {
    const result = Buffer.from(this.#bytes.subarray(0, this.#pos));
    this.reset();
    return result;
  }

  /** Drops what was written. */
  reset(): void {
    this.#pos = 0;
    if (this.#bytes.length > MAX_KEPT_BYTES) {
      this.#bytes = Buffer.allocUnsafe(INITIAL_BYTES);
    }
  }

  #writeSafe(value: number): void {
    let rest = value;
    while (rest > MAX_INT32) {
      this.#bytes[this.#pos++] = (rest % VALUES_PER_BYTE) | VALUES_PER_BYTE;
      rest = Math.floor(rest / VALUES_PER_BYTE);
    }
    this.uint32(rest);
  }

  #writeBig(value: bigint): void {
    let rest = value;
    while (rest >= VALUES_PER_BYTE) {
      this.#bytes[this.#pos++] = Number(rest & 127n) | VALUES_PER_BYTE;
      rest >>= 7n;
    }
    this.#bytes[this.#pos++] = Number(rest);
  }

  /** Writes a string of ASCII characters; false if it has others, in which case the position stays. */
  #writeAscii(value: string): boolean {
    let pos = this.#pos;
    const bytes = this.#bytes;
    for (let n = 0; n < value.length; n++) {
      const unit = value.charCodeAt(n);
      if (unit >= VALUES_PER_BYTE) {
        return false;
      }
      bytes[pos++] = unit;
    }
    this.#pos = pos;
    return true;
  }

  #reserve(count: number): void {
    const needed = this.#pos + count;
    if (needed > this.#bytes.length) {
      const larger = Buffer.allocUnsafe(Math.max(needed, this.#bytes.length * 2));
      this.#bytes.copy(larger, 0, 0, this.#pos);
      this.#bytes = larger;
    }
  }
}

function varintBytes(value: number): number {
  let count = 1;
  for (let rest = value; rest >= VALUES_PER_BYTE; rest = Math.floor(rest / VALUES_PER_BYTE)) {
    count += 1;
  }
  return count;
}
