import test from "ava";
import { FakeClock } from "../../../test/fixtures/FakeClock.ts";
import { ReplicaChoice } from "./ReplicaChoice.ts";
import type { WatchContent } from "./WatchContent.ts";

/** Two replicas in the own zone, two in others, and one known from the settings only. */
const REPLICAS = [
  { address: "a1", zone: "a" },
  { address: "a2", zone: "a" },
  { address: "b1", zone: "b" },
  { address: "c1", zone: "c" },
  { address: "x1", zone: undefined },
];

/** A choice of a sidecar in zone a, past the wait of its start. */
async function setUp(
  replicas: readonly { address: string; zone: string | undefined }[] = REPLICAS,
) {
  const clock = new FakeClock();
  const choice = new ReplicaChoice({
    replicas: () => replicas,
    zone: "a",
    clock,
    random: () => random,
  });
  let random = 0;
  await clock.advance(1000);
  /** All replicas that may be chosen. */
  const choices = (content: WatchContent, followed: string[] = [], avoid: string[] = []) => {
    const context = { content, followed: new Set(followed) };
    const chosen = Array.from({ length: 10 }, (_, n) => {
      random = n / 10;
      return choice.choose(context, new Set(avoid));
    });
    return [...new Set(chosen)];
  };
  return { clock, choice, choices };
}

const cases: readonly {
  name: string;
  content: WatchContent;
  followed?: string[];
  avoid?: string[];
  /** Replicas whose watches have failed for 3 s, and those that have failed once. */
  failing?: string[];
  failed?: string[];
  expected: (string | undefined)[];
}[] = [
  { name: "updates come from the own zone", content: "updates", expected: ["a1", "a2"] },
  {
    name: "updates come from the replica not followed",
    content: "updates",
    followed: ["a1"],
    expected: ["a2"],
  },
  {
    name: "a race goes to another replica",
    content: "updates",
    avoid: ["a1", "a2"],
    expected: ["b1", "c1", "x1"],
  },
  {
    name: "a failure moves updates within the zone",
    content: "updates",
    failed: ["a1"],
    expected: ["a2"],
  },
  // All replicas refuse watches for a second after a loss of power.
  {
    name: "single failures do not move updates to another zone",
    content: "updates",
    failed: ["a1", "a2"],
    expected: ["a1", "a2"],
  },
  {
    name: "lasting failures move updates to another zone",
    content: "updates",
    failing: ["a1", "a2"],
    expected: ["b1", "c1", "x1"],
  },
  {
    name: "a reachable replica is shared rather than none",
    content: "updates",
    followed: ["b1"],
    failing: ["a1", "a2", "c1", "x1"],
    expected: ["b1"],
  },
  {
    name: "versions come from another zone",
    content: "versions",
    followed: ["a1"],
    expected: ["b1", "c1"],
  },
  {
    name: "versions come from another zone than updates",
    content: "versions",
    followed: ["b1"],
    expected: ["c1"],
  },
];

for (const { name, content, followed, avoid, failing = [], failed = [], expected } of cases) {
  test(`replica choice: ${name}`, async (t) => {
    const { clock, choice, choices } = await setUp();
    for (let ms = 0; ms <= 3000; ms += 1000) {
      failing.forEach((address) => {
        choice.noteFailure(address);
      });
      await clock.advance(1000);
    }
    failed.forEach((address) => {
      choice.noteFailure(address);
    });
    t.deepEqual(choices(content, followed, avoid), expected);
  });
}

test("replica choice: updates wait at the start for a replica of the own zone, versions do not", async (t) => {
  const clock = new FakeClock();
  let replicas = [{ address: "b1", zone: "b" }];
  const choice = new ReplicaChoice({ replicas: () => replicas, zone: "a", clock, random: () => 0 });
  const choose = (content: WatchContent) =>
    choice.choose({ content, followed: new Set() }, new Set());
  t.deepEqual([choose("updates"), choose("versions")], [undefined, "b1"]);
  await clock.advance(250);
  t.is(choose("updates"), "b1", "there may be none");
  replicas = [...replicas, { address: "a1", zone: "a" }];
  t.is(choose("updates"), "a1");
});

test("replica choice: a replica of the own zone is better once its failures are over", async (t) => {
  const { clock, choice } = await setUp();
  const isBetter = () => choice.hasBetter({ content: "updates", followed: new Set() }, "b1");
  for (const address of ["a1", "a2", "a1", "a2"]) {
    choice.noteFailure(address);
    await clock.advance(1000);
  }
  t.false(isBetter());
  await clock.advance(30_000);
  t.true(isBetter());
  t.false(choice.hasBetter({ content: "updates", followed: new Set() }, "a1"));
});
