/** Prints how many requests within a quota are refused, with single credits and with leases: `npm run experiment:quota`. */
import { QuotaFaults } from "./QuotaFaults.ts";
import { QuotaLoad } from "./QuotaLoad.ts";
import { QuotaModel } from "./QuotaModel.ts";
import type { ModelSidecar } from "./ModelSidecar.ts";

const SEEDS = 20;

/** Requests as a part of what the quota allows. */
const LOAD = 0.7;

const FAULT_AT_MS = 20_000;
const CONTROL_AWAY_MS = 1600;

/** A power loss after which the replicas take longer to start, ms. */
const LONG_AWAY_MS = 3000;

/** Term of the leases, ms. */
const TERM_MS = Number(process.env.QUOTA_TERM_MS ?? 3000);

const SIDECARS = 12;

const QUOTAS = [
  { ratePerS: 2, burst: 2 },
  { ratePerS: 40, burst: 20 },
];

interface Phase {
  readonly name: string;
  readonly fromMs: number;
  readonly toMs: number;
}

const calm = { name: "calm", fromMs: 10_000, toMs: FAULT_AT_MS };

const scenarios: readonly {
  readonly name: string;
  readonly fault: (faults: QuotaFaults, holder: ModelSidecar | undefined) => void;
  readonly phases: readonly Phase[];
}[] = [
  {
    name: "control away for 1.6 s",
    fault: (faults) => {
      faults.restartControl(CONTROL_AWAY_MS);
    },
    phases: [
      calm,
      { name: "away", fromMs: FAULT_AT_MS, toMs: FAULT_AT_MS + CONTROL_AWAY_MS },
      { name: "5 s after", fromMs: FAULT_AT_MS + CONTROL_AWAY_MS, toMs: FAULT_AT_MS + 6600 },
    ],
  },
  {
    name: "control away for 3 s",
    fault: (faults) => {
      faults.restartControl(LONG_AWAY_MS);
    },
    phases: [
      { name: "away", fromMs: FAULT_AT_MS, toMs: FAULT_AT_MS + LONG_AWAY_MS },
      { name: "5 s after", fromMs: FAULT_AT_MS + LONG_AWAY_MS, toMs: FAULT_AT_MS + 8000 },
    ],
  },
  {
    name: "holder dies",
    fault: (faults, holder) => {
      if (holder) {
        faults.restartSidecar(holder, Infinity);
      }
    },
    phases: [
      { name: "3.5 s after", fromMs: FAULT_AT_MS, toMs: FAULT_AT_MS + 3500 },
      { name: "then 5 s", fromMs: FAULT_AT_MS + 3500, toMs: FAULT_AT_MS + 8500 },
    ],
  },
  {
    name: "holder stops",
    fault: (faults, holder) => {
      if (holder) {
        faults.stopSidecar(holder, Infinity);
      }
    },
    phases: [{ name: "5 s after", fromMs: FAULT_AT_MS, toMs: FAULT_AT_MS + 5000 }],
  },
  {
    name: "all power lost for 1.6 s",
    fault: (faults) => {
      faults.loseAllPower(CONTROL_AWAY_MS);
    },
    phases: [
      { name: "5 s after", fromMs: FAULT_AT_MS + CONTROL_AWAY_MS, toMs: FAULT_AT_MS + 6600 },
      { name: "then 5 s", fromMs: FAULT_AT_MS + 6600, toMs: FAULT_AT_MS + 11_600 },
    ],
  },
];

for (const quota of QUOTAS) {
  for (const { name, fault, phases } of scenarios) {
    for (const singles of [SIDECARS, 0]) {
      const sums = phases.map(() => ({ sent: 0, refused: 0 }));
      for (let seed = 1; seed <= SEEDS; seed++) {
        const model = new QuotaModel({
          seed,
          voters: 5,
          sidecars: SIDECARS,
          singles,
          quota,
          tolerance: { windowMs: 5000, ratio: 0.1, requests: 20 },
          termMs: TERM_MS,
          loss: 0.001,
          lateShare: 0,
          delayMs: 4.4,
          drift: 0.001,
        });
        const faults = new QuotaFaults(model);
        const load = new QuotaLoad(model, LOAD * quota.ratePerS);
        await load.run(FAULT_AT_MS);
        const holder = model.sidecars.find((s) => (s.holder?.leases ?? 0) > 0);
        fault(faults, holder ?? model.sidecars[0]);
        await load.run(FAULT_AT_MS + 12_000);
        phases.forEach(({ fromMs, toMs }, i) => {
          const sent = load.requests.filter((r) => r.sentAt >= fromMs && r.sentAt < toMs);
          const sum = sums[i];
          if (sum) {
            sum.sent += sent.length;
            sum.refused += sent.filter((r) => r.isGranted === false).length;
          }
        });
      }
      const figures = phases.map((p, i) => {
        const { sent = 0, refused = 0 } = sums[i] ?? {};
        return `${p.name}: ${refused} of ${sent} refused`;
      });
      const method = singles > 0 ? "single credits" : "leases";
      process.stdout.write(
        `${quota.ratePerS}/s + ${quota.burst}, ${name}, ${method}: ${figures.join("; ")}\n`,
      );
    }
  }
}
