import test from "ava";
import { QuotaFaults } from "./QuotaFaults.ts";
import { QuotaLoad } from "./QuotaLoad.ts";
import { QuotaModel } from "./QuotaModel.ts";
import type { QuotaModelOptions } from "./QuotaModelOptions.ts";

const WINDOW_MS = 5000;
const TOLERANT = { windowMs: WINDOW_MS, ratio: 0.1, requests: 20 };
const STRICT = { windowMs: WINDOW_MS, ratio: 0, requests: 0 };

/** How much faster or slower than the time clocks run, as a fraction. */
const DRIFT = 0.01;

const RUN_MS = 60_000;
/** When a holder is isolated, for how long it is frozen first, and the load meanwhile, in multiples of the quota. */
const ISOLATED_AT_MS = 10_000;
const ISOLATED_MS = 1500;
const LOAD_OF_ISOLATION = 20;

/** When the quota is lowered, ms. */
const LOWERED_AT_MS = 20_000;

/** From when on a lowered quota binds, ms: all have it after 2 s, for 2 s more, and for one window. */
const BOUND_FROM_MS = LOWERED_AT_MS + 4000 + WINDOW_MS;

const FAULT_SHARE_PER_STEP = 0.006;
const ISOLATED_ASKS = 0.01;
/** Seeds tried with a fault put in, until one shows it, for each seed without; a single one shows it in 4 of 10 cases. */
const FAULT_SEEDS_PER_SEED = 4;

/** Seeds of each case; more are run by hand. */
const SEEDS = Number(process.env.QUOTA_SEEDS ?? 4);

const options = (seed: number): QuotaModelOptions => ({
  seed,
  voters: 5,
  sidecars: 6,
  singles: 0,
  quota: { ratePerS: 40, burst: 30 },
  tolerance: STRICT,
  termMs: 3000,
  loss: 0.03,
  lateShare: 0.02,
  delayMs: 5,
  drift: DRIFT,
});

/** The most credits that any window may have. */
const boundOf = ({ quota, tolerance }: QuotaModelOptions) =>
  ((quota.ratePerS * WINDOW_MS) / 1000 + quota.burst) * (1 + tolerance.ratio) + tolerance.requests;

/** Lets random faults happen under three times the load that the quota allows; returns the most credits in a window. */
async function play(opts: QuotaModelOptions) {
  const model = new QuotaModel(opts);
  const faults = new QuotaFaults(model);
  faults.isolateDuringAsks(ISOLATED_ASKS);
  const load = new QuotaLoad(model, 3 * opts.quota.ratePerS, 0.05);
  await load.run(RUN_MS, () => {
    if (model.random() < FAULT_SHARE_PER_STEP) {
      faults.random();
    }
  });
  return { ...model.mostInWindow(WINDOW_MS), total: model.grantedAt.length };
}

/** Isolates the holder while the replies to its renewals are on their way; returns the most credits in a window. */
async function playIsolation(opts: QuotaModelOptions) {
  const model = new QuotaModel({ ...opts, loss: 0, lateShare: 0, drift: 0 });
  const faults = new QuotaFaults(model);
  const load = new QuotaLoad(model, LOAD_OF_ISOLATION * opts.quota.ratePerS);
  await load.run(ISOLATED_AT_MS);
  let isIsolated = false;
  model.onLeaseAsk = (sidecar) => {
    if (!isIsolated && sidecar.holder?.leases === opts.voters) {
      isIsolated = true;
      faults.isolate(sidecar, ISOLATED_MS);
    }
  };
  await load.run(ISOLATED_AT_MS + 3 * WINDOW_MS);
  return model.mostInWindow(WINDOW_MS);
}

const cases: readonly { name: string; change: Partial<QuotaModelOptions> }[] = [
  { name: "no tolerance", change: {} },
  { name: "no tolerance, some sidecars without leases", change: { singles: 2 } },
  { name: "a large burst", change: { quota: { ratePerS: 40, burst: 50 } } },
  { name: "a long term", change: { termMs: 6000 } },
  { name: "a small quota", change: { quota: { ratePerS: 0.4, burst: 5 }, tolerance: TOLERANT } },
  { name: "a quota that one voter grants", change: { quota: { ratePerS: 2, burst: 1 } } },
  {
    name: "the tolerance of the deployments",
    change: { quota: { ratePerS: 100, burst: 20 }, tolerance: TOLERANT, singles: 1 },
  },
];

for (const { name, change } of cases) {
  test.serial(
    `quota leases, ${name}: no window exceeds the bound under random faults`,
    async (t) => {
      let granted = 0;
      for (let seed = 1; seed <= SEEDS; seed++) {
        const opts = { ...options(seed), ...change };
        const { count, from, total } = await play(opts);
        const bound = boundOf(opts) * (1 + DRIFT);
        t.true(count <= bound, `seed ${seed}: ${count} of ${bound} from ${from} ms`);
        granted += total;
      }
      const { quota } = { ...options(0), ...change };
      const allowed = SEEDS * quota.ratePerS * (RUN_MS / 1000);
      t.true(granted > 0.1 * allowed, `${granted} granted in all`);
    },
  );
}

test.serial(
  "quota leases: a lowered quota binds one window after all have had it for 2 s",
  async (t) => {
    for (let seed = 1; seed <= SEEDS; seed++) {
      const opts = { ...options(seed), quota: { ratePerS: 80, burst: 60 } };
      const model = new QuotaModel(opts);
      const faults = new QuotaFaults(model);
      const load = new QuotaLoad(model, 200, 0.05);
      const each = () => {
        if (model.random() < FAULT_SHARE_PER_STEP) {
          faults.random();
        }
      };
      await load.run(LOWERED_AT_MS, each);
      const lowered = { ratePerS: 20, burst: 10 };
      model.changeQuota(lowered);
      await load.run(BOUND_FROM_MS + 4 * WINDOW_MS, each);
      const { count, from } = model.mostInWindow(WINDOW_MS, BOUND_FROM_MS);
      const bound = boundOf({ ...opts, quota: lowered }) * (1 + DRIFT);
      t.true(count <= bound, `seed ${seed}: ${count} of ${bound} from ${from} ms`);
    }
  },
);

test.serial(
  "quota leases: a holder that is frozen during its renewals and then cut off exceeds no bound",
  async (t) => {
    for (let seed = 1; seed <= SEEDS; seed++) {
      const opts = options(seed);
      const { count } = await playIsolation(opts);
      t.true(count <= boundOf(opts), `seed ${seed}: ${count}`);
    }
  },
);

const faults = [
  { fault: "forgetful", singles: 0, run: play },
  { fault: "both-methods", singles: 2, run: play },
  { fault: "from-reply", singles: 0, run: playIsolation },
] as const;

for (const { fault, singles, run } of faults) {
  test.serial(
    `quota leases: the bound of the test is exceeded by a product with the fault "${fault}"`,
    async (t) => {
      const last = FAULT_SEEDS_PER_SEED * SEEDS;
      let isExceeded = false;
      for (let seed = 1; seed <= last && !isExceeded; seed++) {
        const opts = { ...options(seed), singles, fault };
        const { count } = await run(opts);
        isExceeded = count > boundOf(opts) * (1 + DRIFT);
        t.log(`seed ${seed}: ${count}`);
      }
      t.true(isExceeded, `not in ${last} seeds`);
    },
  );
}
