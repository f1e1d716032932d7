import test from "ava";
import protobuf from "protobufjs/minimal.js";
import { ByteWriter } from "./ByteWriter.ts";
import { readUint64 } from "./readUint64.ts";

/** Lengths around those at which the length of a value, or the buffer, needs more bytes. */
const LENGTHS = [0, 1, 40, 41, 127, 128, 16_383, 16_384, 100_000];

for (const length of LENGTHS) {
  for (const unit of ["x", "ü", "€", "😀"]) {
    test(`byte writer: ${length} times ${unit} within a nested value: as by the library`, (t) => {
      const text = unit.repeat(length);
      const writer = new ByteWriter();
      const start = writer.begin();
      writer.uint32(7);
      writer.string(text);
      writer.end(start);
      const expected = protobuf.Writer.create().fork().uint32(7).string(text).ldelim().finish();
      t.deepEqual(writer.finish(), Buffer.from(expected));
    });
  }
}

const NUMBERS = [0, 1, 127, 128, 2 ** 31 - 1, 2 ** 31, 2 ** 32 - 1, 2 ** 32, 2 ** 53 - 1];

for (const value of [...NUMBERS, -1, -(2 ** 31), -(2 ** 53 - 1), 1.5, NaN, Infinity]) {
  test(`byte writer: the integer ${value} is written as by the library`, (t) => {
    const writer = new ByteWriter();
    writer.int64(value);
    const bytes = writer.finish();
    t.deepEqual(bytes, Buffer.from(protobuf.Writer.create().int64(value).finish()));
    if (NUMBERS.includes(value)) {
      t.is(readUint64(protobuf.Reader.create(bytes)), value);
    }
  });
}

// A varint without an end must not be read beyond the message, nor without end.
for (const length of [0, 1, 9, 10, 11]) {
  test(`readUint64: ${length} bytes that all say that another follows are rejected`, (t) => {
    const reader = protobuf.Reader.create(Buffer.alloc(length, 0xff));
    t.throws(() => readUint64(reader), { instanceOf: RangeError });
    t.true(reader.pos <= reader.len);
  });
}
