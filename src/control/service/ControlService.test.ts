import { mkdtempSync, readFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import test from "ava";
import bunyan from "bunyan";
import { parse } from "yaml";
import { FakeClock } from "../../../test/fixtures/FakeClock.ts";
import { ReplicaId } from "../../common/ids/ReplicaId.ts";
import { FileReplicaStore } from "../log/FileReplicaStore.ts";
import { Replica } from "../replica/Replica.ts";
import { ReplicatedLog } from "../log/ReplicatedLog.ts";
import { ControlService } from "./ControlService.ts";
import type { ChangeRequest } from "./ChangeRequest.ts";

const doc = readFileSync(new URL("../../../config/demo.yaml", import.meta.url), "utf8");
const log = bunyan.createLogger({ name: "test", level: "fatal" });

/** An order for a whole document, as the CLI makes it: the version is the next one. */
const order = (raw: {
  document: string;
  expected_version: number;
  request_id: string;
  version?: number;
}): ChangeRequest => ({
  kind: "replace",
  document: parse(raw.document) as unknown,
  base: raw.expected_version,
  version: raw.version ?? raw.expected_version + 1,
  orderId: raw.request_id,
});

/** A replica of its own, leading from its first election on. */
const open = async (dir: string) => {
  const clock = new FakeClock();
  const first = {
    id: ReplicaId("only"),
    voters: [{ id: ReplicaId("only"), address: "only", zone: "" }],
  };
  const replica = new Replica({
    self: { address: "only", zone: "", api: "only" },
    contacts: () => [],
    wantedVoters: 1,
    log: new ReplicatedLog(new FileReplicaStore(dir), () => first),
    link: { send: () => undefined },
    timing: {
      heartbeatMs: 50,
      leaseMs: 300,
      electionMinMs: 500,
      electionMaxMs: 1000,
      proposeMs: 1500,
      replaceAfterMs: 1500,
      joinMs: 300,
    },
    clock,
    random: () => 0.5,
    logger: log,
  });
  replica.start();
  await clock.advance(1000);
  return { service: new ControlService(replica, clock, log), replica };
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
  const ada = await service.apply(
    order({ document: doc, expected_version: 0, request_id: "ada-1" }),
  );
  const ben = await service.apply(
    order({
      document: doc.replace("floor: 0.25", "floor: 0.3"),
      expected_version: 0,
      request_id: "ben-1",
    }),
  );
  t.deepEqual(ada, { kind: "accepted", version: 1 });
  t.is(ben.kind, "conflict");
});

test("a resend after a lost answer gets the first answer, not a second version", async (t) => {
  // Story: an operator applies, the answer is lost on the way back, the CLI
  // resends with the same request id. Control must not make version 2 out of
  // the resend, nor answer "conflict" for a change that did go in.
  const { service } = await fresh();
  const first = await service.apply(
    order({ document: doc, expected_version: 0, request_id: "r-1" }),
  );
  const resend = await service.apply(
    order({ document: doc, expected_version: 0, request_id: "r-1" }),
  );
  t.deepEqual(resend, first);
  t.deepEqual(
    await service.apply(order({ document: doc, expected_version: 1, request_id: "r-2" })),
    {
      kind: "accepted",
      version: 2,
    },
  );
});

test("an invalid document changes nothing", async (t) => {
  const { service } = await fresh();
  const bad = await service.apply(
    order({
      document: "services: []\n",
      expected_version: 0,
      request_id: "bad",
    }),
  );
  t.is(bad.kind, "invalid");
  t.deepEqual(
    await service.apply(order({ document: doc, expected_version: 0, request_id: "good" })),
    {
      kind: "accepted",
      version: 1,
    },
  );
});

test("an accepted version and its answers survive a restart of control", async (t) => {
  // Story: control accepts version 1 and is killed; after the restart a resend
  // of the same request must still get "accepted, 1", and version 1 must stand.
  const { dir, service } = await fresh();
  await service.apply(order({ document: doc, expected_version: 0, request_id: "r-1" }));
  const reopened = await open(dir);
  t.deepEqual(
    await reopened.service.apply(order({ document: doc, expected_version: 0, request_id: "r-1" })),
    {
      kind: "accepted",
      version: 1,
    },
  );
  t.is(reopened.replica.state.version, 1);
});

