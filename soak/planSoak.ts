import {
  CallKind,
  FaultKind,
  type PlannedFault,
  type SoakPlan,
  type SoakService,
} from "./SoakPlan.ts";
import { createRng, type Rng } from "./createRng.ts";

/** Durations of load without faults before the first fault and after the last, s. */
const QUIET_BEFORE_S = 4;
const QUIET_AFTER_S = 16;

/** Mean share of all slots in use: just low enough for a third of the targets to be out at once. */
const MEAN_UTILIZATION = 0.6;

/** Range of the interval between the starts of successive faults or series, s. */
const FAULT_GAP_S: readonly [number, number] = [0.8, 3];

/** Range of a fault's duration, s: from about the time that the product takes to detect one to far beyond it. */
const FAULT_DURATION_S: readonly [number, number] = [0.3, 5];

/** Range of the time for which a target names a limit, s: it binds in windows of 4 s from 3 s on. */
const LIMIT_DURATION_S: readonly [number, number] = [8, 16];

/** Range of the interval between the faults of a series, which hits one VM after the other, s. */
const SERIES_GAP_S: readonly [number, number] = [0.15, 0.8];

/** Range of the time within which all processes start again after a blackout, s. */
const BLACKOUT_DURATION_S: readonly [number, number] = [0, 3];

/** Kinds of faults that are not injected into control replicas, with their relative frequencies. */
const KIND_WEIGHTS: readonly (readonly [kind: FaultKind, weight: number])[] = [
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
  [FaultKind.TargetResponseLost, 1],
  [FaultKind.TargetTruncates, 1],
  [FaultKind.TargetSilent, 1],
  [FaultKind.TargetDrains, 1],
  [FaultKind.TargetLimit, 3],
  [FaultKind.TargetLeaving, 1],
  [FaultKind.TargetKill, 2],
  [FaultKind.FatalRequest, 2],
  [FaultKind.HotWorkspace, 2],
  [FaultKind.Config, 5],
];

const CONTROL_KINDS = [FaultKind.Kill, FaultKind.Wipe, FaultKind.Freeze, FaultKind.PlannedStop];

const VM_FAULT_KINDS = KIND_WEIGHTS.flatMap(([kind, weight]) =>
  Array.from({ length: weight }, () => kind),
);

/** On average, one fault in this many is injected into a control replica. */
const CONTROL_FAULT_EVERY = 8;

/**
 * Plans the soak run of `seed`.
 *
 * @param seconds duration of the load, s
 * @param processes approximate number of processes in the fleet
 */
export function planSoak(seed: number, seconds: number, processes: number): SoakPlan {
  const rng = createRng(seed);
  const controls = rng.pick([3, 3, 5]);
  const services = planServices(rng, Math.max(6, Math.floor((processes - controls) / 2)));
  const zones = rng.int(2, 4);
  const vms = services.flatMap((s) => vmNames(s));
  const controlIds = Array.from({ length: controls }, (_, n) => `control-${n + 1}`);
  // Drawn separately, so that the rest of a seed's plan does not depend on it.
  const blackoutRng = createRng(seed + 3);
  return {
    seed,
    seconds,
    zones,
    controls,
    services,
    rates: planRates(rng, services),
    faults: [
      ...planFaults(rng, seconds, vms, controlIds),
      ...planBlackouts(blackoutRng, seconds, controlIds),
      ...planByteFaults(createRng(seed + 5), seconds, vms),
    ].sort((a, b) => a.atS - b.atS),
    sidecarDisks: blackoutRng.int(1, 2) === 1,
  };
}

/** Returns the names of a service's VMs. */
export function vmNames({ name, targets }: SoakService): string[] {
  return Array.from({ length: targets }, (_, n) => `${name}-${n}`);
}

function planServices(rng: Rng, vms: number): SoakService[] {
  const perService = Math.floor(vms / 3);
  const names = ["desk", "bookings", "ledger"];
  return names.map((name) => ({
    name,
    targets: perService,
    slots: rng.int(3, 5),
    workMs: rng.int(30, 90),
  }));
}

