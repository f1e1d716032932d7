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

const setup = () => {
  const path = join(mkdtempSync(join(tmpdir(), "bp-records-")), "records.jsonl");
  const clock = { now: 0 };
  const reopen = () => new RunRecords(new SyncedJournal(path), () => clock.now);
  return { path, clock, reopen };
};

test("a claim and an answer survive a kill of the process", async (t) => {
  const { reopen } = setup();
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

test("a line torn by a crash is dropped, the ones before it hold", async (t) => {
  // Story: power fails while a claim is being written. Its sync never came
  // back, so nothing ran on it; the journal must still open.
  const { path, reopen } = setup();
  await reopen().claim("a", claimed("1"));
  appendFileSync(path, '{"key":"b","at":0,"rec');
  const after = reopen();
  t.is(after.size, 1);
  t.is((await after.claim("a", claimed("9"))).kind, "held");
  t.is(readFileSync(path, "utf8").trim().split("\n").length, 1);
});

test("a lost disk leaves an empty journal that works", async (t) => {
  const { path, reopen } = setup();
  await reopen().claim("a", claimed("1"));
  rmSync(path);
  const after = reopen();
  t.is(after.size, 0);
  t.is((await after.claim("a", claimed("2"))).kind, "granted");
});

test("only the attempt that claimed a key settles it", async (t) => {
  const { reopen } = setup();
  const records = reopen();
  await records.claim("a", claimed("1"));
  await records.settle("a", "2", undefined);
  t.is((await records.claim("a", claimed("3"))).kind, "held");
});

test("a copy from another replica never takes knowledge back", async (t) => {
  const { reopen } = setup();
  const records = reopen();
  await records.adopt("a", claimed("1"));
  await records.adopt("a", done("1"));
  await records.adopt("a", claimed("1"));
  t.deepEqual(await records.claim("a", claimed("9")), { kind: "held", record: done("1") });
});

test("records past their retention are dropped", async (t) => {
  const { clock, reopen } = setup();
  const records = reopen();
  await records.claim("a", claimed("1"));
  clock.now = 3_600_000;
  records.expire();
  t.is(records.size, 1);
  clock.now += 1;
  records.expire();
  t.is(records.size, 0);
});
