import test from "ava";
import { documentCodec } from "./documentCodec.ts";
import { splitVersion } from "./splitVersion.ts";
import { VersionJoiner } from "./VersionJoiner.ts";

const texts: readonly { name: string; text: string; parts: number }[] = [
  { name: "short", text: "short", parts: 1 },
  { name: "exactly one part long", text: "x".repeat(32 * 1024), parts: 1 },
  { name: "long", text: "x".repeat(100_000), parts: 4 },
  {
    name: "long, with surrogate pairs at the ends of parts",
    text: "x" + "😀".repeat(40_000),
    parts: 3,
  },
];

test("version parts: a long compressed version is joined without change", (t) => {
  const packed = Buffer.from(Array.from({ length: 70_000 }, (_, n) => n % 251));
  const whole = { ...documentCodec.heartbeat(7, undefined), base: 3, packed };
  const sent = splitVersion(whole);
  t.deepEqual(
    sent.map((part) => part.more),
    [true, true, false],
  );
  const joiner = new VersionJoiner();
  t.deepEqual(sent.map((part) => joiner.add(part)).at(-1), whole);
});

for (const { name, text, parts } of texts) {
  for (const field of ["document", "edit"] as const) {
    test(`version parts: a ${field} that is ${name} is joined without change`, (t) => {
      const whole = { ...documentCodec.heartbeat(7, undefined), base: 3, [field]: text };
      // As on the wire, each part is encoded as UTF-8 separately.
      const sent = splitVersion(whole).map((part) => ({
        ...part,
        [field]: Buffer.from(part[field]).toString(),
      }));
      t.is(sent.length, parts);
      const joiner = new VersionJoiner();
      const joined = sent.map((part) => joiner.add(part));
      t.true(joined.slice(0, -1).every((j) => j === undefined));
      t.deepEqual(joined.at(-1), whole);
    });
  }
}
