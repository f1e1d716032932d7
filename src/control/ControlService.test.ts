import { mkdtempSync, readFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import test from "ava";
import bunyan from "bunyan";
import { ConfigStore } from "./ConfigStore.ts";
import { ControlService } from "./ControlService.ts";

const doc = readFileSync(new URL("../../config/demo.yaml", import.meta.url), "utf8");
const log = bunyan.createLogger({ name: "test", level: "fatal" });

const fresh = () => {
  const dir = mkdtempSync(join(tmpdir(), "bp-control-"));
  return { dir, service: new ControlService(new ConfigStore(dir), log) };
};

test("two operators race with the same expected version: exactly one wins", (t) => {
  // Story: Ada and Ben both read version 0 and apply different changes at once.
  // Both say "expected 0". Only one may be accepted; the other must be told of
  // the conflict, or one operator's change silently overwrites the other's.
  const { service } = fresh();
  const ada = service.decide({ document: doc, expected_version: 0, request_id: "ada-1" });
  const ben = service.decide({
    document: doc.replace("floor: 0.25", "floor: 0.3"),
    expected_version: 0,
    request_id: "ben-1",
  });
  t.deepEqual(ada, { kind: "accepted", version: 1 });
  t.is(ben.kind, "conflict");
});

test("a resend after a lost answer gets the first answer, not a second version", (t) => {
  // Story: an operator applies, the answer is lost on the way back, the CLI
  // resends with the same request id. Control must not make version 2 out of
  // the resend, nor answer "conflict" for a change that did go in.
  const { service } = fresh();
  const first = service.decide({ document: doc, expected_version: 0, request_id: "r-1" });
  const resend = service.decide({ document: doc, expected_version: 0, request_id: "r-1" });
  t.deepEqual(resend, first);
  t.deepEqual(service.decide({ document: doc, expected_version: 1, request_id: "r-2" }), {
    kind: "accepted",
    version: 2,
  });
});

test("an invalid document changes nothing", (t) => {
  const { service } = fresh();
  const bad = service.decide({
    document: "services: []\n",
    expected_version: 0,
    request_id: "bad",
  });
  t.is(bad.kind, "invalid");
  t.deepEqual(service.decide({ document: doc, expected_version: 0, request_id: "good" }), {
    kind: "accepted",
    version: 1,
  });
});

test("an accepted version and its answers survive a restart of control", (t) => {
  // Story: control accepts version 1 and is killed; after the restart a resend
  // of the same request must still get "accepted, 1", and version 1 must stand.
  const { dir, service } = fresh();
  service.decide({ document: doc, expected_version: 0, request_id: "r-1" });
  const reopened = new ControlService(new ConfigStore(dir), log);
  t.deepEqual(reopened.decide({ document: doc, expected_version: 0, request_id: "r-1" }), {
    kind: "accepted",
    version: 1,
  });
  t.is(new ConfigStore(dir).version, 1);
});
