import { exponential } from "./exponential.ts";
import type { Scenario } from "./Scenario.ts";
import type { SimVm } from "./SimSidecar.ts";
import type { SimTarget } from "./SimTarget.ts";

/** Adds the periods of a scenario in which targets are gray, or name a limit, to its targets. */
export function addTargetFaults(
  scenario: Scenario,
  vms: readonly SimVm[],
  targets: ReadonlyMap<string, SimTarget>,
  random: () => number,
): void {
  const { grayPeriods = [], limits = [] } = scenario;
  const firstOf = (service: string, count: number) =>
    vms.filter((vm) => vm.service === service).slice(0, count);
  for (const { service, count, fromMs, durationMs, ...period } of grayPeriods) {
    const { failureRate, shedRate = 0, slowdown = 1 } = period;
    const until = fromMs + durationMs;
    firstOf(service, count).forEach(({ name }) => {
      targets.get(name)?.addGrayInterval({ from: fromMs, until, failureRate, shedRate, slowdown });
    });
  }
  for (const { service, count, fromMs, durationMs, perS } of limits) {
    firstOf(service, count).forEach(({ name }) => {
      targets.get(name)?.addLimit({ from: fromMs, until: fromMs + durationMs, perS });
    });
  }
  addRandomGray(scenario, targets, random);
}

function addRandomGray(
  { randomGray, lengthMs }: Scenario,
  targets: ReadonlyMap<string, SimTarget>,
  random: () => number,
): void {
  if (!randomGray) {
    return;
  }
  const { share, meanMs: meanGrayMs, failureRate } = randomGray;
  const meanHealthyMs = (meanGrayMs * (1 - share)) / share;
  for (const target of targets.values()) {
    const isGray = random() < share;
    for (let at = isGray ? 0 : exponential(meanHealthyMs, random); at < lengthMs;) {
      const until = at + exponential(meanGrayMs, random);
      target.addGrayInterval({ from: at, until, failureRate, shedRate: 0, slowdown: 1 });
      at = until + exponential(meanHealthyMs, random);
    }
  }
}
