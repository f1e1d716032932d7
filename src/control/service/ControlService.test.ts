import { mkdtempSync, readFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import test from "ava";
import bunyan from "bunyan";
import { ControlService } from "./ControlService.ts";
import { Replica } from "../replica/Replica.ts";
import { ReplicaLog } from "../replica/ReplicaLog.ts";

const doc = readFileSync(new URL("../../../config/demo.yaml", import.meta.url), "utf8");
const log = bunyan.createLogger({ name: "test", level: "fatal" });

/** A replica of its own, leading from its first election on. */
const open = async (dir: string) => {
  const clock = { now: 0 };
  const replica = new Replica({
    id: "only",
    peers: [],
    log: new ReplicaLog(dir, true),
    timing: {
      heartbeatMs: 50,
      leaseMs: 300,
      electionMinMs: 500,
      electionMaxMs: 1000,
      proposeMs: 1500,
    },
    now: () => clock.now,
    random: () => 0.5,
    logger: log,
  });
  clock.now = 1000;
  replica.tick();
  await new Promise((r) => setImmediate(r));
  return { service: new ControlService(replica, log), replica };
};

const fresh = async () => {
  const dir = mkdtempSync(join(tmpdir(), "bp-control-"));
  return { dir, ...(await open(dir)) };
};

test("two operators race with the same expected version: exactly one wins", async (t) => {
  // Story: Ada and Ben both read version 0 and apply different changes at once.
  // Both say "expected 0". Only one may be accepted; the other must be told of
  // the conflict, or one operator's change silently overwrites the other's.
  const { service } = await fresh();
  const ada = await service.apply({ document: doc, expected_version: 0, request_id: "ada-1" });
  const ben = await service.apply({
    document: doc.replace("floor: 0.25", "floor: 0.3"),
    expected_version: 0,
    request_id: "ben-1",
  });
  t.deepEqual(ada, { kind: "accepted", version: 1 });
  t.is(ben.kind, "conflict");
});

test("a resend after a lost answer gets the first answer, not a second version", async (t) => {
  // Story: an operator applies, the answer is lost on the way back, the CLI
  // resends with the same request id. Control must not make version 2 out of
  // the resend, nor answer "conflict" for a change that did go in.
  const { service } = await fresh();
  const first = await service.apply({ document: doc, expected_version: 0, request_id: "r-1" });
  const resend = await service.apply({ document: doc, expected_version: 0, request_id: "r-1" });
  t.deepEqual(resend, first);
  t.deepEqual(await service.apply({ document: doc, expected_version: 1, request_id: "r-2" }), {
    kind: "accepted",
    version: 2,
  });
});

test("an invalid document changes nothing", async (t) => {
  const { service } = await fresh();
  const bad = await service.apply({
    document: "services: []\n",
    expected_version: 0,
    request_id: "bad",
  });
  t.is(bad.kind, "invalid");
  t.deepEqual(await service.apply({ document: doc, expected_version: 0, request_id: "good" }), {
    kind: "accepted",
    version: 1,
  });
});

test("an accepted version and its answers survive a restart of control", async (t) => {
  // Story: control accepts version 1 and is killed; after the restart a resend
  // of the same request must still get "accepted, 1", and version 1 must stand.
  const { dir, service } = await fresh();
  await service.apply({ document: doc, expected_version: 0, request_id: "r-1" });
  const reopened = await open(dir);
  t.deepEqual(
    await reopened.service.apply({ document: doc, expected_version: 0, request_id: "r-1" }),
    {
      kind: "accepted",
      version: 1,
    },
  );
  t.is(reopened.replica.committed.version, 1);
});

test("a change that was refused is refused again when it is resent", async (t) => {
  // Story: an operator's change expects version 1, which is not there yet, and
  // is refused. Version 1 comes; the refused change is resent by a retrying
  // script. What the operator was told is refused must not come into force.
  const { service } = await fresh();
  const early = { document: doc, expected_version: 1, request_id: "early" };
  t.is((await service.apply(early)).kind, "conflict");
  await service.apply({ document: doc, expected_version: 0, request_id: "r-1" });
  t.is((await service.apply(early)).kind, "conflict");
});
