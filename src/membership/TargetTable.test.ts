import test from "ava";
import type { ProtoTypes } from "../common/rpc/ProtoTypes.ts";
import { ServiceName } from "../common/ids/ServiceName.ts";
import { SidecarId } from "../common/ids/SidecarId.ts";
import { TargetId } from "../common/ids/TargetId.ts";
import { ZoneName } from "../common/ids/ZoneName.ts";
import { TargetState } from "./TargetState.ts";
import { TargetTable } from "./TargetTable.ts";

const protoTarget = (target_id: string, state: string): ProtoTypes["Target"] => ({
  target_id,
  service: "svc",
  url: "http://127.0.0.1:1",
  slots: 5,
  state,
  health_path: "",
  born: 0,
  resumed: 0,
});

const member = (
  id: string,
  incarnation: number,
  revision: number,
  state = "ready",
): ProtoTypes["Member"] => ({
  sidecar_id: id,
  peer_address: `127.0.0.1:${id.length}`,
  zone: "zone-b",
  revision,
  incarnation,
  targets: [protoTarget(`t-${id}`, state)],
  gone: false,
  hop_address: `127.0.0.2:${id.length}`,
  control: false,
  stopping: false,
  departed: [],
});

const setUp = () => {
  const clock = { now: 1000 };
  const table = new TargetTable(
    {
      id: SidecarId("self"),
      peerAddress: "127.0.0.1:1",
      hopAddress: "127.0.0.1:2",
      zone: ZoneName("zone-a"),
      incarnation: 5,
    },
    () => clock.now,
  );
  return { clock, table };
};

const mergeCases: readonly {
  name: string;
  first: ProtoTypes["Member"];
  second: ProtoTypes["Member"];
  expected: TargetState;
}[] = [
  {
    name: "entry with a higher revision wins",
    first: member("p", 1, 5),
    second: member("p", 1, 6, "draining"),
    expected: TargetState.Draining,
  },
  {
    name: "entry with an older revision is ignored",
    first: member("p", 1, 6),
    second: member("p", 1, 5, "draining"),
    expected: TargetState.Ready,
  },
  {
    name: "entry of a restarted member (higher incarnation) wins over a higher revision",
    first: member("p", 1, 900),
    second: member("p", 2, 1, "draining"),
    expected: TargetState.Draining,
  },
];

for (const c of mergeCases) {
  test(`merge: ${c.name}`, (t) => {
    const { table } = setUp();
    table.merge([c.first]);
    table.merge([c.second]);
    t.is(table.targetsOf(ServiceName("svc"))[0]?.state, c.expected);
  });
}

test("dead member is dropped with its targets, and outdated rumors do not bring it back", (t) => {
  const { table } = setUp();
  table.merge([member("p", 1, 1)]);
  t.is(table.allTargets().length, 1);
  t.true(table.declareGone("p"));
  t.is(table.allTargets().length, 0);
  t.deepEqual(table.merge([member("p", 1, 1)]), []);
  t.is(table.allTargets().length, 0);
  // Only the member itself can bring its entry back, with a higher revision.
  t.is(table.merge([member("p", 1, 2)]).length, 1);
  t.is(table.allTargets().length, 1);
});

test("sidecar refutes a rumor of its own death, and an entry from before its clock was set back", (t) => {
  // A sidecar restarts after its VM's wall clock was set back by an hour. Its incarnation is
  // lower than before the restart, so without the refutation peers would ignore it for that hour.
  const { table } = setUp();
  t.is(table.merge([{ ...table.own, gone: true }]).length, 1);
  t.false(table.own.gone);
  t.is(table.own.revision, 1);
  const before = { ...table.own, incarnation: 3_600_000, revision: 9 };
  t.is(table.merge([before]).length, 1);
  t.true(table.own.incarnation > before.incarnation);
});

test("equal views have equal checksums, in whatever order entries were merged", (t) => {
  const a = setUp().table;
  const b = setUp().table;
  a.merge([member("p", 1, 1), member("q", 1, 1)]);
  a.merge([member("p", 1, 2)]);
  t.not(a.checksum, b.checksum);
  b.merge([member("q", 1, 1)]);
  b.merge([member("r", 1, 1)]);
  b.declareGone("r");
  b.merge([member("p", 1, 2)]);
  t.is(a.checksum, b.checksum);
});

test("dead member stays in the pool of record holders for 30 s", (t) => {
  const { clock, table } = setUp();
  table.merge([member("p", 1, 1)]);
  clock.now += 3_600_000; // an hour without updates, and alive
  t.is(table.recordHolderPool().length, 2);
  table.declareGone("p");
  clock.now += 30_000;
  t.is(table.recordHolderPool().length, 2);
  clock.now += 1;
  t.is(table.recordHolderPool().length, 1);
});

test("local target that stops announcing itself is dropped", (t) => {
  const { clock, table } = setUp();
  table.announce(protoTarget("mine", "ready"));
  t.true(table.refreshOwn());
  t.is(table.own.targets.length, 1);
  t.false(table.refreshOwn(), "nothing changed");
  clock.now += 1501;
  t.true(table.refreshOwn());
  t.is(table.own.targets.length, 0);
});

for (const { name, hopAddress, wire } of [
  { name: "on the same host", hopAddress: "127.0.0.1:2", wire: ":2" },
  { name: "on another host", hopAddress: "127.0.0.9:2", wire: "127.0.0.9:2" },
]) {
  test(`hop address ${name} is restored from its short form on the wire`, (t) => {
    const self = { id: SidecarId("p"), peerAddress: "127.0.0.1:1", hopAddress };
    const now = () => 0;
    const p = new TargetTable({ ...self, zone: ZoneName("zone-a"), incarnation: 1 }, now);
    p.announce(protoTarget("t-p", "ready"));
    p.refreshOwn();
    t.is(p.own.hop_address, wire);
    const { table } = setUp();
    table.merge([p.own]);
    t.is(table.target(TargetId("t-p"))?.hopAddress, hopAddress);
  });
}

test("URL of a target is published to other members only if it has a health endpoint", (t) => {
  const { table } = setUp();
  table.announce({ ...protoTarget("plain", "ready"), url: "http://127.0.0.1:3" });
  table.announce({ ...protoTarget("checked", "ready"), health_path: "/healthz" });
  table.refreshOwn();
  t.deepEqual(
    table.own.targets.map((target) => target.url),
    ["", "http://127.0.0.1:1"],
  );
  t.is(table.target(TargetId("plain"))?.url, "http://127.0.0.1:3");
});
