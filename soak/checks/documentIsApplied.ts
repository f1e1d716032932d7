import type { ConfigSample, ConfigRecord, Disturbance, History } from "../History.ts";
import type { Check, Violation } from "./Check.ts";

/** Time within which an accepted document must be in force everywhere, ms: the users' bound. */
const APPLY_MS = 2000;

/** Events less than this far apart may have been observed in either order, ms. */
const RACE_MS = 250;

/** A process counts as in contact with the others once it has been undisturbed for this long, ms: the users' contact window. */
const IN_CONTACT_MS = 3000;

/** Checks that an accepted document is in force in time at every process in contact, and that none reverts to an older one. */
export const documentIsApplied: Check = {
  guarantee: "an accepted document is in force within 2 s, and never reverts",
  isTimed: true,
  run: (history) => {
    const { configLooks } = history;
    const late = configLooks.filter((sample) => isLate(sample, history)).map(lateViolation);
    const byIncarnation = new Map<string, ConfigSample[]>();
    for (const sample of configLooks) {
      const key = `${sample.via}/${sample.life}`;
      byIncarnation.set(key, [...(byIncarnation.get(key) ?? []), sample]);
    }
    const reverted = [...byIncarnation.values()].flatMap((samples) => findReverts(samples));
    return { count: configLooks.length, violations: [...late, ...reverted] };
  },
};

/** Whether the newest version that was accepted long enough before is missing, although no newer one has been sent. */
function isLate({ at, via, version, isThere }: ConfigSample, history: History): boolean {
  const { configs, disturbances } = history;
  const config = configs.find((c) => c.version === version);
  // A change without a known outcome may be in force instead.
  const mayReplace = (c: ConfigRecord) => c.version > version || c.outcome === "unknown";
  const isReplaced = configs.some((c) => mayReplace(c) && c.sentAt <= at + RACE_MS);
  const isDue = config !== undefined && config.acceptedAt + APPLY_MS < at;
  return isDue && !isReplaced && !isThere && isInContact(disturbances, via, at);
}

/** Whether neither the process nor any control replica was disturbed during the contact window before `at`. */
function isInContact(disturbances: readonly Disturbance[], via: string, at: number): boolean {
  const from = at - IN_CONTACT_MS;
  return !disturbances.some(
    (d) => (d.on === via || d.on.startsWith("control")) && d.from < at && d.until > from,
  );
}

/** Finds the times at which an incarnation of a process had an older version after a newer one. */
function findReverts(samples: readonly ConfigSample[]): Violation[] {
  const present = samples.filter((s) => s.isThere).sort((a, b) => a.at - b.at);
  const violations: Violation[] = [];
  let newest: ConfigSample | undefined;
  for (const sample of present) {
    if (newest && sample.version < newest.version && sample.at > newest.at + RACE_MS) {
      const what = `${sample.via} reverted from version ${newest.version} to ${sample.version}`;
      violations.push({ at: sample.at, what });
    }
    newest = !newest || sample.version > newest.version ? sample : newest;
  }
  return violations;
}

function lateViolation({ at, via, version }: ConfigSample): Violation {
  return { at, what: `version ${version} is not in force at ${via}` };
}
