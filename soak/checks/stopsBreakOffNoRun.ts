import type { CallRecord, History, StopRecord, TargetRecord } from "../History.ts";
import type { Check, Violation } from "./Check.ts";
import { isDisturbed } from "./isDisturbed.ts";

/** A run that is still at work at this time after the SIGTERM may be broken off, ms: the users' bound. */
const LATE_RUN_MS = 5000;

/** It must have been sent no later than this after the SIGTERM, ms. */
const LATE_RUN_SENT_MS = 3000;

/** Kinds of disturbances of a target's VM that a request which it runs has to survive. */
const SURVIVABLE_KINDS = new Set(["down", "link-reset", "link-delay", "link-lossy"]);

/**
 * Checks that a planned stop of the sidecar that took a request breaks off no run: each request that was passed on to a
 * target gets its whole response, until the routes' timeout.
 */
export const stopsBreakOffNoRun = (timeoutMs: number): Check => ({
  guarantee: "a planned stop breaks off no run",
  isTimed: false,
  run: (history) => {
    const journal = new Map<string, TargetRecord[]>();
    for (const record of history.targets) {
      const records = journal.get(record.tag) ?? [];
      records.push(record);
      journal.set(record.tag, records);
    }
    const around = history.stops.flatMap((stop) =>
      [...history.calls, ...history.unread]
        .filter((c) => c.via === stop.on && c.sentAt < stop.endedAt && c.endedAt > stop.at)
        .map((call) => ({ stop, call, records: journal.get(call.tag) ?? [] }))
        .filter(({ records }) => isPassedOn(records)),
    );
    const violations = around
      .filter(({ call }) => isBrokenOff(call, timeoutMs))
      .filter(({ call, stop, records }) => !isExplained(call, stop, records, history))
      .map(({ call, stop, records }) => describe(call, stop, records));
    return { count: around.length, violations };
  },
});

/** Whether a target got the request and has not refused it. */
function isPassedOn(records: readonly TargetRecord[]): boolean {
  const count = (event: TargetRecord["event"]) => records.filter((r) => r.event === event).length;
  return count("arrived") > count("shed");
}

/** Whether the caller got neither a whole response of a target nor waited until the timeout. */
function isBrokenOff(call: CallRecord, timeoutMs: number): boolean {
  const isOwnResponse = call.status >= 400 && call.verdict !== "done";
  const hasNone = call.status === 0 && call.verdict !== "left";
  return (isOwnResponse || hasNone) && call.endedAt - call.sentAt < timeoutMs;
}

/** Whether a fault other than planned stops accounts for it, or the run was too long for the stop. */
function isExplained(
  { sentAt, endedAt }: CallRecord,
  stop: StopRecord,
  records: readonly TargetRecord[],
  { disturbances }: History,
): boolean {
  const lateAt = stop.at + LATE_RUN_MS;
  const isAtWork = !records.some((r) => r.event === "ran" && r.at < lateAt);
  const isLateRun = sentAt <= stop.at + LATE_RUN_SENT_MS && endedAt >= lateAt && isAtWork;
  const unplanned = disturbances.filter((d) => d.kind !== "down");
  const grave = unplanned.filter((d) => !SURVIVABLE_KINDS.has(d.kind));
  return (
    isLateRun ||
    records.some((r) => r.event === "failed") ||
    isDisturbed(unplanned, stop.on, sentAt, endedAt) ||
    records.some(({ target }) => isDisturbed(grave, target, sentAt, endedAt))
  );
}

function describe(call: CallRecord, stop: StopRecord, records: readonly TargetRecord[]): Violation {
  const afterMs = (at: number) => Math.round(at - stop.at);
  const attempt = records.find((r) => r.attempt !== undefined)?.attempt ?? "";
  const events = records.map((r) => `${r.event} at ${r.target} after ${afterMs(r.at)} ms`);
  const outcome = call.status === 0 ? "no whole response" : `${call.status} ${call.verdict}`;
  return {
    at: call.endedAt,
    what:
      `${call.tag}, sent to ${stop.on} ${afterMs(call.sentAt)} ms after its SIGTERM, got ${outcome} ` +
      `after ${afterMs(call.endedAt)} ms; ${events.join(", ")}; id ${attempt}`,
  };
}
