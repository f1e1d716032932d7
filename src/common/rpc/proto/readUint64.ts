import type { Reader } from "protobufjs/minimal.js";

/** Maximum length of a varint, bytes. */
const MAX_BYTES = 10;

/** Values that the low seven bits of a byte may have, and the bit that says that another byte follows. */
const VALUES_PER_BYTE = 128;

/**
 * Reads a varint of up to 64 bits as a number, exactly up to 2^53: the library's `uint64` makes two objects for each.
 * Throws an error if the varint does not end within the message or within 10 bytes.
 */
export function readUint64(reader: Reader): number {
  const { buf, len } = reader;
  let value = 0;
  let unit = 1;
  for (let n = 0; n < MAX_BYTES && reader.pos < len; n++) {
    const byte = buf[reader.pos++] ?? 0;
    value += (byte % VALUES_PER_BYTE) * unit;
    if (byte < VALUES_PER_BYTE) {
      return value;
    }
    unit *= VALUES_PER_BYTE;
  }
  throw new RangeError("varint without an end");
}
