import test from "ava";
import type { ProtoTypes } from "../common/ProtoTypes.ts";
import { ServiceName } from "../common/ServiceName.ts";
import { SidecarId } from "../common/SidecarId.ts";
import { ZoneName } from "../common/ZoneName.ts";
import { TargetState } from "./TargetState.ts";
import { ANNOUNCE_TIMEOUT_MS, MEMBER_TIMEOUT_MS, TargetTable } from "./TargetTable.ts";

const wireTarget = (target_id: string, state: string): ProtoTypes["Target"] => ({
  target_id,
  service: "svc",
  url: "http://127.0.0.1:1",
  slots: 5,
  state,
  health_path: "",
  probe_failing: false,
});

const member = (
  id: string,
  incarnation: number,
  heartbeat: number,
  state = "ready",
): ProtoTypes["Member"] => ({
  sidecar_id: id,
  peer_address: `127.0.0.1:${id.length}`,
  zone: "zone-b",
  heartbeat,
  incarnation,
  targets: [wireTarget(`t-${id}`, state)],
  evidence: [],
});

const setup = () => {
  const clock = { now: 1000 };
  const table = new TargetTable(
    { id: SidecarId("self"), peerAddress: "127.0.0.1:1", zone: ZoneName("zone-a") },
    () => clock.now,
  );
  return { clock, table };
};

const mergeCases: readonly {
  name: string;
  first: ProtoTypes["Member"];
  second: ProtoTypes["Member"];
  want: TargetState;
}[] = [
  {
    name: "higher heartbeat wins",
    first: member("p", 1, 5),
    second: member("p", 1, 6, "draining"),
    want: TargetState.Draining,
  },
  {
    name: "older heartbeat is ignored",
    first: member("p", 1, 6),
    second: member("p", 1, 5, "draining"),
    want: TargetState.Ready,
  },
  {
    name: "a restart (higher incarnation) wins over a high heartbeat",
    first: member("p", 1, 900),
    second: member("p", 2, 1, "draining"),
    want: TargetState.Draining,
  },
];

for (const c of mergeCases) {
  test(`merge: ${c.name}`, (t) => {
    const { table } = setup();
    table.merge({ members: [c.first] });
    table.merge({ members: [c.second] });
    t.is(table.targetsOf(ServiceName("svc"))[0]?.state, c.want);
  });
}

test("a member whose heartbeat stops rising is dropped with its targets", (t) => {
  const { clock, table } = setup();
  table.merge({ members: [member("p", 1, 1)] });
  clock.now += MEMBER_TIMEOUT_MS - 1;
  t.is(table.allTargets().length, 1);
  table.merge({ members: [member("p", 1, 1)] }); // the same heartbeat again is no sign of life
  clock.now += 2;
  t.is(table.allTargets().length, 0);
});

test("a local target that stops announcing is dropped", (t) => {
  const { clock, table } = setup();
  table.announce(wireTarget("mine", "ready"));
  t.is(table.digest()[0]?.targets.length, 1);
  clock.now += ANNOUNCE_TIMEOUT_MS + 1;
  t.is(table.digest()[0]?.targets.length, 0);
});
