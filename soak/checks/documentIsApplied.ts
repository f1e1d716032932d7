import type { ConfigSample, ConfigRecord, Disturbance, History } from "../History.ts";
import type { Check, Violation } from "./Check.ts";

/** An accepted document is in force everywhere by then, ms: the users' bound. */
const APPLY_MS = 2000;

/** Looks that begin so soon after one may have crossed it, ms. */
const RACE_MS = 250;

/** A process is in touch with the others once nothing has held it for so long, ms: the users' contact window. */
const IN_TOUCH_MS = 3000;

/** An accepted document is in force in time at every process in touch, and none goes back to an older one. */
export const documentIsApplied: Check = {
  guarantee: "an accepted document is in force within 2 s, and never reverts",
  isTimed: true,
  run: (history) => {
    const { configLooks } = history;
    const late = configLooks.filter((look) => isLate(look, history)).map(lateViolation);
    const byLife = new Map<string, ConfigSample[]>();
    for (const look of configLooks) {
      const key = `${look.via}/${look.life}`;
      byLife.set(key, [...(byLife.get(key) ?? []), look]);
    }
    const reverted = [...byLife.values()].flatMap((looks) => findReverts(looks));
    return { count: configLooks.length, violations: [...late, ...reverted] };
  },
};

/** The newest version that was accepted long enough before is not there, and no newer one has been sent. */
function isLate({ at, via, version, isThere }: ConfigSample, history: History): boolean {
  const { configs, disturbances } = history;
  const config = configs.find((c) => c.version === version);
  // One that got no clear answer may be in force instead.
  const mayReplace = (c: ConfigRecord) => c.version > version || c.outcome === "unknown";
  const isReplaced = configs.some((c) => mayReplace(c) && c.sentAt <= at + RACE_MS);
  const isDue = config !== undefined && config.acceptedAt + APPLY_MS < at;
  return isDue && !isReplaced && !isThere && isInTouch(disturbances, via, at);
}

function isInTouch(disturbances: readonly Disturbance[], via: string, at: number): boolean {
  const from = at - IN_TOUCH_MS;
  return !disturbances.some(
    (d) => (d.on === via || d.on.startsWith("control")) && d.from < at && d.until > from,
  );
}

/** A version is seen at a process after a newer one was. */
function findReverts(looks: readonly ConfigSample[]): Violation[] {
  const seen = looks.filter((l) => l.isThere).sort((a, b) => a.at - b.at);
  const violations: Violation[] = [];
  let newest: ConfigSample | undefined;
  for (const look of seen) {
    if (newest && look.version < newest.version && look.at > newest.at + RACE_MS) {
      const what = `${look.via} went back from version ${newest.version} to ${look.version}`;
      violations.push({ at: look.at, what });
    }
    newest = !newest || look.version > newest.version ? look : newest;
  }
  return violations;
}

function lateViolation({ at, via, version }: ConfigSample): Violation {
  return { at, what: `version ${version} is not in force at ${via}` };
}
