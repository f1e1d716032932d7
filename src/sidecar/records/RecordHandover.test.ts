import test from "ava";
import { RecordHandover } from "./RecordHandover.ts";
import type { RunRecord } from "./RunRecord.ts";
import { RunRecords } from "./RunRecords.ts";

const record: RunRecord = { state: "unknown", attempt: "1", fingerprint: "f", deadlineAt: 0 };

const member = (n: number, incarnation = 1) => ({
  id: `s${n}`,
  zone: `zone-${n}`,
  peerAddress: `127.0.0.1:${n}`,
  incarnation,
});

test("a keeper that comes back empty gets its records again, once, also when it is not up at once", async (t) => {
  // Story: a machine that kept booking records is repaired and comes back with
  // an empty disk; soon after a second keeper is lost. The records must have
  // been copied to the first by then, or the second loss wears them away.
  const records = new RunRecords(undefined, () => performance.now());
  await records.claim("k", record);
  let pool = [member(0), member(1), member(2)];
  let reachable = true;
  const handed: string[] = [];
  const handover = new RecordHandover({
    selfId: "s0",
    records,
    pool: () => pool,
    send: (address, due) => {
      if (!reachable) {
        return Promise.reject(new Error("not up yet"));
      }
      handed.push(...due.map((d) => `${address} ${d.key}`));
      return Promise.resolve();
    },
  });
  await handover.check();
  t.deepEqual(handed.splice(0).sort(), ["127.0.0.1:1 k", "127.0.0.1:2 k"]);
  await handover.check();
  t.deepEqual(handed, []);
  pool = [member(0), member(1, 2), member(2)];
  reachable = false;
  await handover.check();
  reachable = true;
  await handover.check();
  t.deepEqual(handed, ["127.0.0.1:1 k"]);
});
