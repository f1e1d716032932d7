import test from "ava";
import { ControlChaos } from "../../../test/fixtures/ControlChaos.ts";

/** Number of seeds that CI runs; for longer runs, set `MODEL_SEEDS=5000 MODEL_FROM=1`. */
const SEEDS = Number(process.env.MODEL_SEEDS ?? 60);
const FROM = Number(process.env.MODEL_FROM ?? 1);
const STEPS = 40;

/** Seeds that have failed before, each with the fault that it showed. */
const REGRESSIONS: readonly { seed: number; cause: string }[] = [
  {
    seed: 3235,
    cause: "a leader that a group change had removed kept leading and never rejoined",
  },
];

let acknowledged = 0;
let confirmations = 0;

const play = async (seed: number, blackouts = false): Promise<string[]> => {
  const chaos = new ControlChaos(seed, { blackouts });
  await chaos.play(STEPS);
  acknowledged += chaos.acknowledged;
  confirmations += chaos.confirmations;
  return chaos.problems;
};

test("no accepted version is lost or rolled back when machines are killed, wiped, cut off, frozen or replaced", async (t) => {
  // Control machines fail, lose their disks, are replaced and return in any order, while
  // operators submit racing changes and resend those without a reply. Every acknowledged
  // change must survive, and no read may return an older version.
  t.timeout(600_000);
  for (let seed = FROM; seed < FROM + SEEDS; seed++) {
    t.deepEqual(await play(seed), [], `seed ${seed}`);
  }
  t.log(`${SEEDS} seeds, ${acknowledged} changes acknowledged, ${confirmations} states confirmed`);
  t.true(
    acknowledged > 3 * SEEDS,
    "too few changes were acknowledged for the run to be meaningful",
  );
  t.true(confirmations > 10 * SEEDS, "too few states were confirmed for the run to be meaningful");
});

test("no replica loses an accepted version, or hands out an older one, when all lose power after an acknowledgement", async (t) => {
  t.timeout(600_000);
  for (let seed = FROM; seed < FROM + SEEDS; seed++) {
    t.deepEqual(await play(seed, true), [], `seed ${seed}`);
  }
});

const deliberateFaults = [
  { fault: "handsOutUnconfirmed", problem: /hands out version/ },
  { fault: "skipsSync", problem: /is lost|was acknowledged/ },
  { fault: "emptyDiskVotes", problem: /is lost|was acknowledged/ },
] as const;

for (const { fault, problem } of deliberateFaults) {
  test(`the checks of losses of power find a deliberate fault: ${fault}`, async (t) => {
    t.timeout(600_000);
    const problems: string[] = [];
    for (let seed = FROM; seed < FROM + SEEDS && problems.length === 0; seed++) {
      const chaos = new ControlChaos(seed, { blackouts: true, faults: { [fault]: true } });
      await chaos.play(STEPS);
      problems.push(...chaos.problems.filter((p) => problem.test(p)));
    }
    t.not(problems.length, 0);
  });
}

for (const { seed, cause } of REGRESSIONS) {
  test(`seed ${seed}: ${cause}`, async (t) => {
    t.deepEqual(await play(seed), []);
  });
}