test("a change that was refused is refused again when it is resent", async (t) => {
  // Story: an operator's change expects version 1, which is not there yet, and
  // is refused. Version 1 comes; the refused change is resent by a retrying
  // script. What the operator was told is refused must not come into force.
  const { service } = await fresh();
  const early = order({ document: doc, expected_version: 1, request_id: "early" });
  t.is((await service.apply(early)).kind, "conflict");
  await service.apply(order({ document: doc, expected_version: 0, request_id: "r-1" }));
  t.is((await service.apply(early)).kind, "conflict");
});

test("an order that was accepted long ago is acknowledged again, whatever came since", async (t) => {
  // Story: the answer to an operator's change is lost; the operator's tool sends it
  // again, but meanwhile another change has come. Told of a conflict, the operator
  // would make the change once more.
  const { service } = await fresh();
  const first = order({ document: doc, expected_version: 0, request_id: "first", version: 7 });
  t.deepEqual(await service.apply(first), { kind: "accepted", version: 7 });
  for (let n = 0; n < 50; n++) {
    const next = order({ document: doc, expected_version: 7 + n, request_id: `next-${n}` });
    t.is((await service.apply(next)).kind, "accepted");
  }
  t.deepEqual(await service.apply(first), { kind: "accepted", version: 7 });
});

type Kind = Awaited<ReturnType<ControlService["apply"]>>["kind"];

const versions: readonly { name: string; base: number; version: number; kind: Kind }[] = [
  { name: "versions may leave gaps", base: 1, version: 9, kind: "accepted" },
  { name: "the same version as the current one", base: 1, version: 1, kind: "invalid" },
  { name: "a version below the current one", base: 1, version: 0, kind: "invalid" },
  { name: "a base that is not the current version", base: 0, version: 5, kind: "conflict" },
];

for (const c of versions) {
  test(`${c.name}: ${c.kind}`, async (t) => {
    const { service } = await fresh();
    await service.apply(order({ document: doc, expected_version: 0, request_id: "r-1" }));
    const outcome = await service.apply({
      kind: "replace",
      document: parse(doc) as unknown,
      base: c.base,
      version: c.version,
      orderId: "x",
    });
    t.is(outcome.kind, c.kind);
  });
}

const edit = (over: Partial<Extract<ChangeRequest, { kind: "edit" }>>): ChangeRequest => ({
  kind: "edit",
  orderId: "edit",
  base: 1,
  version: 2,
  services: { set: [], drop: [] },
  routes: { set: [], drop: [] },
  ...over,
});
const route = { name: "r", prefix: "/x/", idempotent: true, timeoutMs: 100, attempts: 1 };

const edits: readonly {
  name: string;
  order: ChangeRequest;
  kind: Kind;
  routes?: readonly string[];
}[] = [
  {
    name: "a route is added",
    order: edit({ routes: { set: [{ ...route, service: "oljelab-results" }], drop: [] } }),
    kind: "accepted",
    routes: ["r"],
  },
  {
    name: "a route to an unknown service",
    order: edit({ routes: { set: [{ ...route, service: "nobody" }], drop: [] } }),
    kind: "invalid",
  },
  {
    name: "a route without a timeout",
    order: edit({
      routes: { set: [{ ...route, timeoutMs: 0, service: "oljelab-results" }], drop: [] },
    }),
    kind: "invalid",
  },
  {
    name: "a route that is no object",
    order: edit({ routes: { set: [null], drop: [] } }),
    kind: "invalid",
  },
  {
    name: "dropping a route that is not there",
    order: edit({ routes: { set: [], drop: ["gone"] } }),
    kind: "accepted",
    routes: [],
  },
];

for (const c of edits) {
  test(`an edit: ${c.name}: ${c.kind}`, async (t) => {
    const { service, replica } = await fresh();
    await service.apply(order({ document: doc, expected_version: 0, request_id: "r-1" }));
    t.is((await service.apply(c.order)).kind, c.kind);
    t.is(replica.state.version, c.kind === "accepted" ? 2 : 1);
    t.is(replica.state.document.services.length, 4);
    t.deepEqual(
      replica.state.document.routes.map((r) => r.name),
      [...(c.routes ?? [])],
    );
  });
}
