import test from "ava";
import { ControlChaos } from "../../../test/fixtures/ControlChaos.ts";

/** Seeds played in CI; `MODEL_SEEDS=5000 MODEL_FROM=1` plays more by hand. */
const SEEDS = Number(process.env.MODEL_SEEDS ?? 60);
const FROM = Number(process.env.MODEL_FROM ?? 1);
const STEPS = 40;

/** Seeds that failed once, each with its cause. */
const REGRESSIONS: readonly { seed: number; cause: string }[] = [
  {
    seed: 3235,
    cause: "a leader that the change of the group left out went on leading, and never joined again",
  },
];

let acknowledged = 0;

const play = async (seed: number): Promise<string[]> => {
  const chaos = new ControlChaos(seed);
  await chaos.play(STEPS);
  acknowledged += chaos.acknowledged;
  return chaos.problems;
};

test("whatever is killed, wiped, cut, frozen or replaced, no accepted version is lost or goes back", async (t) => {
  // Story: control machines fail, lose their disks, are replaced and return in any
  // order while operators go on changing the document, race and send again what got
  // no answer. What was acknowledged stands, and nothing older is ever read.
  t.timeout(600_000);
  for (let seed = FROM; seed < FROM + SEEDS; seed++) {
    t.deepEqual(await play(seed), [], `seed ${seed}`);
  }
  t.log(`${SEEDS} seeds, ${acknowledged} changes acknowledged`);
  t.true(acknowledged > 3 * SEEDS, "the model lets too little through to show anything");
});

for (const { seed, cause } of REGRESSIONS) {
  test(`seed ${seed}: ${cause}`, async (t) => {
    t.deepEqual(await play(seed), []);
  });
}
