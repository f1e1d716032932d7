import type { ConfigRecord } from "../History.ts";
import type { Check } from "./Check.ts";

/** Time after the acceptance of a document within which keys that it lacks are admitted, ms: the sidecars' setting. */
const ADMIT_MS = 5000;

/** Checks that keys that were taken away are admitted nowhere once the bound has passed, in contact or not. */
export const keysAreRevoked: Check = {
  guarantee: "a key that was taken away is not admitted later than 5 s after that",
  isTimed: false,
  run: ({ accounts, configs, targets }) => {
    const ran = new Set(targets.filter((t) => t.event === "ran").map((t) => t.tag));
    const keyed = accounts.filter((a) => a.change > 0);
    const violations = keyed
      .filter((a) => ran.has(a.tag) && a.sentAt > revokedAt(configs, a.change) + ADMIT_MS)
      .map(({ tag, via, sentAt }) => ({
        at: sentAt,
        what: `${tag} was admitted by ${via} with a key that had been taken away`,
      }));
    return { count: keyed.length, violations };
  },
};

/** When the first document without the key of change number `change` was known to be accepted, ms. */
function revokedAt(configs: readonly ConfigRecord[], change: number): number {
  const version = configs.find((c) => c.change === change)?.version ?? Infinity;
  return Math.min(...configs.filter((c) => c.version > version).map((c) => c.acceptedAt));
}
