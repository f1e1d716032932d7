import test from "ava";
import { MemberFleet } from "../../test/fixtures/MemberFleet.ts";

const ROUND_MS = MemberFleet.roundMs;

const all = (count: number) => Array.from({ length: count }, () => count);

for (const count of [2, 8, 40, 120]) {
  test(`${count} sidecars that join through two seeds all see each other, and all see a drain within 2 s`, async (t) => {
    const fleet = new MemberFleet(count);
    fleet.states.set("s1", "ready");
    await fleet.run(4000);
    t.deepEqual(fleet.memberCounts(), all(count));
    t.deepEqual([...fleet.statesSeen("s1")], ["ready"]);
    fleet.states.set("s1", "draining");
    await fleet.run(2000);
    t.deepEqual([...fleet.statesSeen("s1")], ["draining"]);
  });
}

test("messages per sidecar do not grow with the fleet while there are no updates", async (t) => {
  // Guards against whole views in every message: each sidecar of 40 sent 570 KB/s, and in a fleet of 6,700 it
  // would have sent 95 MB/s.
  const costs: number[] = [];
  for (const count of [10, 40, 160]) {
    const fleet = new MemberFleet(count);
    await fleet.run(20_000);
    fleet.messages = 0;
    fleet.updatesSent = 0;
    await fleet.run(10_000);
    costs.push(fleet.messages / count);
    t.is(fleet.updatesSent, 0, `${count} sidecars send no membership updates`);
  }
  t.deepEqual(costs, [100, 100, 100]);
});

// Guards against redundant gossip: while hundreds of sidecars were restarted, each sent every change some
// twenty-four times, whether or not any member still lacked it. On links of a few Mbit/s, this left no bandwidth
// for requests. The budget for traffic other than requests is 4 KB/s, sent and received, at 2.6 changes a second
// and 100 bytes an entry. Traffic between zones may be at most half of what a uniform choice of peers would send.
const COPIES_PER_CHANGE = 4096 / (2 * 2.6 * 100);

for (const { count, zones } of [
  { count: 40, zones: 4 },
  { count: 240, zones: 6 },
]) {
  test(`${count} sidecars send a change a bounded number of times, mostly within their zones`, async (t) => {
    const fleet = new MemberFleet(count, 1, zones);
    fleet.states.set("s1", "ready");
    await fleet.run(30_000);
    t.deepEqual(fleet.memberCounts(), all(count));
    fleet.updatesSent = 0;
    fleet.updatesSentToOtherZones = 0;
    const changes = 10;
    for (let n = 0; n < changes; n++) {
      const state = n % 2 === 0 ? "draining" : "ready";
      fleet.states.set("s1", state);
      await fleet.run(2000);
      t.deepEqual([...fleet.statesSeen("s1")], [state]);
    }
    const copies = fleet.updatesSent / count / changes;
    const farShare = fleet.updatesSentToOtherZones / fleet.updatesSent;
    t.log(
      `${copies.toFixed(1)} copies per change and sidecar, ${farShare.toFixed(2)} of them to other zones`,
    );
    t.true(copies <= COPIES_PER_CHANGE);
    t.true(farShare <= (0.5 * (zones - 1)) / zones);
  });
}

test("240 sidecars that start together all see each other within 4 s, with few copies of each entry", async (t) => {
  const fleet = new MemberFleet(240, 1, 6);
  await fleet.run(4000);
  t.deepEqual(fleet.memberCounts(), all(240));
  const copies = fleet.updatesSent / 240 / 240;
  t.log(`${copies.toFixed(1)} copies of each entry to each sidecar`);
  t.true(copies <= COPIES_PER_CHANGE);
});

