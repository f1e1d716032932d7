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

test("record handover sends a restarted member its records once, and retries while it is unreachable", async (t) => {
  // A record holder comes back with an empty disk, and a second one is lost soon after. The first must
  // have its records again by then, or the second loss removes further copies of them.
  const records = new RunRecords(undefined, () => performance.now());
  await records.claim("k", record);
  let pool = [member(0), member(1), member(2)];
  let reachable = true;
  const transferred: string[] = [];
  const handover = new RecordHandover({
    selfId: "s0",
    records,
    pool: () => pool,
    send: (address, entries) => {
      if (!reachable) {
        return Promise.reject(new Error("unreachable"));
      }
      transferred.push(...entries.map((entry) => `${address} ${entry.key}`));
      return Promise.resolve();
    },
  });
  await handover.transferToNewMembers();
  t.deepEqual(transferred.splice(0).sort(), ["127.0.0.1:1 k", "127.0.0.1:2 k"]);
  await handover.transferToNewMembers();
  t.deepEqual(transferred, []);
  pool = [member(0), member(1, 2), member(2)];
  reachable = false;
  await handover.transferToNewMembers();
  reachable = true;
  await handover.transferToNewMembers();
  t.deepEqual(transferred, ["127.0.0.1:1 k"]);
});
