import protobuf from "protobufjs/minimal.js";
import { ByteWriter } from "./ByteWriter.ts";
import { MessagePlan } from "./MessagePlan.ts";
import type { FieldSchema, ProtoSchema } from "./ProtoSchema.ts";

type Reader = protobuf.Reader;
type Message = Record<string, unknown>;
type FieldPlan = MessagePlan["fields"][number];

/** Number of the low bits of a field's key, which hold its wire type. */
const WIRE_TYPE_BITS = 3;

/** Wire type of strings, bytes, messages, maps and packed lists. */
const LENGTH_DELIMITED = 2;

/** Ids of the key and the value in an entry of a map. */
const MAP_KEY_ID = 1;
const MAP_VALUE_ID = 2;

/** Shared by all codecs: a message is written without interruption. */
const writer = new ByteWriter();

/**
 * Encodes and decodes the messages of one schema in the format of protobuf, driven by tables: unlike code that is
 * generated for each message at run time, the tables need no compilation at the start of a process, and the few shared
 * functions soon run compiled. Decoded messages are plain objects with all fields: numbers for 64-bit integers, null for
 * messages and empty lists and maps where there are none. Fields with default values are not encoded.
 */
export class MessageCodec {
  readonly #schema: ProtoSchema;
  /** Made on first use, by type. */
  readonly #plans = new Map<string, MessagePlan>();
  /** The entries of maps as messages, by the field of the map. */
  readonly #entryPlans = new Map<FieldPlan, MessagePlan>();

  constructor(schema: ProtoSchema) {
    this.#schema = schema;
  }

  encode(type: string, message: object): Buffer {
    writer.reset(); // An error may have ended the last message midway.
    this.#write(this.#plan(type), message as Message);
    return writer.finish();
  }

  /** Throws an error if the bytes are not a message. Fields that the schema does not have are skipped. */
  decode(type: string, bytes: Uint8Array): Message {
    const reader = protobuf.Reader.create(bytes);
    return this.#read(reader, this.#plan(type), reader.len);
  }

  #plan(type: string): MessagePlan {
    let plan = this.#plans.get(type);
    if (!plan) {
      const fields = this.#schema.messages[type];
      if (!fields) {
        throw new Error(`no message ${type} in the schema`);
      }
      plan = new MessagePlan(type, fields);
      this.#plans.set(type, plan);
    }
    return plan;
  }

  #nestedPlan(field: FieldPlan): MessagePlan {
    field.nested ??= this.#plan(field.type);
    return field.nested;
  }

  #entryPlan(map: FieldPlan, keyType: string): MessagePlan {
    let plan = this.#entryPlans.get(map);
    if (!plan) {
      const fields: FieldSchema[] = [
        { name: "key", id: MAP_KEY_ID, type: keyType },
        { name: "value", id: MAP_VALUE_ID, type: map.type },
      ];
      plan = new MessagePlan("map entry", fields);
      this.#entryPlans.set(map, plan);
    }
    return plan;
  }

  #write(plan: MessagePlan, message: Message): void {
    for (const field of plan.fields) {
      const value = message[field.name];
      if (value === undefined || value === null) {
        continue;
      }
      if (field.keyType !== undefined) {
        this.#writeMap(field, field.keyType, value as Message);
      } else if (field.repeated) {
        this.#writeList(field, value as readonly unknown[]);
      } else if (!isDefault(value)) {
        this.#writeValue(field, value);
      }
    }
  }

  #writeList(field: FieldPlan, values: readonly unknown[]): void {
    if (values.length === 0) {
      return;
    }
    if (!field.scalar || !field.isPackable) {
      for (const value of values) {
        this.#writeValue(field, value);
      }
      return;
    }
    // Numbers are packed: one key and length for all of them.
    writer.uint32(keyOf(field.id, LENGTH_DELIMITED));
    const start = writer.begin();
    for (const value of values) {
      field.scalar.write(writer, value as never);
    }
    writer.end(start);
  }

  #writeMap(field: FieldPlan, keyType: string, map: Message): void {
    const [keyField, valueField] = this.#entryPlan(field, keyType).fields as [FieldPlan, FieldPlan];
    for (const [key, value] of Object.entries(map)) {
      writer.uint32(keyOf(field.id, LENGTH_DELIMITED));
      const start = writer.begin();
      this.#writeValue(keyField, key);
      this.#writeValue(valueField, value);
      writer.end(start);
    }
  }

  #writeValue(field: FieldPlan, value: unknown): void {
    writer.uint32(keyOf(field.id, field.wireType));
    if (field.scalar) {
      field.scalar.write(writer, value as never);
      return;
    }
    const start = writer.begin();
    this.#write(this.#nestedPlan(field), value as Message);
    writer.end(start);
  }

  #read(reader: Reader, plan: MessagePlan, end: number): Message {
    const message = plan.createEmpty();
    while (reader.pos < end) {
      const key = reader.uint32();
      const wireType = key & ((1 << WIRE_TYPE_BITS) - 1);
      const field = plan.field(key >>> WIRE_TYPE_BITS);
      if (field && isReadable(field, wireType)) {
        this.#readField(reader, message, field, wireType);
      } else {
        reader.skipType(wireType);
      }
    }
    if (reader.pos !== end) {
      throw new RangeError(`message ${plan.type} exceeds its length`);
    }
    return message;
  }

  #readField(reader: Reader, message: Message, field: FieldPlan, wireType: number): void {
    const { name, repeated, keyType } = field;
    if (keyType !== undefined) {
      const { key, value } = this.#readEntry(reader, this.#entryPlan(field, keyType));
      Object.defineProperty(message[name], String(key), { value, ...OWN_FIELD });
    } else if (!repeated) {
      message[name] = this.#readValue(reader, field);
    } else if (field.isPackable && wireType === LENGTH_DELIMITED) {
      const end = reader.uint32() + reader.pos;
      while (reader.pos < end) {
        (message[name] as unknown[]).push(this.#readValue(reader, field));
      }
    } else {
      (message[name] as unknown[]).push(this.#readValue(reader, field));
    }
  }

  #readEntry(reader: Reader, plan: MessagePlan): Message {
    const entry = plan.createEmpty();
    const end = reader.uint32() + reader.pos;
    while (reader.pos < end) {
      const key = reader.uint32();
      const field = plan.field(key >>> WIRE_TYPE_BITS);
      if (field) {
        entry[field.name] = this.#readValue(reader, field);
      } else {
        reader.skipType(key & ((1 << WIRE_TYPE_BITS) - 1));
      }
    }
    return entry;
  }

  #readValue(reader: Reader, field: FieldPlan): unknown {
    if (field.scalar) {
      return field.scalar.read(reader);
    }
    const length = reader.uint32();
    return this.#read(reader, this.#nestedPlan(field), reader.pos + length);
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
function isReadable(field: FieldPlan, wireType: number): boolean {
  return wireType === field.wireType || (field.isPackable && wireType === LENGTH_DELIMITED);
}
