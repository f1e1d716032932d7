import protobuf from "protobufjs/minimal.js";
import type { FieldSchema, ProtoSchema } from "./ProtoSchema.ts";

type Reader = protobuf.Reader;
type Writer = protobuf.Writer;
type Message = Record<string, unknown>;

/** Number of the low bits of a field's key, which hold its wire type. */
const WIRE_TYPE_BITS = 3;

/** Wire types of protobuf. */
const VARINT = 0;
const LENGTH_DELIMITED = 2;
const FIXED_32 = 5;

/** Ids of the key and the value in an entry of a map. */
const MAP_KEY_ID = 1;
const MAP_VALUE_ID = 2;

/** How values of one scalar type are written and read. */
interface ScalarCodec {
  readonly wireType: number;
  readonly default: () => unknown;
  readonly write: (writer: Writer, value: never) => void;
  readonly read: (reader: Reader) => unknown;
}

const SCALARS: Readonly<Record<string, ScalarCodec>> = {
  string: {
    wireType: LENGTH_DELIMITED,
    default: () => "",
    write: (w, value: string) => w.string(value),
    read: (r) => r.string(),
  },
  bytes: {
    wireType: LENGTH_DELIMITED,
    default: () => Buffer.alloc(0),
    write: (w, value: Uint8Array) => w.bytes(value),
    read: (r) => r.bytes(),
  },
  bool: {
    wireType: VARINT,
    default: () => false,
    write: (w, value: boolean) => w.bool(value),
    read: (r) => r.bool(),
  },
  uint32: {
    wireType: VARINT,
    default: () => 0,
    write: (w, value: number) => w.uint32(value),
    read: (r) => r.uint32(),
  },
  sint32: {
    wireType: VARINT,
    default: () => 0,
    write: (w, value: number) => w.sint32(value),
    read: (r) => r.sint32(),
  },
  uint64: {
    wireType: VARINT,
    default: () => 0,
    write: (w, value: number) => w.uint64(value),
    read: (r) => Number(r.uint64()),
  },
  int64: {
    wireType: VARINT,
    default: () => 0,
    write: (w, value: number) => w.int64(value),
    read: (r) => Number(r.int64()),
  },
  fixed32: {
    wireType: FIXED_32,
    default: () => 0,
    write: (w, value: number) => w.fixed32(value),
    read: (r) => r.fixed32(),
  },
};

/**
 * Encodes and decodes the messages of one schema in the format of protobuf, driven by tables: unlike code that is
 * generated for each message at run time, the tables need no compilation at the start of a process, and the few shared
 * functions soon run compiled. Decoded messages are plain objects with all fields: numbers for 64-bit integers, null for
 * messages and empty lists and maps where there are none. Fields with default values are not encoded.
 */
export class MessageCodec {
  readonly #schema: ProtoSchema;

  constructor(schema: ProtoSchema) {
    this.#schema = schema;
  }

  encode(type: string, message: object): Buffer {
    const writer = protobuf.Writer.create();
    this.#write(writer, type, message as Message);
    return writer.finish() as Buffer;
  }

  /** Throws an error if the bytes are not a message. Fields that the schema does not have are skipped. */
  decode(type: string, bytes: Uint8Array): Message {
    const reader = protobuf.Reader.create(bytes);
    return this.#read(reader, type, reader.len);
  }

