import type bunyan from "bunyan";
import type { Clock } from "../common/lifecycle/Clock.ts";

/**
 * Requests that still stand in line this long before the end of a stop's grace are refused, ms: a
 * slot that came free later would leave them no time to run, and the refusal has to get there.
 */
const LINE_ENDS_MS = 800;

/** How often a stop looks whether the last run has ended, ms. */
const IDLE_CHECK_MS = 50;

/** The parts of a sidecar that its stop goes through. */
export interface DrainedParts {
  /** From here on, answers to callers end their connections. */
  readonly beginStop: () => void;
  /** Takes no new connections from callers; resolves once the requests of all have been answered. */
  readonly closeCallers: () => Promise<void>;
  /** Refuses the callers' requests that have no slot yet. */
  readonly refuseWaiting: () => void;
  /** The gates to the targets beside this sidecar. */
  readonly gates: { close(): void; readonly isBusy: boolean };
  /** Tells the other members that this one is going. */
  readonly leave: () => Promise<void>;
}

/** How long a stop may take. */
interface StopTimes {
  /** Callers are served on for this long, ms: whoever sends them here has to notice first. */
  readonly callersMs: number;
  /** All is to be over by then, ms from now. */
  readonly endsInMs: number;
}

/** A planned stop of a sidecar, up to the point at which nothing is left that anyone waits for. */
export async function drainSidecar(
  parts: DrainedParts,
  { callersMs, endsInMs }: StopTimes,
  clock: Clock,
  log: bunyan,
): Promise<void> {
  const sleep = (ms: number) =>
    new Promise<void>((resolve) => clock.after(Math.max(0, ms), resolve));
  const endAt = clock.now() + endsInMs;
  parts.gates.close();
  parts.beginStop();
  await parts.leave();
  await sleep(callersMs);
  log.info({ busy: parts.gates.isBusy, leftMs: endAt - clock.now() }, "callers have moved on");
  const lineEnds = clock.after(endAt - LINE_ENDS_MS - clock.now(), parts.refuseWaiting);
  await Promise.race([parts.closeCallers(), sleep(endAt - clock.now())]);
  while (parts.gates.isBusy && clock.now() < endAt) {
    await sleep(IDLE_CHECK_MS);
  }
  lineEnds.cancel();
  log.info({ busy: parts.gates.isBusy }, "drained");
}
