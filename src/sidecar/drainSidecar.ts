import type bunyan from "bunyan";
import type { OpenRequests } from "../common/http/OpenRequests.ts";
import type { Clock } from "../common/lifecycle/Clock.ts";
import type { StopSchedule } from "./routing/StopSchedule.ts";

/**
 * Time at the end of a stop for notifying the other members, ms. They choose other targets once they know that
 * this sidecar no longer replies.
 */
const LEAVE_TIMEOUT_MS = 200;

/** Interval at which a stop checks whether the last run has ended, ms. */
const IDLE_CHECK_INTERVAL_MS = 50;

/**
 * Time before the end of a stop at which callers' connections are closed at the latest, ms. Their requests would only be
 * refused by then, and a connection that is accepted at the end would be reset.
 */
const CLOSE_CALLERS_MS = 500;

/** Open requests, for a log line. */
type OpenSummary = ReturnType<OpenRequests["describe"]>;

/** The parts of a sidecar that are stopped one after another. */
export interface DrainedParts {
  /** Makes responses close callers' connections from now on, and notifies the other members of the stop. */
  readonly beginStop: () => void;
  /** Stops accepting callers' connections; resolves once all pending requests have a response. */
  readonly closeCallers: () => Promise<void>;
  /** Announces the end of the stop to the part that sends callers' requests to targets. */
  readonly callers: { closeBy(stop: StopSchedule): void };
  /** The gates of the local targets. */
  readonly gates: { closeBy(endAt: number): void; close(): void; readonly isBusy: boolean };
  /** Notifies the other members that this one has left. */
  readonly leave: () => Promise<void>;
  /** The requests of callers, and those of other sidecars at the local targets, that have no whole response yet. */
  readonly openRequests: () => { readonly callers: OpenSummary; readonly runs: OpenSummary };
}

/** Durations of a stop. */
interface StopTimes {
  /** Time for which callers' new connections are still accepted, ms: load balancers need it to notice the stop. */
  readonly callersMs: number;
  /** Time until the whole stop has to be over, ms from now. */
  readonly endsInMs: number;
}

/**
 * Stops a sidecar in an orderly way, until no caller and no other sidecar waits for it any more. The gates are
 * closed only when no caller waits: while the process still serves its callers, its target can continue to run
 * requests.
 */
export async function drainSidecar(
  parts: DrainedParts,
  { callersMs, endsInMs }: StopTimes,
  clock: Clock,
  log: bunyan,
): Promise<void> {
  const sleep = (ms: number) =>
    new Promise<void>((resolve) => clock.after(Math.max(0, ms), resolve));
  const beganAt = clock.now();
  const endAt = beganAt + endsInMs - LEAVE_TIMEOUT_MS;
  parts.beginStop();
  parts.gates.closeBy(endAt);
  parts.callers.closeBy({ callersUntil: beganAt + callersMs, endAt });
  await sleep(callersMs);
  // A run at the local target may open connections for nested calls, so they are accepted while any run can begin.
  while (isNeeded(parts) && clock.now() < endAt - CLOSE_CALLERS_MS) {
    if (!hasCallers(parts)) {
      parts.gates.close();
    }
    await sleep(IDLE_CHECK_INTERVAL_MS);
  }
  parts.gates.close();
  log.info(
    { busy: parts.gates.isBusy, leftMs: endAt - clock.now() },
    "drain: no longer accepting callers",
  );
  await Promise.race([parts.closeCallers(), sleep(endAt - clock.now())]);
  while (parts.gates.isBusy && clock.now() < endAt) {
    await sleep(IDLE_CHECK_INTERVAL_MS);
  }
  await Promise.race([parts.leave(), sleep(LEAVE_TIMEOUT_MS)]);
  log.info({ busy: parts.gates.isBusy, leftMs: endAt - clock.now() }, "drain finished");
  const open = parts.openRequests();
  if (open.callers.count + open.runs.count > 0) {
    log.warn({ ...open }, "drain: open requests are cut off");
  }
}

/** Whether a caller waits for a response. */
function hasCallers({ openRequests }: DrainedParts): boolean {
  return openRequests().callers.count > 0;
}

/** Whether a caller waits, or a run is in progress at a local target. */
function isNeeded(parts: DrainedParts): boolean {
  return parts.gates.isBusy || hasCallers(parts);
}
