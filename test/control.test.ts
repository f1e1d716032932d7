import { rmSync, readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import test from "ava";
import { callUnary } from "../src/common/rpc/callUnary.ts";
import { ControlClient } from "../src/common/rpc/ControlClient.ts";
import type { ProtoTypes } from "../src/common/rpc/ProtoTypes.ts";
import { LocalFleet } from "../scripts/LocalFleet.ts";

const DEMO_DOCUMENT_PATH = fileURLToPath(new URL("../config/demo.yaml", import.meta.url));
const demoDocument = readFileSync(DEMO_DOCUMENT_PATH, "utf8");

/** Returns the demo document with another floor, so that versions can be told apart. */
const withFloor = (floor: number) => demoDocument.replace("floor: 0.5", `floor: ${floor}`);

const fleet = new LocalFleet({ controls: 3 });
const sidecars = ["a", "b", "c"].map((id) => ({ id, zone: `zone-${id}` }));

test.before(async () => {
  await fleet.startSidecarsOnly(sidecars);
});

test.after.always(async () => {
  await fleet.stop();
});

/** Applies a document at one replica over gRPC, as the CLI does; undefined if the call fails. */
async function applyAtReplica(
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

/** Returns the highest document version that a control replica has committed. */
async function committedVersion(): Promise<number> {
  const all = await Promise.all([...fleet.controls.keys()].map((id) => fleet.controlStatus(id)));
  return Math.max(...all.map((s) => s?.version ?? 0));
}

async function applyFloor(floor: number) {
  const file = join(fleet.dir, `floor-${floor}.yaml`);
  writeFileSync(file, withFloor(floor));
  return fleet.apply(file);
}

test.serial("a change is applied, whichever control replica is the leader", async (t) => {
  const applied = await applyFloor(0.4);
  t.is(applied.code, 0, applied.err);
  await fleet.waitForVersion(1);
  t.is(await committedVersion(), 1);
});

test.serial(
  "two concurrent changes with the same expected version: exactly one is accepted",
  async (t) => {
    // Two operators read version n and send different changes to the leader at the same time. If both were accepted,
    // one change would overwrite the other; the second must be rejected as a conflict.
    const { address } = await leaderAddress();
    const n = await committedVersion();
    const outcomes = await Promise.all(
      [0.41, 0.42].map((floor) => applyAtReplica(address, withFloor(floor), n, `race-${floor}`)),
    );
    t.deepEqual(outcomes.map((o) => o?.outcome).sort(), ["accepted", "conflict"]);
    await fleet.waitForVersion(n + 1);
  },
);

test.serial(
  "leader killed during an apply: no accepted change is lost, and a resend is not applied twice",
  async (t) => {
    // The leader is killed while a change is in progress. The operator gets no reply and sends the change again with
    // the same request id.
    const { id, address } = await leaderAddress();
    const n = await committedVersion();
    const lost = applyAtReplica(address, withFloor(0.43), n, "killed");
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
    t.is(await committedVersion(), n + 1);
    await fleet.restartControl(id);
  },
);

test.serial(
  "a replica with a lost disk rejoins, then a second replica fails: the accepted version is kept",
  async (t) => {
    // One control replica restarts with an empty disk; right after it has rejoined, the leader is killed. The two
    // remaining replicas must keep the accepted version rather than start from an empty log.
    const n = await committedVersion();
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
    const applied = await applyFloor(0.44);
    t.log(`the next change was accepted ${Date.now() - startedAt} ms after the second loss`);
    t.is(applied.code, 0, applied.err);
    t.is((await fleet.controlStatus(third))?.version, n + 1);
    await fleet.waitForVersion(n + 1);
    await fleet.restartControl(leader);
  },
);

test.serial(
  "a control replica frozen for long serves no stale document when it resumes",
  async (t) => {
    // The leader is frozen, and another replica takes over and accepts a change. When the old leader resumes, it must
    // not serve its document as current or accept a change to it.
    const { id, address } = await leaderAddress();
    const proc = fleet.controls.get(id)?.proc;
    proc?.kill("SIGSTOP");
    const applied = await applyFloor(0.45);
    t.is(applied.code, 0, applied.err);
    const n = await committedVersion();
    proc?.kill("SIGCONT");
    const client = ControlClient(address);
    const read = await callUnary(client.Current.bind(client), {}, 2000).catch(() => undefined);
    client.close();
    t.true(read === undefined || read.version >= n);
    const stale = await applyAtReplica(address, withFloor(0.46), n - 1, "stale");
    t.not(stale?.outcome, "accepted");
  },
);

test.serial(
  "a sidecar that starts empty catches up over 300 changes, and without control replicas gets the document from peers",
  async (t) => {
    // A rebuilt VM starts its sidecar with an empty disk, hundreds of document versions behind.
    const { address } = await leaderAddress();
    await fleet.killSidecar("a");
    rmSync(fleet.sidecarDataDir("a"), { recursive: true, force: true });
    let n = await committedVersion();
    for (let i = 0; i < 300; i++) {
      const reply = await applyAtReplica(address, withFloor(0.3 + i / 1000), n, `many-${i}`);
      t.is(reply?.outcome, "accepted");
      n += 1;
    }
    const startedAt = Date.now();
    await fleet.restartSidecar("a");
    await fleet.waitForVersion(n);
    t.log(`version ${n} in force ${Date.now() - startedAt} ms after the sidecar's start`);
    // All control replicas are killed; the sidecar starts empty again and can get the document only from its peers.
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
