import { mkdtempSync, writeFileSync, appendFileSync, readFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import test from "ava";
import { FaultyDisk } from "../../../test/fixtures/FaultyDisk.ts";
import { seededRandom } from "../../../test/fixtures/seededRandom.ts";
import { RecordFile } from "./RecordFile.ts";
import { StorageError } from "./StorageError.ts";

const SEEDS = 400;

const tempFile = () => join(mkdtempSync(join(tmpdir(), "records-")), "sub", "file.log");

test("RecordFile: records are read back in order from a real disk", (t) => {
  const path = tempFile();
  const file = new RecordFile<number>(path);
  t.deepEqual(file.read(), []);
  file.rewrite([1, 2]);
  file.append(3);
  file.append(4);
  file.close();
  t.deepEqual(new RecordFile<number>(path).read(), [1, 2, 3, 4]);
  t.is(file.length, readFileSync(path).length);
});

const changeByte = (path: string, at: string) => {
  const bytes = readFileSync(path);
  bytes[bytes.indexOf(at)] = 0x37;
  writeFileSync(path, bytes);
};

const corruptions: readonly {
  name: string;
  corrupt: (path: string) => void;
  remaining: number[];
}[] = [
  {
    name: "a torn last line",
    corrupt: (path) => {
      writeFileSync(path, readFileSync(path).subarray(0, -3));
    },
    remaining: [1, 2],
  },
  {
    name: "zeros after the last line",
    corrupt: (path) => {
      appendFileSync(path, Buffer.alloc(64));
    },
    remaining: [1, 2, 3],
  },
  {
    name: "a changed byte in the last line",
    corrupt: (path) => {
      changeByte(path, "3\n");
    },
    remaining: [1, 2],
  },
];

for (const { name, corrupt, remaining } of corruptions) {
  test(`RecordFile: reading stops before ${name}`, (t) => {
    const path = tempFile();
    const file = new RecordFile<number>(path);
    file.rewrite([1, 2, 3]);
    file.close();
    corrupt(path);
    t.deepEqual(new RecordFile<number>(path).read(), remaining);
  });
}

test("RecordFile: a changed byte in the middle is reported, and not taken for the end of the file", (t) => {
  // Guards against a control replica that forgets changes which it has acknowledged, and votes without them.
  const path = tempFile();
  const file = new RecordFile<number>(path);
  file.rewrite([1, 2, 3]);
  file.close();
  changeByte(path, "2\n");
  t.throws(() => new RecordFile<number>(path).read(), {
    instanceOf: StorageError,
    message: /line 2 is damaged/,
  });
});

test("RecordFile: a failed rewrite blocks appends, which could leave a hole in the new file", (t) => {
  // Guards against losing acknowledged records: the disk replaces the file but then fails to
  // sync the folder. A line appended at the old file's end would be beyond the end of the new
  // one, and everything that the replica acknowledges later would be lost at its next start.
  const disk = new FaultyDisk(() => 0.9);
  const file = new RecordFile<number>("f", disk);
  file.rewrite([1, 2, 3, 4, 5]);
  disk.fault = "fails-after";
  t.throws(
    () => {
      file.rewrite([6]);
    },
    { instanceOf: StorageError },
  );
  disk.fault = "none";
  t.throws(
    () => {
      file.append(7);
    },
    { instanceOf: StorageError },
  );
  file.rewrite([6, 7]);
  file.append(8);
  t.deepEqual(new RecordFile<number>("f", disk).read(), [6, 7, 8]);
});

test("RecordFile: acknowledged records survive full disks and losses of power, in order", (t) => {
  // Guards against losing or reordering records on a disk that repeatedly fills up, fails in
  // the middle of writes and loses power. A record for which append() returned must be read
  // back, in order; of those for which it threw, at most one may be present, as the last.
  for (let seed = 0; seed < SEEDS; seed++) {
    const random = seededRandom(seed);
    const disk = new FaultyDisk(random);
    let file = new RecordFile<string>("f", disk);
    file.rewrite([]);
    let acknowledged: string[] = [];
    const attempted = new Set<string>();
    for (let step = 0; step < 60; step++) {
      const draw = random();
      disk.fault = draw < 0.7 ? "none" : draw < 0.85 ? "refuses" : "fails-after";
      const record = `${String(step)}-${"x".repeat(Math.floor(random() * 20))}`;
      try {
        if (random() < 0.1) {
          file.rewrite(acknowledged);
        } else {
          attempted.add(record);
          file.append(record);
          acknowledged.push(record);
        }
      } catch (err) {
        t.true(err instanceof StorageError);
      }
      if (random() < 0.1) {
        disk.fault = "none";
        disk.losePower();
        file = new RecordFile<string>("f", disk);
        const found = file.read();
        const extra = found.slice(acknowledged.length);
        t.deepEqual(found.slice(0, acknowledged.length), acknowledged, `seed ${String(seed)}`);
        t.true(extra.length <= 1 && extra.every((r) => attempted.has(r)), `seed ${String(seed)}`);
        acknowledged = found;
        file.rewrite(acknowledged);
      }
    }
  }
});
