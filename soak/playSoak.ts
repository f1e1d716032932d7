import { allChecks } from "./checks/allChecks.ts";
import type { Check, CheckResult } from "./checks/Check.ts";
import { FaultPlayer } from "./FaultPlayer.ts";
import type { History } from "./History.ts";
import { SoakCallers } from "./SoakCallers.ts";
import { SOAK_BUDGET, SoakFleet } from "./SoakFleet.ts";
import { SoakOperator } from "./SoakOperator.ts";
import type { SoakPlan } from "./SoakPlan.ts";
import { SoakMonitor } from "./SoakMonitor.ts";

/** What a run came to. */
export interface SoakResult {
  readonly plan: SoakPlan;
  readonly history: History;
  readonly results: readonly (Pick<Check, "guarantee" | "isTimed"> & CheckResult)[];
  /** The folder with the processes' logs and what the stand-ins wrote down. */
  readonly dir: string;
}

/** Plays a plan with real processes, and holds what was seen against every guarantee. */
export async function playSoak(plan: SoakPlan): Promise<SoakResult> {
  const fleet = new SoakFleet(plan);
  const stopAll = () => {
    // Interrupted: the processes end with this one, and no others.
    void fleet.stop().finally(() => process.exit(130));
  };
  process.once("SIGINT", stopAll);
  process.once("SIGTERM", stopAll);
  try {
    const history = await recordHistory(fleet, plan);
    const results = allChecks(SOAK_BUDGET).map(({ guarantee, isTimed, run }) => ({
      guarantee,
      isTimed,
      ...run(history),
    }));
    return { plan, history, results, dir: fleet.dir };
  } finally {
    process.off("SIGINT", stopAll);
    process.off("SIGTERM", stopAll);
    await fleet.stop();
  }
}

async function recordHistory(fleet: SoakFleet, plan: SoakPlan): Promise<History> {
  await fleet.start();
  const operator = new SoakOperator(fleet, plan);
  await fleet.startLoad(await operator.applyFirst());
  const watch = new SoakMonitor(fleet, operator);
  const callers = new SoakCallers(fleet, plan, (vm) => watch.isReady(vm));
  const faults = new FaultPlayer(fleet, operator);
  watch.start();
  let faultsEndAt = 0;
  const played = faults.play(plan).then(() => {
    faultsEndAt = fleet.now;
  });
  await Promise.all([callers.run(), played]);
  watch.stop();
  return {
    calls: callers.records,
    targets: await fleet.targetRecords(),
    stops: faults.stops,
    configs: operator.records,
    configLooks: watch.configSamples,
    readyLooks: watch.readinessSamples,
    disturbances: faults.disturbances,
    drains: faults.drains,
    uses: watch.resourceSamples,
    faultsEndAt,
    endAt: fleet.now,
  };
}
