import test from "ava";
import { ReplicaId } from "../common/ids/ReplicaId.ts";
import { ControlMetrics } from "./ControlMetrics.ts";
import { ConfigState } from "./log/ConfigState.ts";

test("control metrics count a leader only when it changes, and record writes by duration", async (t) => {
  const listeners: (() => void)[] = [];
  const replica = {
    state: new ConfigState(),
    holdsLease: true,
    inTouch: true,
    voters: [],
    leader: undefined as { id: ReplicaId; api: string } | undefined,
    onChange: (listener: () => void) => {
      listeners.push(listener);
      return () => true;
    },
  };
  const metrics = new ControlMetrics();
  metrics.observe(replica, { count: 3 });
  for (const leader of ["a", "a", "b"]) {
    replica.leader = { id: ReplicaId(leader), api: "" };
    listeners.forEach((listener) => {
      listener();
    });
  }
  metrics.observeWrite(450);
  const text = await metrics.registry.metrics();
  for (const line of [
    "burdockpass_control_leader_changes_total 2",
    "burdockpass_control_watches 3",
    "burdockpass_control_leading 1",
    'burdockpass_control_write_seconds_bucket{le="0.4"} 0',
    'burdockpass_control_write_seconds_bucket{le="1"} 1',
  ]) {
    t.true(text.includes(`${line}\n`), line);
  }
});