test("sidecar that missed an update is sent the entries that differ rather than whole views", async (t) => {
  // All messages that carry an update to one sidecar are lost, and afterwards no member sends that rumor any more.
  // Guards against exchanging whole views of hundreds of members for a single entry.
  const fleet = new MemberFleet(240, 1, 6);
  fleet.states.set("s1", "ready");
  await fleet.run(10_000);
  fleet.dropUpdates("s200");
  fleet.states.set("s1", "draining");
  await fleet.run(5000);
  fleet.restoreUpdates("s200");
  fleet.updatesSent = 0;
  await fleet.run(3000);
  t.deepEqual([...fleet.statesSeen("s1")], ["draining"]);
  t.true(fleet.updatesSent < 240, `${fleet.updatesSent} entries sent`);
});

test("dead sidecar is dropped with its targets by all members within 3 s", async (t) => {
  const fleet = new MemberFleet(12);
  fleet.states.set("s5", "ready");
  await fleet.run(4000);
  fleet.up.delete("s5");
  await fleet.run(3000);
  t.deepEqual([...new Set(fleet.memberCounts())], [11]);
  t.deepEqual([...fleet.statesSeen("s5")], ["gone"]);
});

const oneWay: readonly [string, string][] = [
  ["s3", "s7"],
  ["s7", "s3"],
];

for (const [from, to] of oneWay) {
  test(`one-way partition from ${from} to ${to} makes no member seem dead`, async (t) => {
    // A switch drops packets from one VM to another, in one direction only. Both VMs still
    // exchange messages with all others, so neither may be declared dead.
    const fleet = new MemberFleet(8);
    await fleet.run(4000);
    fleet.cut(from, to);
    for (let i = 0; i < 50; i++) {
      await fleet.run(ROUND_MS);
      t.deepEqual(fleet.memberCounts(), all(8));
    }
  });
}

test("halves of a partitioned fleet merge again once the partition is healed", async (t) => {
  // Two regions are partitioned for minutes, and each declares the other's members dead. Nothing outside
  // the membership protocol reconnects them afterwards.
  const fleet = new MemberFleet(10);
  await fleet.run(4000);
  const ids = [...fleet.up.keys()];
  fleet.cutBetween(ids.slice(0, 5), ids.slice(5));
  await fleet.run(180_000);
  t.deepEqual([...new Set(fleet.memberCounts())], [5]);
  fleet.heal();
  await fleet.run(15_000);
  t.deepEqual(fleet.memberCounts(), all(10));
});

test("two separate fleets merge once one sidecar has a seed in the other", async (t) => {
  // The halves of a fleet were started with different seeds. Then one sidecar gets a seed in the other half.
  // It learns of the members there, and they must learn of the members in its own half too.
  const fleet = new MemberFleet(12);
  const isLeft = (id: string) => Number(id.slice(1)) < 6;
  fleet.seedsOf = (id) => (isLeft(id) ? ["s0"] : ["s6"]);
  await fleet.run(4000);
  t.deepEqual([...new Set(fleet.memberCounts())], [6]);
  fleet.seedsOf = (id) => (id === "s3" ? ["s6"] : isLeft(id) ? ["s0"] : ["s6"]);
  await fleet.run(15_000);
  t.deepEqual(fleet.memberCounts(), all(12));
});

test("restarted sidecar replaces its previous incarnation, also if that was not found dead yet", async (t) => {
  const fleet = new MemberFleet(8);
  fleet.states.set("s4", "ready");
  await fleet.run(4000);
  fleet.up.delete("s4");
  fleet.states.delete("s4");
  fleet.start("s4");
  await fleet.run(3000);
  t.deepEqual(fleet.memberCounts(), all(8));
  t.deepEqual([...fleet.statesSeen("s4")], ["gone"]);
});

test("a restarted sidecar whose seeds are all down joins through a member that probes it", async (t) => {
  // Guards against sidecars that know nobody, and refuse their callers, for as long as the control replicas are away.
  const fleet = new MemberFleet(8);
  await fleet.run(4000);
  fleet.up.delete("s0");
  fleet.up.delete("s1");
  await fleet.run(4000);
  fleet.up.delete("s4");
  fleet.start("s4");
  await fleet.run(3000);
  t.deepEqual(fleet.memberCounts(), all(6));
});