function planRates(rng: Rng, services: readonly SoakService[]): SoakPlan["rates"] {
  const capacity = (name: string) => {
    const s = services.find((service) => service.name === name);
    return s ? (MEAN_UTILIZATION * s.targets * s.slots * 1000) / s.workMs : 0;
  };
  const loadFactor = rng.between(0.5, 1);
  const bookings = capacity("bookings") * loadFactor;
  return {
    // A check holds its slot during its nested call as well as during its own work.
    [CallKind.Check]: 0.5 * capacity("desk") * loadFactor,
    [CallKind.Lookup]: 0.4 * capacity("ledger") * loadFactor,
    [CallKind.Booking]: 0.75 * bookings,
    [CallKind.KeyedBooking]: 0.15 * bookings,
    [CallKind.Upload]: 0.05 * bookings,
  };
}

function planFaults(
  rng: Rng,
  seconds: number,
  vms: readonly string[],
  controls: readonly string[],
): PlannedFault[] {
  const faults: PlannedFault[] = [];
  const end = seconds - QUIET_AFTER_S;
  for (let atS = QUIET_BEFORE_S; atS < end; atS += rng.between(...FAULT_GAP_S)) {
    faults.push(...planFaultOrSeries(rng, atS, vms, controls));
  }
  return limitDrains(faults)
    .map((f) => ({ ...f, forS: Math.min(f.forS, Math.max(0, end - f.atS)) }))
    .filter((f) => f.atS < end)
    .sort((a, b) => a.atS - b.atS);
}

/** Plans up to two blackouts. */
function planBlackouts(rng: Rng, seconds: number, controls: readonly string[]): PlannedFault[] {
  const end = seconds - QUIET_AFTER_S;
  return Array.from({ length: rng.int(0, 2) }, () => {
    const atS = rng.between(QUIET_BEFORE_S, end);
    const forS = Math.min(rng.between(...BLACKOUT_DURATION_S), end - atS);
    return { kind: FaultKind.Blackout, atS, forS, on: rng.pick(["", ...controls]) };
  });
}

/** Plans slow readers and targets that send bytes without end; drawn separately, as the blackouts are. */
function planByteFaults(rng: Rng, seconds: number, vms: readonly string[]): PlannedFault[] {
  const end = seconds - QUIET_AFTER_S;
  return [FaultKind.TargetEndless, FaultKind.TargetEndless, FaultKind.SlowReaders].map((kind) => {
    const atS = rng.between(QUIET_BEFORE_S, end);
    const forS = Math.min(rng.between(...FAULT_DURATION_S), end - atS);
    return { kind, atS, forS, on: rng.pick(vms) };
  });
}

/** Kinds of faults after which a target does not return. */
const LEAVING_KINDS = new Set([FaultKind.TargetDrains, FaultKind.TargetLeaving]);

/** Keeps one target that leaves for each service: none may run out of targets. */
function limitDrains(faults: readonly PlannedFault[]): PlannedFault[] {
  const left = new Set<string>();
  return faults.filter(({ kind, on }) => {
    const service = on.split("-")[0] ?? "";
    const isFurther = LEAVING_KINDS.has(kind) && left.has(service);
    if (LEAVING_KINDS.has(kind)) {
      left.add(service);
    }
    return !isFurther;
  });
}

/**
 * Draws one fault, a group of document changes, or a series of overlapping faults of one kind that hit a fifth to a
 * third of the VMs, one after the other.
 */
function planFaultOrSeries(
  rng: Rng,
  atS: number,
  vms: readonly string[],
  controls: readonly string[],
): PlannedFault[] {
  const forS = rng.between(...FAULT_DURATION_S);
  if (rng.int(1, CONTROL_FAULT_EVERY) === 1) {
    return [{ kind: rng.pick(CONTROL_KINDS), atS, forS, on: rng.pick(controls) }];
  }
  const kind = rng.pick(VM_FAULT_KINDS);
  if (kind === FaultKind.Config) {
    const count = rng.int(1, 4);
    return Array.from({ length: count }, () => ({ kind, atS, forS: 0, on: "" }));
  }
  const inSeries = rng.int(1, 3) === 1;
  const count = inSeries ? Math.ceil(vms.length / rng.int(3, 5)) : 1;
  const first = rng.int(0, vms.length - 1);
  const gapS = rng.between(...SERIES_GAP_S);
  return Array.from({ length: count }, (_, n) => ({
    kind,
    atS: atS + n * gapS,
    forS: kind === FaultKind.TargetLimit ? rng.between(...LIMIT_DURATION_S) : forS,
    on: vms[(first + n * 2) % vms.length] ?? "",
  }));
}
