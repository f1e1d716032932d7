import {
  CallKind,
  FaultKind,
  type PlannedFault,
  type SoakPlan,
  type SoakService,
} from "./SoakPlan.ts";
import { seeded, type Draws } from "./seeded.ts";

/** The load runs quietly before the first fault and after the last for so long, s. */
const QUIET_BEFORE_S = 4;
const QUIET_AFTER_S = 16;

/** Slots in use on average, of all: room for a third of the targets to be out at once, just. */
const USED_SLOTS = 0.6;

/** A new fault, or series, comes after so long, s. */
const GAP_S: readonly [number, number] = [0.8, 3];

/** How long a fault lasts, s: around the time that the product takes to notice one, and far beyond. */
const LASTS_S: readonly [number, number] = [0.3, 5];

/** Faults that come to one VM after the other, a gap between them, s. */
const SERIES_GAP_S: readonly [number, number] = [0.15, 0.8];

/** Kinds that come to VMs, with what makes some come more often than others. */
const WEIGHTED: readonly (readonly [kind: FaultKind, weight: number])[] = [
  [FaultKind.PlannedStop, 4],
  [FaultKind.StopTwice, 1],
  [FaultKind.Kill, 2],
  [FaultKind.Freeze, 2],
  [FaultKind.Reload, 1],
  [FaultKind.LinkDelay, 1],
  [FaultKind.LinkReset, 2],
  [FaultKind.LinkCut, 1],
  [FaultKind.LinkOneWay, 2],
  [FaultKind.LinkLossy, 1],
  [FaultKind.TargetGray, 4],
  [FaultKind.TargetSheds, 3],
  [FaultKind.TargetSlow, 1],
  [FaultKind.TargetAnswerLost, 1],
  [FaultKind.TargetTruncates, 1],
  [FaultKind.TargetSilent, 1],
  [FaultKind.TargetDrains, 1],
  [FaultKind.Config, 5],
];

const CONTROL_KINDS = [FaultKind.Kill, FaultKind.Wipe, FaultKind.Freeze, FaultKind.PlannedStop];

const KINDS = WEIGHTED.flatMap(([kind, weight]) => Array.from({ length: weight }, () => kind));

/** One fault in so many comes to a control replica. */
const CONTROL_EVERY = 8;

/** Draws the run of `seed`, with about so many processes. */
export function planSoak(seed: number, seconds: number, processes: number): SoakPlan {
  const draws = seeded(seed);
  const controls = draws.pick([3, 3, 5]);
  const services = planServices(draws, Math.max(6, Math.floor((processes - controls) / 2)));
  const zones = draws.int(2, 4);
  const vms = services.flatMap((s) => vmNames(s));
  const controlIds = Array.from({ length: controls }, (_, n) => `control-${n + 1}`);
  return {
    seed,
    seconds,
    zones,
    controls,
    services,
    rates: planRates(draws, services),
    faults: planFaults(draws, seconds, vms, controlIds),
  };
}

/** Names of a service's VMs. */
export function vmNames({ name, targets }: SoakService): string[] {
  return Array.from({ length: targets }, (_, n) => `${name}-${n}`);
}

function planServices(draws: Draws, vms: number): SoakService[] {
  const perService = Math.floor(vms / 3);
  const names = ["desk", "bookings", "ledger"];
  return names.map((name) => ({
    name,
    targets: perService,
    slots: draws.int(3, 5),
    workMs: draws.int(30, 90),
  }));
}

function planRates(draws: Draws, services: readonly SoakService[]): Record<CallKind, number> {
  const capacity = (name: string) => {
    const s = services.find((service) => service.name === name);
    return s ? (USED_SLOTS * s.targets * s.slots * 1000) / s.workMs : 0;
  };
  const most = draws.between(0.5, 1);
  const bookings = capacity("bookings") * most;
  return {
    // Each check makes a call, and takes its time besides.
    [CallKind.Check]: 0.5 * capacity("desk") * most,
    [CallKind.Lookup]: 0.4 * capacity("ledger") * most,
    [CallKind.Booking]: 0.75 * bookings,
    [CallKind.KeyedBooking]: 0.15 * bookings,
    [CallKind.Upload]: 0.05 * bookings,
  };
}

function planFaults(
  draws: Draws,
  seconds: number,
  vms: readonly string[],
  controls: readonly string[],
): PlannedFault[] {
  const faults: PlannedFault[] = [];
  const end = seconds - QUIET_AFTER_S;
  for (let atS = QUIET_BEFORE_S; atS < end; atS += draws.between(...GAP_S)) {
    faults.push(...planOne(draws, atS, vms, controls));
  }
  return withFewDrains(faults)
    .map((f) => ({ ...f, forS: Math.min(f.forS, Math.max(0, end - f.atS)) }))
    .filter((f) => f.atS < end)
    .sort((a, b) => a.atS - b.atS);
}

/** A target that leaves stays away: one of each service, so that none is left without. */
function withFewDrains(faults: readonly PlannedFault[]): PlannedFault[] {
  const drained = new Set<string>();
  return faults.filter(({ kind, on }) => {
    const service = on.split("-")[0] ?? "";
    const isMore = kind === FaultKind.TargetDrains && drained.has(service);
    if (kind === FaultKind.TargetDrains) {
      drained.add(service);
    }
    return !isMore;
  });
}

/** One fault, or a series of one kind that overlaps with itself: a third of the fleet, one VM after the other. */
function planOne(
  draws: Draws,
  atS: number,
  vms: readonly string[],
  controls: readonly string[],
): PlannedFault[] {
  const forS = draws.between(...LASTS_S);
  if (draws.int(1, CONTROL_EVERY) === 1) {
    return [{ kind: draws.pick(CONTROL_KINDS), atS, forS, on: draws.pick(controls) }];
  }
  const kind = draws.pick(KINDS);
  if (kind === FaultKind.Config) {
    const count = draws.int(1, 4);
    return Array.from({ length: count }, () => ({ kind, atS, forS: 0, on: "" }));
  }
  const inSeries = draws.int(1, 3) === 1;
  const count = inSeries ? Math.ceil(vms.length / draws.int(3, 5)) : 1;
  const first = draws.int(0, vms.length - 1);
  const gapS = draws.between(...SERIES_GAP_S);
  return Array.from({ length: count }, (_, n) => ({
    kind,
    atS: atS + n * gapS,
    forS,
    on: vms[(first + n * 2) % vms.length] ?? "",
  }));
}