  #fields(type: string): readonly FieldSchema[] {
    const fields = this.#schema.messages[type];
    if (!fields) {
      throw new Error(`no message ${type} in the schema`);
    }
    return fields;
  }

  #write(writer: Writer, type: string, message: Message): void {
    for (const field of this.#fields(type)) {
      const value = message[field.name];
      if (value === undefined || value === null) {
        continue;
      }
      if (field.keyType !== undefined) {
        this.#writeMap(writer, field, field.keyType, value as Message);
      } else if (field.repeated) {
        this.#writeList(writer, field, value as readonly unknown[]);
      } else if (!isDefault(value)) {
        this.#writeValue(writer, field.id, field.type, value);
      }
    }
  }

  #writeList(writer: Writer, { id, type }: FieldSchema, values: readonly unknown[]): void {
    const scalar = SCALARS[type];
    if (values.length === 0) {
      return;
    }
    if (!scalar || scalar.wireType === LENGTH_DELIMITED) {
      for (const value of values) {
        this.#writeValue(writer, id, type, value);
      }
      return;
    }
    // Numbers are packed: one key and length for all of them.
    writer.uint32(keyOf(id, LENGTH_DELIMITED)).fork();
    for (const value of values) {
      scalar.write(writer, value as never);
    }
    writer.ldelim();
  }

  #writeMap(writer: Writer, { id, type }: FieldSchema, keyType: string, map: Message): void {
    for (const [key, value] of Object.entries(map)) {
      writer.uint32(keyOf(id, LENGTH_DELIMITED)).fork();
      this.#writeValue(writer, MAP_KEY_ID, keyType, key);
      this.#writeValue(writer, MAP_VALUE_ID, type, value);
      writer.ldelim();
    }
  }

  #writeValue(writer: Writer, id: number, type: string, value: unknown): void {
    const scalar = SCALARS[type];
    if (scalar) {
      writer.uint32(keyOf(id, scalar.wireType));
      scalar.write(writer, value as never);
      return;
    }
    writer.uint32(keyOf(id, LENGTH_DELIMITED)).fork();
    this.#write(writer, type, value as Message);
    writer.ldelim();
  }

  #read(reader: Reader, type: string, end: number): Message {
    const fields = this.#fields(type);
    const message = emptyMessage(fields);
    while (reader.pos < end) {
      const key = reader.uint32();
      const wireType = key & ((1 << WIRE_TYPE_BITS) - 1);
      const id = key >>> WIRE_TYPE_BITS;
      const field = fields.find((f) => f.id === id);
      if (field && isReadable(field, wireType)) {
        this.#readField(reader, message, field, wireType);
      } else {
        reader.skipType(wireType);
      }
    }
    if (reader.pos !== end) {
      throw new RangeError(`message ${type} exceeds its length`);
    }
    return message;
  }

  #readField(reader: Reader, message: Message, field: FieldSchema, wireType: number): void {
    const { name, type, repeated, keyType } = field;
    if (keyType !== undefined) {
      const [key, value] = this.#readEntry(reader, keyType, type);
      Object.defineProperty(message[name], key, { value, ...OWN_FIELD });
    } else if (!repeated) {
      message[name] = this.#readValue(reader, type);
    } else if (isPacked(type, wireType)) {
      const end = reader.uint32() + reader.pos;
      while (reader.pos < end) {
        (message[name] as unknown[]).push(this.#readValue(reader, type));
      }
    } else {
      (message[name] as unknown[]).push(this.#readValue(reader, type));
    }
  }

  #readEntry(reader: Reader, keyType: string, type: string): [key: string, value: unknown] {
    const fields = [
      { name: "key", id: MAP_KEY_ID, type: keyType },
      { name: "value", id: MAP_VALUE_ID, type },
    ];
    const entry = emptyMessage(fields);
    const end = reader.uint32() + reader.pos;
    while (reader.pos < end) {
      const key = reader.uint32();
      const field = fields.find((f) => f.id === key >>> WIRE_TYPE_BITS);
      if (field) {
        entry[field.name] = this.#readValue(reader, field.type);
      } else {
        reader.skipType(key & ((1 << WIRE_TYPE_BITS) - 1));
      }
    }
    return [String(entry.key), entry.value];
  }

  #readValue(reader: Reader, type: string): unknown {
    const scalar = SCALARS[type];
    if (scalar) {
      return scalar.read(reader);
    }
    const length = reader.uint32();
    return this.#read(reader, type, reader.pos + length);
  }
}

const OWN_FIELD = { writable: true, enumerable: true, configurable: true } as const;

function keyOf(id: number, wireType: number): number {
  return ((id << WIRE_TYPE_BITS) | wireType) >>> 0;
}

function isDefault(value: unknown): boolean {
  return value === 0 || value === "" || value === false || isEmptyBytes(value);
}

function isEmptyBytes(value: unknown): boolean {
  return value instanceof Uint8Array && value.length === 0;
}

/** Whether the wire type fits the field; a field of a newer schema may have changed its type. */
function isReadable({ type, repeated }: FieldSchema, wireType: number): boolean {
  const expected = SCALARS[type]?.wireType ?? LENGTH_DELIMITED;
  return wireType === expected || (repeated === true && isPacked(type, wireType));
}

function isPacked(type: string, wireType: number): boolean {
  const expected = SCALARS[type]?.wireType ?? LENGTH_DELIMITED;
  return expected !== LENGTH_DELIMITED && wireType === LENGTH_DELIMITED;
}

function emptyMessage(fields: readonly FieldSchema[]): Message {
  const message: Message = {};
  for (const { name, type, repeated, keyType } of fields) {
    message[name] = keyType ? {} : repeated ? [] : (SCALARS[type]?.default() ?? null);
  }
  return message;
}
