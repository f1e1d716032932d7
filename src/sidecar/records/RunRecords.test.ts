import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import test from "ava";
import { FaultyDisk } from "../../../test/fixtures/FaultyDisk.ts";
import { seededRandom } from "../../../test/fixtures/seededRandom.ts";
import { StorageError } from "../../common/storage/StorageError.ts";
import { RunRecords } from "./RunRecords.ts";
import type { RunRecord } from "./RunRecord.ts";
import { SyncedJournal } from "../../common/storage/SyncedJournal.ts";

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

test("run records: claims made after a compaction survive a crash", async (t) => {
  const { reopen } = setUp();
  const records = reopen();
  const keys = Array.from({ length: 5001 }, (_, n) => `k${n}`);
  await Promise.all(keys.map((key) => records.claim(key, claimed("1"))));
  await Promise.all(keys.map((key) => records.settle(key, "1", undefined)));
  records.expire();
  await records.claim("a", claimed("1"));
  t.is((await reopen().claim("a", claimed("2"))).kind, "held");
});

test("run records: a corrupt line is reported, and the records before and after it are kept", async (t) => {
  const { path, reopen } = setUp();
  const before = reopen();
  await before.claim("a", claimed("1"));
  await before.claim("b", claimed("1"));
  await before.claim("c", claimed("1"));
  const damaged = readFileSync(path, "utf8").replace('{"key":"b"', '{"key\0\0b"');
  writeFileSync(path, damaged);
  const problems: object[] = [];
  const log = { error: (fields: object) => problems.push(fields) } as never;
  const after = new RunRecords(new SyncedJournal(path), () => 0, log);
  t.deepEqual(
    after.entries().map(({ key }) => key),
    ["a", "c"],
  );
  t.deepEqual(problems, [{ corruptLines: 1, read: 2 }]);
  t.is(readFileSync(`${path}.damaged`, "utf8"), damaged);
});

test("run records: a journal that cannot be read is not replaced by an empty one", async (t) => {
  const disk = new FaultyDisk(() => 0);
  const open = () => new RunRecords(new SyncedJournal("f", disk), () => 0);
  await open().claim("a", claimed("1"));
  disk.fault = "refuses";
  t.throws(open, { instanceOf: StorageError });
  disk.fault = "none";
  t.is(open().size, 1);
});

test("run records: acknowledged claims and outcomes survive full disks, compactions and losses of power", async (t) => {
  // Guards against a second run of a booking whose claim was acknowledged, and not in the file after a restart.
  const faults = [
    ...Array.from({ length: 12 }, () => "none" as const),
    ...(["refuses", "fails-midway", "fails-after"] as const),
  ];
  for (let seed = 0; seed < 3000; seed++) {
    const random = seededRandom(seed);
    const disk = new FaultyDisk(random);
    const open = () => new RunRecords(new SyncedJournal("f", disk.forProcess()), () => 0);
    let records = open();
    const acknowledged = new Map<string, "claimed" | "done">();
    for (let step = 0; step < 25; step++) {
      const key = `${step}`;
      disk.fault = faults[Math.floor(random() * faults.length)] ?? "none";
      const isSettled = random() < 0.5;
      const incarnation = records;
      const acknowledge = (state: "claimed" | "done") => {
        if (incarnation === records) {
          acknowledged.set(key, state);
        }
      };
      const book = async () => {
        await incarnation.claim(key, claimed(key));
        acknowledge("claimed");
        if (isSettled) {
          await incarnation.settle(key, key, done(key));
          acknowledge("done");
        }
      };
      const writes = book().catch((err: unknown) => t.true(err instanceof StorageError));
      if (random() < 0.3) {
        for (let turns = Math.floor(random() * 8); turns > 0; turns--) {
          await Promise.resolve();
        }
        records.compact();
      }
      if (random() < 0.5) {
        await writes;
      }
      if (random() < 0.15) {
        disk.fault = "none";
        disk.losePower();
        records = open();
        const held = new Map(records.entries().map((e) => [e.key, e.record.state]));
        const lost = [...acknowledged].filter(
          ([known, state]) => held.get(known) !== state && held.get(known) !== "done",
        );
        t.deepEqual(lost, [], `seed ${seed}`);
      }
    }
  }
});
