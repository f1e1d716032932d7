import {
  CallKind,
  FaultKind,
  type PlannedFault,
  type SoakPlan,
  type SoakService,
} from "./SoakPlan.ts";
import { createRng, type Rng } from "./createRng.ts";
import { vmNames } from "./planSoak.ts";

/** Durations of load without faults before the first fault and after the last stop, s. */
const QUIET_BEFORE_S = 3;
const QUIET_AFTER_S = 10;

/** Times of a planned stop as on the users' platform, ms. */
const STOP = { callersMs: 2700, graceMs: 5600 };
const KILL_MS = 6000;

/** The routes' timeout, ms: the longest run fits in, and waits a while for a slot. */
const TIMEOUT_MS = 6000;

/** Largest work time of a run, as a multiple of the mean. */
const WORK_TAIL = 6;

/** Ranges of a series' intervals between SIGTERMs, s; one that is drawn covers the whole series. */
const STOP_GAPS_S: readonly (readonly [number, number])[] = [
  [0, 0.2],
  [0.2, 1],
  [1.5, 1.6],
  [0, 2],
];

/** Range of the interval between the end of a series and the start of the next, s. */
const SERIES_GAP_S: readonly [number, number] = [1, 6];

/** Range of the interval between link faults, and of their duration, s. */
const LINK_GAP_S: readonly [number, number] = [1, 4];
const LINK_DURATION_S: readonly [number, number] = [0.3, 3];

/** Mean share of all slots in use: low, since targets whose sidecars restart take no work. */
const MEAN_UTILIZATION = 0.25;

/** Downloads per second. */
const DOWNLOADS_PER_S = 12;

/**
 * Plans a run whose only faults are rolling stops of sidecars and, for every other seed, link faults between them. The
 * stops of a caller's sidecar and of a target's sidecar overlap; bookings take 0.46 s on average and up to 2.8 s.
 *
 * @param seconds duration of the load, s
 * @param processes approximate number of processes in the fleet
 */
export function planStops(seed: number, seconds: number, processes: number): SoakPlan {
  const rng = createRng(seed + 7);
  const controls = 3;
  const targets = Math.max(2, Math.floor((processes - controls) / 6));
  const services = [
    { name: "desk", targets, slots: 16, workMs: rng.int(60, 120) },
    { name: "bookings", targets, slots: 8, workMs: 460 },
    { name: "ledger", targets, slots: 16, workMs: rng.int(60, 150) },
  ];
  const vms = services.flatMap((s) => vmNames(s));
  const linkFaults = seed % 2 === 0 ? planLinkFaults(rng, seconds, vms) : [];
  return {
    seed,
    seconds,
    zones: 2,
    controls,
    services,
    rates: planRates(services),
    faults: [...planSeries(rng, seconds, vms), ...linkFaults].sort((a, b) => a.atS - b.atS),
    sidecarDisks: rng.int(1, 2) === 1,
    workTail: WORK_TAIL,
    timeoutMs: TIMEOUT_MS,
    stop: STOP,
    killMs: KILL_MS,
  };
}

function planRates(services: readonly SoakService[]): SoakPlan["rates"] {
  const [desk = 0, bookings = 0, ledger = 0] = services.map(
    (s) => (MEAN_UTILIZATION * s.targets * s.slots * 1000) / s.workMs,
  );
  return {
    [CallKind.Check]: Math.min(10, 0.5 * desk),
    [CallKind.Lookup]: 5,
    [CallKind.Booking]: 0.8 * bookings,
    [CallKind.KeyedBooking]: 0.1 * bookings,
    [CallKind.Upload]: 0.1 * bookings,
    [CallKind.Download]: Math.min(DOWNLOADS_PER_S, ledger),
  };
}

/** Plans series that stop all sidecars, or a third of them, one after the other in a drawn order. */
function planSeries(rng: Rng, seconds: number, vms: readonly string[]): PlannedFault[] {
  const faults: PlannedFault[] = [];
  const end = seconds - QUIET_AFTER_S;
  let atS = QUIET_BEFORE_S;
  while (atS < end) {
    const order = shuffle(rng, vms);
    const gapS = rng.pick(STOP_GAPS_S);
    const count = rng.pick([vms.length, Math.ceil(vms.length / 3)]);
    for (const on of order.slice(0, count)) {
      faults.push({ kind: FaultKind.PlannedStop, atS, forS: 0, on });
      atS += rng.between(...gapS);
    }
    atS += rng.between(...SERIES_GAP_S);
  }
  return faults.filter((f) => f.atS < end);
}

function planLinkFaults(rng: Rng, seconds: number, vms: readonly string[]): PlannedFault[] {
  const faults: PlannedFault[] = [];
  const end = seconds - QUIET_AFTER_S;
  for (let atS = QUIET_BEFORE_S; atS < end; atS += rng.between(...LINK_GAP_S)) {
    const kind = rng.pick([FaultKind.LinkReset, FaultKind.LinkDelay]);
    const forS = Math.min(rng.between(...LINK_DURATION_S), end - atS);
    faults.push({ kind, atS, forS: kind === FaultKind.LinkReset ? 0 : forS, on: rng.pick(vms) });
  }
  return faults;
}

function shuffle<T>(rng: Rng, items: readonly T[]): T[] {
  const rest = [...items];
  return items.flatMap(() => rest.splice(rng.int(0, rest.length - 1), 1));
}
