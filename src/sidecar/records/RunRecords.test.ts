import { appendFileSync, mkdtempSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import test from "ava";
import { RunRecords } from "./RunRecords.ts";
import type { RunRecord } from "./RunRecord.ts";
import { SyncedJournal } from "./SyncedJournal.ts";

const claimed = (attempt: string): RunRecord => ({
  state: "claimed",
  attempt,
  fingerprint: "f",
  deadlineAt: 1000,
});

const done = (attempt: string): RunRecord => ({
  ...claimed(attempt),
  state: "done",
  answer: { status: 200, headers: {}, body: "" },
});

const setUp = () => {
  const path = join(mkdtempSync(join(tmpdir(), "bp-records-")), "records.jsonl");
  const clock = { now: 0 };
  const reopen = () => new RunRecords(new SyncedJournal(path), () => clock.now);
  return { path, clock, reopen };
};

test("run records: claims, outcomes and releases survive a crash of the process", async (t) => {
  const { reopen } = setUp();
  const before = reopen();
  await before.claim("a", claimed("1"));
  await before.claim("b", claimed("2"));
  await before.settle("b", "2", done("2"));
  await before.claim("c", claimed("3"));
  await before.settle("c", "3", undefined);
  const after = reopen();
  t.deepEqual(await after.claim("a", claimed("9")), { kind: "held", record: claimed("1") });
  t.deepEqual(await after.claim("b", claimed("9")), { kind: "held", record: done("2") });
  t.deepEqual(await after.claim("c", claimed("9")), { kind: "granted" });
});

test("run records: a journal line truncated by a crash is dropped, and earlier lines are kept", async (t) => {
  // The power fails while a claim is being written. The claim was never acknowledged, so no request
  // ran on account of it, and the journal must still open.
  const { path, reopen } = setUp();
  await reopen().claim("a", claimed("1"));
  appendFileSync(path, '{"key":"b","at":0,"rec');
  const after = reopen();
  t.is(after.size, 1);
  t.is((await after.claim("a", claimed("9"))).kind, "held");
  t.is(readFileSync(path, "utf8").trim().split("\n").length, 1);
});

test("run records: claims are accepted after the journal file was lost", async (t) => {
  const { path, reopen } = setUp();
  await reopen().claim("a", claimed("1"));
  rmSync(path);
  const after = reopen();
  t.is(after.size, 0);
  t.is((await after.claim("a", claimed("2"))).kind, "granted");
});

test("run records: an attempt cannot settle a key that another one has claimed", async (t) => {
  const { reopen } = setUp();
  const records = reopen();
  await records.claim("a", claimed("1"));
  await records.settle("a", "2", undefined);
  t.is((await records.claim("a", claimed("3"))).kind, "held");
});

test("run records: a copy from another replica does not replace an outcome by a claim", async (t) => {
  const { reopen } = setUp();
  const records = reopen();
  await records.adopt("a", claimed("1"));
  await records.adopt("a", done("1"));
  await records.adopt("a", claimed("1"));
  t.deepEqual(await records.claim("a", claimed("9")), { kind: "held", record: done("1") });
});

test("run records: records older than the retention period are dropped", async (t) => {
  const { clock, reopen } = setUp();
  const records = reopen();
  await records.claim("a", claimed("1"));
  clock.now = 3_600_000;
  records.expire();
  t.is(records.size, 1);
  clock.now += 1;
  records.expire();
  t.is(records.size, 0);
});

const leftBehind: readonly {
  name: string;
  first: RunRecord;
  second: string;
  kind: "granted" | "held";
}[] = [
  // Guards against "in progress" for a booking that its first target has not run, before its claim there is released.
  { name: "of the same dispatch", first: claimed("c/1"), second: "c/2", kind: "granted" },
  { name: "of another dispatch", first: claimed("c/1"), second: "d/2", kind: "held" },
  { name: "with an outcome", first: done("c/1"), second: "c/2", kind: "held" },
];

for (const { name, first, second, kind } of leftBehind) {
  test(`run records: a claim after a record ${name}: ${kind}`, async (t) => {
    const records = setUp().reopen();
    await records.claim("a", first);
    t.is((await records.claim("a", claimed(second))).kind, kind);
    await records.settle("a", "c/1", undefined);
    const after = await records.claim("a", claimed("e/1"));
    t.is(
      after.kind,
      kind === "granted" ? "held" : "granted",
      "a late release is only of its own claim",
    );
  });
}
