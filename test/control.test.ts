import { rmSync, readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import test from "ava";
import { callUnary } from "../src/common/rpc/callUnary.ts";
import { ControlClient } from "../src/common/rpc/ControlClient.ts";
import type { ProtoTypes } from "../src/common/rpc/ProtoTypes.ts";
import { LocalFleet } from "../scripts/LocalFleet.ts";

const DOC = fileURLToPath(new URL("../config/demo.yaml", import.meta.url));
const text = readFileSync(DOC, "utf8");

/** The demo document with another floor, so that versions can be told apart. */
const withFloor = (floor: number) => text.replace("floor: 0.5", `floor: ${floor}`);

const fleet = new LocalFleet({ controls: 3 });
const sidecars = ["a", "b", "c"].map((id) => ({ id, zone: `zone-${id}` }));

test.before(async () => {
  await fleet.startSidecarsOnly(sidecars);
});

test.after.always(async () => {
  await fleet.stop();
});

/** Applies at one replica over gRPC, as an operator's tool would. */
async function applyAt(
  address: string,
  document: string,
  expected: number,
  requestId: string,
): Promise<ProtoTypes["ApplyReply"] | undefined> {
  const client = ControlClient(address);
  const req = { document, expected_version: expected, request_id: requestId, version: 0 };
  const reply = await callUnary(client.Apply.bind(client), req, 5000).catch(() => undefined);
  client.close();
  return reply;
}

async function leaderAddress(): Promise<{ id: string; address: string }> {
  const id = await fleet.waitForLeader();
  return { id, address: fleet.controlAddress(id) };
}

/** The highest version that any control replica has committed. */
async function current(): Promise<number> {
  const all = await Promise.all([...fleet.controls.keys()].map((id) => fleet.controlStatus(id)));
  return Math.max(...all.map((s) => s?.version ?? 0));
}

async function applyFile(floor: number) {
  const file = join(fleet.dir, `floor-${floor}.yaml`);
  writeFileSync(file, withFloor(floor));
  return fleet.apply(file);
}

test.serial("an operator's change goes through whichever replica leads", async (t) => {
  const applied = await applyFile(0.4);
  t.is(applied.code, 0, applied.err);
  await fleet.waitForVersion(1);
  t.is(await current(), 1);
});

test.serial("two operators race with the same expected version: exactly one wins", async (t) => {
  // Story: Ada and Ben both read version n and send different changes at the
  // same moment, each to the leader. One wins, the other is told of the conflict.
  const { address } = await leaderAddress();
  const n = await current();
  const outcomes = await Promise.all(
    [0.41, 0.42].map((floor) => applyAt(address, withFloor(floor), n, `race-${floor}`)),
  );
  t.deepEqual(outcomes.map((o) => o?.outcome).sort(), ["accepted", "conflict"]);
  await fleet.waitForVersion(n + 1);
});

test.serial(
  "the leader is killed in the midst of an apply: nothing accepted is lost, a resend is not applied twice",
  async (t) => {
    // Story: the leading control VM dies with an operator's change on its way;
    // the operator sees no answer and sends it again with the same request id.
    const { id, address } = await leaderAddress();
    const n = await current();
    const lost = applyAt(address, withFloor(0.43), n, "killed");
    await fleet.killControl(id);
    await lost;
    const startedAt = Date.now();
    const file = join(fleet.dir, "killed.yaml");
    writeFileSync(file, withFloor(0.43));
    const control = fleet.controlAddresses.join(",");
    const args = ["config", "apply", file, "--control", control];
    const resent = await fleet.cli([...args, "--expect", `${n}`, "--request-id", "killed"]);
    t.log(`accepted ${Date.now() - startedAt} ms after the kill`);
    t.is(resent.code, 0, resent.err);
    t.regex(resent.out, new RegExp(`accepted as version ${n + 1} `));
    const again = await fleet.cli([...args, "--expect", `${n}`, "--request-id", "killed"]);
    t.regex(again.out, new RegExp(`accepted as version ${n + 1} `));
    await fleet.waitForVersion(n + 1);
    t.is(await current(), n + 1);
    await fleet.restartControl(id);
  },
);

test.serial(
  "a replica loses its disk, then a second one is lost: the accepted version stands",
  async (t) => {
    // Story: one control VM is repaired with an empty disk; right after, another
    // is killed. The two left must agree on the accepted version, not on nothing.
    const n = await current();
    const leader = await fleet.waitForLeader();
    const [emptied = "", third = ""] = [...fleet.controls.keys()].filter((id) => id !== leader);
    await fleet.killControl(emptied);
    rmSync(join(fleet.dir, emptied), { recursive: true, force: true });
    await fleet.restartControl(emptied);
    for (let i = 0; (await fleet.controlStatus(emptied))?.replica !== "follower" && i < 100; i++) {
      await new Promise((r) => setTimeout(r, 50));
    }
    await fleet.killControl(leader);
    const startedAt = Date.now();
    const applied = await applyFile(0.44);
    t.log(`the next change was accepted ${Date.now() - startedAt} ms after the second loss`);
    t.is(applied.code, 0, applied.err);
    t.is((await fleet.controlStatus(third))?.version, n + 1);
    await fleet.waitForVersion(n + 1);
    await fleet.restartControl(leader);
  },
);

test.serial("a control VM frozen for long serves nothing old when it wakes", async (t) => {
  // Story: the leader's VM freezes, others take over and accept changes; it
  // wakes and must not answer for a moment as if its document were current.
  const { id, address } = await leaderAddress();
  const proc = fleet.controls.get(id)?.proc;
  proc?.kill("SIGSTOP");
  const applied = await applyFile(0.45);
  t.is(applied.code, 0, applied.err);
  const n = await current();
  proc?.kill("SIGCONT");
  const client = ControlClient(address);
  const read = await callUnary(client.Current.bind(client), {}, 2000).catch(() => undefined);
  client.close();
  t.true(read === undefined || read.version >= n);
  const stale = await applyAt(address, withFloor(0.46), n - 1, "stale");
  t.not(stale?.outcome, "accepted");
});

test.serial(
  "a sidecar restarted after 300 changes catches up, and one that cannot reach control hears from peers",
  async (t) => {
    // Story: a VM is rebuilt after a busy week: its sidecar starts hundreds of
    // changes behind, with nothing on disk.
    const { address } = await leaderAddress();
    await fleet.killSidecar("a");
    rmSync(fleet.sidecarDataDir("a"), { recursive: true, force: true });
    let n = await current();
    for (let i = 0; i < 300; i++) {
      const reply = await applyAt(address, withFloor(0.3 + i / 1000), n, `many-${i}`);
      t.is(reply?.outcome, "accepted");
      n += 1;
    }
    const startedAt = Date.now();
    await fleet.restartSidecar("a");
    await fleet.waitForVersion(n);
    t.log(`version ${n} in force ${Date.now() - startedAt} ms after the sidecar's start`);
    // All of control goes; the sidecar starts empty again, and has only its peers.
    await fleet.killSidecar("a");
    rmSync(fleet.sidecarDataDir("a"), { recursive: true, force: true });
    for (const id of fleet.controls.keys()) {
      await fleet.killControl(id);
    }
    await fleet.restartSidecar("a");
    await fleet.waitForVersion(n);
    t.pass();
  },
);
