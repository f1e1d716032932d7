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

/** A request to replace the whole document, as the CLI sends it; the version defaults to the next one. */
const replaceRequest = (raw: {
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

/** A control service on a group of one replica, which becomes the leader in its first election. */
const openService = async (dir: string) => {
  const clock = new FakeClock();
  const initial = {
    id: ReplicaId("only"),
    voters: [{ id: ReplicaId("only"), address: "only", zone: "" }],
  };
  const replica = new Replica({
    self: { address: "only", zone: "", api: "only" },
    contacts: () => [],
    wantedVoters: 1,
    log: new ReplicatedLog(new FileReplicaStore(dir), () => initial),
    link: { send: () => undefined },
    timing: {
      heartbeatMs: 50,
      leaseMs: 300,
      electionMinMs: 500,
      electionMaxMs: 1000,
      commitTimeoutMs: 1500,
      replaceAfterMs: 1500,
      joinIntervalMs: 300,
    },
    clock,
    elapsed: () => clock.now(),
    firstReply: 0,
    random: () => 0.5,
    logger: log,
  });
  replica.start();
  await clock.advance(1000);
  return { service: new ControlService(replica, clock, log), replica };
};

const openEmpty = async () => {
  const dir = mkdtempSync(join(tmpdir(), "bp-control-"));
  return { dir, ...(await openService(dir)) };
};

test("only one of two racing changes with the same expected version is accepted", async (t) => {
  // Two operators read version 0 and apply different changes at once, both with expected
  // version 0. The second one must get a conflict; otherwise it would silently overwrite
  // the first change.
  const { service } = await openEmpty();
  const ada = await service.apply(
    replaceRequest({ document: doc, expected_version: 0, request_id: "ada-1" }),
  );
  const ben = await service.apply(
    replaceRequest({
      document: doc.replace("floor: 0.25", "floor: 0.3"),
      expected_version: 0,
      request_id: "ben-1",
    }),
  );
  t.deepEqual(ada, { kind: "accepted", version: 1 });
  t.is(ben.kind, "conflict");
});

test("a resend after a lost reply gets the first reply and does not create a second version", async (t) => {
  // The reply to a change is lost, and the CLI resends the change with the same request id.
  // The resend must neither create version 2 nor be refused as a conflict.
  const { service } = await openEmpty();
  const first = await service.apply(
    replaceRequest({ document: doc, expected_version: 0, request_id: "r-1" }),
  );
  const resend = await service.apply(
    replaceRequest({ document: doc, expected_version: 0, request_id: "r-1" }),
  );
  t.deepEqual(resend, first);
  t.deepEqual(
    await service.apply(replaceRequest({ document: doc, expected_version: 1, request_id: "r-2" })),
    {
      kind: "accepted",
      version: 2,
    },
  );
});

test("an invalid document changes nothing", async (t) => {
  const { service } = await openEmpty();
  const bad = await service.apply(
    replaceRequest({
      document: "services: []\n",
      expected_version: 0,
      request_id: "bad",
    }),
  );
  t.is(bad.kind, "invalid");
  t.deepEqual(
    await service.apply(replaceRequest({ document: doc, expected_version: 0, request_id: "good" })),
    {
      kind: "accepted",
      version: 1,
    },
  );
});

test("an accepted version and its reply survive a restart of the control replica", async (t) => {
  // The replica accepts version 1 and is killed. After the restart, version 1 must still be
  // the current one, and a resend of the request must still be acknowledged with version 1.
  const { dir, service } = await openEmpty();
  await service.apply(replaceRequest({ document: doc, expected_version: 0, request_id: "r-1" }));
  const reopened = await openService(dir);
  t.deepEqual(
    await reopened.service.apply(
      replaceRequest({ document: doc, expected_version: 0, request_id: "r-1" }),
    ),
    {
      kind: "accepted",
      version: 1,
    },
  );
  t.is(reopened.replica.state.version, 1);
});

test("a refused change is refused again when it is resent", async (t) => {
  // A change that expects version 1 is refused, because the current version is 0. Then
  // version 1 is accepted, and a script resends the refused change. The operator was told
  // that it was refused, so it must not take effect now.
  const { service } = await openEmpty();
  const early = replaceRequest({ document: doc, expected_version: 1, request_id: "early" });
  t.is((await service.apply(early)).kind, "conflict");
  await service.apply(replaceRequest({ document: doc, expected_version: 0, request_id: "r-1" }));
  t.is((await service.apply(early)).kind, "conflict");
});

test("a resend of an accepted change is acknowledged again after many later changes", async (t) => {
  // The reply to a change is lost, and other changes are accepted before it is resent. If
  // the resend got a conflict, the operator would make the change a second time.
  const { service } = await openEmpty();
  const first = replaceRequest({
    document: doc,
    expected_version: 0,
    request_id: "first",
    version: 7,
  });
  t.deepEqual(await service.apply(first), { kind: "accepted", version: 7 });
  for (let n = 0; n < 50; n++) {
    const next = replaceRequest({
      document: doc,
      expected_version: 7 + n,
      request_id: `next-${n}`,
    });
    t.is((await service.apply(next)).kind, "accepted");
  }
  t.deepEqual(await service.apply(first), { kind: "accepted", version: 7 });
});

type Kind = Awaited<ReturnType<ControlService["apply"]>>["kind"];

const versionCases: readonly { name: string; base: number; version: number; kind: Kind }[] = [
  { name: "versions may leave gaps", base: 1, version: 9, kind: "accepted" },
  { name: "the same version as the current one", base: 1, version: 1, kind: "invalid" },
  { name: "a version below the current one", base: 1, version: 0, kind: "invalid" },
  { name: "a base version that is not the current one", base: 0, version: 5, kind: "conflict" },
];

for (const c of versionCases) {
  test(`version check: ${c.name}: ${c.kind}`, async (t) => {
    const { service } = await openEmpty();
    await service.apply(replaceRequest({ document: doc, expected_version: 0, request_id: "r-1" }));
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

const editRequest = (over: Partial<Extract<ChangeRequest, { kind: "edit" }>>): ChangeRequest => ({
  kind: "edit",
  orderId: "edit",
  base: 1,
  version: 2,
  services: { set: [], drop: [] },
  routes: { set: [], drop: [] },
  ...over,
});
const route = { name: "r", prefix: "/x/", idempotent: true, timeoutMs: 100, attempts: 1 };

const editCases: readonly {
  name: string;
  req: ChangeRequest;
  kind: Kind;
  routes?: readonly string[];
}[] = [
  {
    name: "a route is added",
    req: editRequest({ routes: { set: [{ ...route, service: "oljelab-results" }], drop: [] } }),
    kind: "accepted",
    routes: ["r"],
  },
  {
    name: "a route to an unknown service",
    req: editRequest({ routes: { set: [{ ...route, service: "nobody" }], drop: [] } }),
    kind: "invalid",
  },
  {
    name: "a route without a timeout",
    req: editRequest({
      routes: { set: [{ ...route, timeoutMs: 0, service: "oljelab-results" }], drop: [] },
    }),
    kind: "invalid",
  },
  {
    name: "a route that is not an object",
    req: editRequest({ routes: { set: [null], drop: [] } }),
    kind: "invalid",
  },
  {
    name: "removing a route that does not exist",
    req: editRequest({ routes: { set: [], drop: ["gone"] } }),
    kind: "accepted",
    routes: [],
  },
];

for (const c of editCases) {
  test(`edit request: ${c.name}: ${c.kind}`, async (t) => {
    const { service, replica } = await openEmpty();
    await service.apply(replaceRequest({ document: doc, expected_version: 0, request_id: "r-1" }));
    t.is((await service.apply(c.req)).kind, c.kind);
    t.is(replica.state.version, c.kind === "accepted" ? 2 : 1);
    t.is(replica.state.document.services.length, 4);
    t.deepEqual(
      replica.state.document.routes.map((r) => r.name),
      [...(c.routes ?? [])],
    );
  });
}
