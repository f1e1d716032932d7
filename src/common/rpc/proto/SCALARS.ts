import type protobuf from "protobufjs/minimal.js";
import type { ByteWriter } from "./ByteWriter.ts";
import { readUint64 } from "./readUint64.ts";

type Reader = protobuf.Reader;

/** Wire types of protobuf. */
const VARINT = 0;
const LENGTH_DELIMITED = 2;
const FIXED_32 = 5;

const TWO_TO_32 = 2 ** 32;

/** How values of one scalar type are written and read. */
interface ScalarCodec {
  readonly wireType: number;
  readonly default: () => unknown;
  readonly write: (writer: ByteWriter, value: never) => void;
  readonly read: (reader: Reader) => unknown;
}

/** The scalar types of protobuf that the schemas use, by name. */
export const SCALARS: Readonly<Record<string, ScalarCodec>> = {
  string: {
    wireType: LENGTH_DELIMITED,
    default: () => "",
    write: (w, value: string) => {
      w.string(value);
    },
    read: (r) => r.string(),
  },
  bytes: {
    wireType: LENGTH_DELIMITED,
    default: () => Buffer.alloc(0),
    write: (w, value: Uint8Array) => {
      w.bytes(value);
    },
    read: (r) => r.bytes(),
  },
  bool: {
    wireType: VARINT,
    default: () => false,
    write: (w, value: boolean) => {
      w.bool(value);
    },
    read: (r) => r.bool(),
  },
  uint32: {
    wireType: VARINT,
    default: () => 0,
    write: (w, value: number) => {
      w.uint32(value);
    },
    read: (r) => r.uint32(),
  },
  sint32: {
    wireType: VARINT,
    default: () => 0,
    write: (w, value: number) => {
      w.sint32(value);
    },
    read: (r) => r.sint32(),
  },
  uint64: {
    wireType: VARINT,
    default: () => 0,
    write: (w, value: number) => {
      w.int64(value);
    },
    read: readUint64,
  },
  int64: {
    wireType: VARINT,
    default: () => 0,
    write: (w, value: number) => {
      w.int64(value);
    },
    read: (r) => toNumber(r.int64()),
  },
  fixed32: {
    wireType: FIXED_32,
    default: () => 0,
    write: (w, value: number) => {
      w.fixed32(value);
    },
    read: (r) => r.fixed32(),
  },
};

/** From the two halves: `Number` of a Long goes through its decimal digits. */
function toNumber(value: protobuf.Long | number): number {
  return typeof value === "number" ? value : value.high * TWO_TO_32 + (value.low >>> 0);
}