test("newer document reaches all sidecars through their peers", async (t) => {
  const fleet = new MemberFleet(8);
  await fleet.run(2000);
  const node = fleet.up.get("s6");
  if (node) {
    node.config.version = 7;
  }
  await fleet.run(3000);
  t.deepEqual([...new Set([...fleet.up.values()].map((n) => n.config.version))], [7]);
});

test("newer document is fetched from another member if the first that reports it does not respond", async (t) => {
  // Half of the control replicas are cut off, and the sidecars that follow only these learn of a change from other
  // members. The links of some of those are so congested that they never respond to a fetch.
  const fleet = new MemberFleet(24, 1, 3);
  await fleet.run(4000);
  const ids = [...fleet.up.keys()];
  ids.slice(0, 16).forEach((id) => {
    const node = fleet.up.get(id);
    if (node) {
      node.config.version = 7;
    }
  });
  ids.slice(0, 10).forEach((id) => fleet.failingConfigFetches.add(id));
  await fleet.run(1600);
  t.deepEqual([...new Set([...fleet.up.values()].map((n) => n.config.version))], [7]);
});

test("document that control is about to deliver is not fetched from other members", async (t) => {
  // Operators change the document repeatedly, and control delivers each change to all sidecars within 200 ms.
  // Guards against sidecars that learn of the change by gossip before that, and open a connection to fetch it.
  const fleet = new MemberFleet(40, 1, 4);
  await fleet.run(4000);
  for (let version = 1; version <= 5; version++) {
    const [early, late] = [[...fleet.up.values()].slice(0, 20), [...fleet.up.values()].slice(20)];
    early.forEach((n) => (n.config.version = version));
    await fleet.run(ROUND_MS);
    late.forEach((n) => (n.config.version = version));
    await fleet.run(1000);
  }
  t.is(fleet.configsFetched, 0);
});

test("failed probes do not multiply when many members do not reply in time", async (t) => {
  // 40 sidecars start together on a busy machine, and at first hardly any reply in time.
  // Guards against unbounded probes: each failed probe made others probe too, and all suspects were
  // probed every round, which kept all 40 sidecars too busy to reply.
  const fleet = new MemberFleet(40);
  await fleet.run(6000);
  const ids = [...fleet.up.keys()];
  fleet.cutBetween(ids.slice(0, 5), ids.slice(5));
  fleet.cutBetween(ids.slice(5, 10), ids.slice(10));
  await fleet.run(ROUND_MS);
  let most = 0;
  for (let i = 0; i < 20; i++) {
    fleet.messages = 0;
    await fleet.run(ROUND_MS);
    most = Math.max(most, fleet.messages / 40);
  }
  t.log(`at most ${most} calls per sidecar and round`);
  t.true(most <= 24);
});

for (const { count, zones } of [
  { count: 7, zones: 3 },
  { count: 24, zones: 4 },
  { count: 120, zones: 4 },
]) {
  test(`a zone of ${count} members in ${zones} that has missed an update receives it from the others`, async (t) => {
    // Guards against a drain that stays unknown in a whole zone: its members mostly probe each other, and their views match.
    const fleet = new MemberFleet(count, 1, zones);
    fleet.states.set("s1", "ready");
    await fleet.run(10_000);
    const inZone = [...fleet.up.keys()].filter((id) => Number(id.slice(1)) % zones === 0);
    for (const id of inZone) {
      fleet.dropUpdates(id);
    }
    fleet.states.set("s1", "draining");
    await fleet.run(5000);
    t.deepEqual([...fleet.statesSeen("s1")].sort(), ["draining", "ready"]);
    for (const id of inZone) {
      fleet.restoreUpdates(id);
    }
    await fleet.run(3000);
    t.deepEqual([...fleet.statesSeen("s1")], ["draining"]);
  });
}
