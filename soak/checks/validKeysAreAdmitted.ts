import type { AccountRecord, ConfigRecord } from "../History.ts";
import type { Check } from "./Check.ts";

/** Time within which an accepted document must be in force, ms: the users' bound. */
const APPLY_MS = 2000;

const UNAUTHORIZED = 401;

/** Checks that no sidecar, in contact or not, denies a key that every document which may be in force has. */
export const validKeysAreAdmitted: Check = {
  guarantee: "a key of the document in force is not denied 2 s after its acceptance",
  isTimed: true,
  run: ({ accounts, configs }) => {
    const due = accounts.filter((a) => a.change > 0 && isInForce(a, configs));
    const violations = due
      .filter((a) => a.status === UNAUTHORIZED)
      .map(({ tag, via, sentAt }) => ({ at: sentAt, what: `${tag} was denied by ${via}` }));
    return { count: due.length, violations };
  },
};

/** Whether only the document of the request's key may be in force while it is answered. */
function isInForce(
  { change, sentAt, endedAt }: AccountRecord,
  configs: readonly ConfigRecord[],
): boolean {
  const own = configs.find((c) => c.change === change);
  const isReplaced = configs.some(
    (c) => c.sentAt <= endedAt && (c.outcome === "unknown" || c.version > (own?.version ?? 0)),
  );
  return own !== undefined && own.acceptedAt + APPLY_MS < sentAt && !isReplaced;
}
