import { allChecks } from "./checks/allChecks.ts";
import type { Check, CheckResult } from "./checks/Check.ts";
import { createRng } from "./createRng.ts";
import { FaultPlayer } from "./FaultPlayer.ts";
import type { History } from "./History.ts";
import { SoakAccounts } from "./SoakAccounts.ts";
import { SoakCallers } from "./SoakCallers.ts";
import { SOAK_BUDGET, SoakFleet } from "./SoakFleet.ts";
import { SoakOperator } from "./SoakOperator.ts";
import type { SoakPlan } from "./SoakPlan.ts";
import { SoakMonitor } from "./SoakMonitor.ts";
import { DEFAULT_TIMEOUT_MS } from "./soakDocument.ts";

/** Result of a soak run. */
export interface SoakResult {
  readonly plan: SoakPlan;
  readonly history: History;
  readonly results: readonly (Pick<Check, "guarantee" | "isTimed"> & CheckResult)[];
  /** The directory with the processes' logs and the stand-in targets' journals. */
  readonly dir: string;
}

/** Plays a plan with real processes, and checks the recorded history for violations of every guarantee. */
export async function playSoak(plan: SoakPlan): Promise<SoakResult> {
  const fleet = new SoakFleet(plan);
  const stopAll = () => {
    // On an interrupt, stops the fleet's own processes and no others.
    void fleet.stop().finally(() => process.exit(130));
  };
  process.once("SIGINT", stopAll);
  process.once("SIGTERM", stopAll);
  try {
    const history = await recordHistory(fleet, plan);
    const timeoutMs = plan.timeoutMs ?? DEFAULT_TIMEOUT_MS;
    const results = allChecks(SOAK_BUDGET, timeoutMs).map(({ guarantee, isTimed, run }) => ({
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

/** Starts the fleet, plays the load and the faults, and returns the history. */
async function recordHistory(fleet: SoakFleet, plan: SoakPlan): Promise<History> {
  await fleet.start();
  const operator = new SoakOperator(fleet, plan);
  await fleet.startLoad(await operator.applyFirst());
  const monitor = new SoakMonitor(fleet, operator);
  const callers = new SoakCallers(fleet, plan, (vm) => monitor.isReady(vm));
  const accounts = new SoakAccounts(fleet, operator, plan);
  const faultPlayer = new FaultPlayer(fleet, operator, accounts, createRng(plan.seed + 4));
  monitor.start();
  accounts.start();
  let faultsEndAt = 0;
  const played = faultPlayer.play(plan).then(() => {
    faultsEndAt = fleet.now;
  });
  await Promise.all([callers.run(), played]);
  monitor.stop();
  await accounts.stop();
  return {
    calls: callers.records,
    unread: callers.unread,
    targets: await fleet.targetRecords(),
    stops: faultPlayer.stops,
    configs: operator.records,
    configLooks: monitor.configSamples,
    movedLooks: monitor.movedSamples,
    blackouts: faultPlayer.blackouts,
    readyLooks: monitor.readinessSamples,
    disturbances: faultPlayer.disturbances,
    drains: faultPlayer.drains,
    accounts: accounts.records,
    limits: faultPlayer.limits,
    leavings: faultPlayer.leavings,
    slowReads: faultPlayer.slowReads,
    uses: monitor.resourceSamples,
    faultsEndAt,
    endAt: fleet.now,
  };
}
