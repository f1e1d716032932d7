import { mkdtempSync, readFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import test from "ava";
import bunyan from "bunyan";
import { parseOperatorDocument } from "../../common/document/parseOperatorDocument.ts";
import { SystemClock } from "../../common/lifecycle/SystemClock.ts";
import { ConfigFollower } from "./ConfigFollower.ts";

const parsed = parseOperatorDocument(
  readFileSync(new URL("../../../config/demo.yaml", import.meta.url), "utf8"),
);
if (!parsed.ok) {
  throw new Error("demo document invalid");
}
const { doc } = parsed;
const whole = (version: number) => ({ kind: "whole" as const, version, document: doc });
const log = bunyan.createLogger({ name: "test", level: "fatal" });

const follower = (dataDir: string | undefined, isActive = true) =>
  new ConfigFollower({
    controls: () => [{ address: "127.0.0.1:1", zone: undefined }],
    zone: "a",
    dataDir,
    sidecarId: "s",
    isActive: () => isActive,
    clock: SystemClock,
    elapsed: () => SystemClock.now(),
    random: Math.random,
    log,
  });

const offers: readonly { name: string; versions: number[]; expected: number }[] = [
  { name: "newer versions are applied in order", versions: [1, 2, 3], expected: 3 },
  { name: "older version after a newer one is dropped", versions: [5, 3], expected: 5 },
  { name: "repeated version is dropped", versions: [2, 2], expected: 2 },
];

for (const c of offers) {
  test(`offer: ${c.name}`, (t) => {
    const f = follower(undefined);
    for (const version of c.versions) {
      f.offer(whole(version), "a");
    }
    t.is(f.version, c.expected);
  });
}

test("restarted sidecar loads its last accepted version from disk, and keeps refusing older ones", (t) => {
  // A sidecar with version 7 is restarted while control is unreachable. It must serve
  // version 7, and must still refuse version 6 from a lagging replica afterwards.
  const dir = mkdtempSync(join(tmpdir(), "bp-follower-"));
  follower(dir).offer(whole(7), "a");
  const restarted = follower(dir);
  restarted.start();
  t.teardown(() => {
    restarted.dispose();
  });
  t.is(restarted.version, 7);
  t.truthy(restarted.document);
  t.is(restarted.offer(whole(6), "a"), "stale");
});

test("a document received before the activation is in force and passed on only after it", (t) => {
  const f = follower(undefined, false);
  f.offer(whole(3), "a");
  f.offer(whole(5), "b");
  t.deepEqual([f.version, f.receivedVersion, f.document, f.since(0)], [0, 5, undefined, []]);
  f.activate("confirmed");
  t.deepEqual([f.version, f.document, f.since(0).length], [5, doc, 1]);
});
