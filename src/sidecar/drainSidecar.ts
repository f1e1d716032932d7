import type bunyan from "bunyan";
import type { Clock } from "../common/lifecycle/Clock.ts";

/**
 * Requests that still stand in line this long before the end of a stop's grace are refused, ms: a
 * slot that came free later would leave them no time to run, and the refusal has to get there.
 */
const LINE_ENDS_MS = 800;

/** The last part of a stop, for telling the other members, ms: they look for other targets then, as this one is silent. */
const LEAVE_MS = 200;

/** How often a stop looks whether the last run has ended, ms. */
const IDLE_CHECK_MS = 50;

/** The parts of a sidecar that its stop goes through. */
export interface DrainedParts {
  /** From here on, answers to callers end their connections, and other members know of the stop. */
  readonly beginStop: () => void;
  /** Takes no new connections from callers; resolves once the requests of all have been answered. */
  readonly closeCallers: () => Promise<void>;
  /** Refuses the callers' requests that have no slot yet. */
  readonly refuseWaiting: () => void;
  /** The gates to the targets beside this sidecar. */
  readonly gates: { closeBy(endAt: number): void; close(): void; readonly isBusy: boolean };
  /** Tells the other members that this one is gone. */
  readonly leave: () => Promise<void>;
}

/** How long a stop may take. */
interface StopTimes {
  /** Callers are served on for this long, ms: whoever sends them here has to notice first. */
  readonly callersMs: number;
  /** All is to be over by then, ms from now. */
  readonly endsInMs: number;
}

/**
 * A planned stop of a sidecar, up to the point at which nothing is left that anyone waits for. What is needed
 * longest is closed last: the process lives on for its callers, and so long its target works on too.
 */
export async function drainSidecar(
  parts: DrainedParts,
  { callersMs, endsInMs }: StopTimes,
  clock: Clock,
  log: bunyan,
): Promise<void> {
  const sleep = (ms: number) =>
    new Promise<void>((resolve) => clock.after(Math.max(0, ms), resolve));
  const endAt = clock.now() + endsInMs - LEAVE_MS;
  parts.beginStop();
  parts.gates.closeBy(endAt);
  await sleep(callersMs);
  log.info({ busy: parts.gates.isBusy, leftMs: endAt - clock.now() }, "drain: no new callers");
  const lineEnds = clock.after(endAt - LINE_ENDS_MS - clock.now(), parts.refuseWaiting);
  await Promise.race([parts.closeCallers(), sleep(endAt - clock.now())]);
  lineEnds.cancel();
  parts.gates.close();
  while (parts.gates.isBusy && clock.now() < endAt) {
    await sleep(IDLE_CHECK_MS);
  }
  await Promise.race([parts.leave(), sleep(LEAVE_MS)]);
  log.info({ busy: parts.gates.isBusy, leftMs: endAt - clock.now() }, "drained");
}
