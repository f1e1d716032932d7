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

test("records come back in order on a real disk", (t) => {
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

const tails: readonly { name: string; spoil: (path: string) => void; left: number[] }[] = [
  {
    name: "a torn last line",
    spoil: (path) => {
      writeFileSync(path, readFileSync(path).subarray(0, -3));
    },
    left: [1, 2],
  },
  {
    name: "zeros after the last line",
    spoil: (path) => {
      appendFileSync(path, Buffer.alloc(64));
    },
    left: [1, 2, 3],
  },
  {
    name: "a changed byte in the middle",
    spoil: (path) => {
      const bytes = readFileSync(path);
      bytes[bytes.indexOf("2\n")] = 0x37;
      writeFileSync(path, bytes);
    },
    left: [1],
  },
];

for (const { name, spoil, left } of tails) {
  test(`reading stops before ${name}`, (t) => {
    const path = tempFile();
    const file = new RecordFile<number>(path);
    file.rewrite([1, 2, 3]);
    file.close();
    spoil(path);
    t.deepEqual(new RecordFile<number>(path).read(), left);
  });
}

test("a line appended after a failed rewrite cannot tear a hole into the new file", (t) => {
  // Story: the disk replaces the file and then reports a failure while it syncs the
  // folder. A line appended at the old file's end would stand beyond the new one's, and
  // what the replica acknowledges from then on would be gone at its next start.
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

test("what was acknowledged survives full disks and losses of power, in order", (t) => {
  // Story: a disk fills up, fails in the middle of writes and loses power, over and
  // over. A record that append() returned for must be read back, in its place; one that
  // it threw for may be there, but only one, as the last.
  for (let seed = 0; seed < SEEDS; seed++) {
    const random = seededRandom(seed);
    const disk = new FaultyDisk(random);
    let file = new RecordFile<string>("f", disk);
    file.rewrite([]);
    let held: string[] = [];
    const refused = new Set<string>();
    for (let step = 0; step < 60; step++) {
      const draw = random();
      disk.fault = draw < 0.7 ? "none" : draw < 0.85 ? "refuses" : "fails-after";
      const record = `${String(step)}-${"x".repeat(Math.floor(random() * 20))}`;
      try {
        if (random() < 0.1) {
          file.rewrite(held);
        } else {
          refused.add(record);
          file.append(record);
          held.push(record);
        }
      } catch (err) {
        t.true(err instanceof StorageError);
      }
      if (random() < 0.1) {
        disk.fault = "none";
        disk.losePower();
        file = new RecordFile<string>("f", disk);
        const found = file.read();
        const extra = found.slice(held.length);
        t.deepEqual(found.slice(0, held.length), held, `seed ${String(seed)}`);
        t.true(extra.length <= 1 && extra.every((r) => refused.has(r)), `seed ${String(seed)}`);
        held = found;
        file.rewrite(held);
      }
    }
  }
});
