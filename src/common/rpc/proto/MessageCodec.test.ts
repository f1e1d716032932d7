import { fileURLToPath } from "node:url";
import * as protoLoader from "@grpc/proto-loader";
import test from "ava";
import fc from "fast-check";
import { PROTO_FILES, readProtoSchema } from "../../../../scripts/readProtoSchema.ts";
import { BURDOCKPASS_SCHEMA } from "./BURDOCKPASS_SCHEMA.ts";
import { MessageCodec } from "./MessageCodec.ts";
import type { FieldSchema, ProtoSchema } from "./ProtoSchema.ts";
import { REPLICA_SCHEMA } from "./REPLICA_SCHEMA.ts";

const SCHEMAS = { BURDOCKPASS_SCHEMA, REPLICA_SCHEMA };

const SCALAR_VALUES: Readonly<Record<string, fc.Arbitrary<unknown>>> = {
  string: fc.string({ unit: "binary" }),
  bytes: fc.uint8Array({ maxLength: 8 }).map((bytes) => Buffer.from(bytes)),
  bool: fc.boolean(),
  uint32: fc.integer({ min: 0, max: 2 ** 32 - 1 }),
  sint32: fc.integer(),
  uint64: fc.maxSafeNat(),
  int64: fc.maxSafeInteger(),
  fixed32: fc.integer({ min: 0, max: 2 ** 32 - 1 }),
};

const valueOf = (schema: ProtoSchema, field: FieldSchema, depth: number): fc.Arbitrary<unknown> => {
  const scalar = SCALAR_VALUES[field.type];
  const single = scalar ?? (depth > 0 ? messageOf(schema, field.type, depth - 1) : undefined);
  if (field.keyType) {
    return fc.dictionary(fc.string(), single ?? fc.constant(null), { maxKeys: 3 });
  }
  if (field.repeated) {
    return single ? fc.array(single, { maxLength: 3 }) : fc.constant([]);
  }
  return scalar ?? (single ? fc.option(single) : fc.constant(null));
};

const messageOf = (schema: ProtoSchema, type: string, depth: number): fc.Arbitrary<object> =>
  fc.record(
    Object.fromEntries(
      (schema.messages[type] ?? []).map((f) => [f.name, valueOf(schema, f, depth)]),
    ),
  );

/** Messages as plain objects with Object's prototype, whose maps fast-check makes without one. */
const plain = (value: unknown): unknown => structuredClone(value);

for (const file of PROTO_FILES) {
  const schema = SCHEMAS[file.constant];
  const codec = new MessageCodec(schema);
  const path = fileURLToPath(new URL(`../../../../proto/${file.name}`, import.meta.url));
  const options = {
    keepCase: file.keepCase,
    longs: Number,
    defaults: true,
    arrays: true,
    objects: true,
  };
  const definitions = protoLoader.loadSync(path, options);

  test(`${file.name}: its schema is up to date; run \`npm run proto\``, (t) => {
    t.deepEqual(schema, readProtoSchema(file));
  });

  for (const type of Object.keys(schema.messages)) {
    test(`${file.name}, ${type}: encoded and decoded as by the library`, (t) => {
      const definition = definitions[
        `${schema.package}.${type}`
      ] as protoLoader.MessageTypeDefinition<object, object>;
      fc.assert(
        fc.property(messageOf(schema, type, 2), (message) => {
          const expected = plain(message);
          t.deepEqual(plain(codec.decode(type, codec.encode(type, message))), expected);
          t.deepEqual(plain(codec.decode(type, definition.serialize(message))), expected);
          t.deepEqual(plain(definition.deserialize(codec.encode(type, message))), expected);
        }),
        { numRuns: 60, seed: 5 },
      );
    });
  }
}

test("message codec: arbitrary bytes are decoded or rejected, and fields of a newer schema skipped", (t) => {
  const codec = new MessageCodec(BURDOCKPASS_SCHEMA);
  fc.assert(
    fc.property(fc.uint8Array({ maxLength: 200 }), (bytes) => {
      try {
        t.is(typeof codec.decode("Datagram", bytes), "object");
      } catch (err) {
        t.true(err instanceof Error);
      }
    }),
    { numRuns: 5000, seed: 6 },
  );
  const older = new MessageCodec({
    ...BURDOCKPASS_SCHEMA,
    messages: { Loan: [], Datagram: [{ name: "id", id: 1, type: "uint32" }] },
  });
  const bytes = codec.encode("Datagram", { id: 7, probe_for: "a:1", gate: { ask_id: 3 } });
  t.deepEqual(older.decode("Datagram", bytes), { id: 7 });
});
