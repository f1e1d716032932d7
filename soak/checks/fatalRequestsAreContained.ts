import type { Check } from "./Check.ts";

/** Number of targets that a request may end before it counts as known, and afterwards: the users' bound. */
const CRASHES_TO_KNOW = 3;
const MAX_LATE_CRASHES = 3;

/** Time until all sidecars know of the last of the first ones, ms: the users' contact window. */
const KNOWN_AFTER_MS = 3000;

/** Checks that a request which ends every target that runs it is soon kept away from the targets. */
export const fatalRequestsAreContained: Check = {
  guarantee: "a request that ends its targets ends at most three more than 3 s after the third",
  isTimed: true,
  run: ({ targets }) => {
    const crashes = new Map<string, number[]>();
    for (const { tag, at, event } of targets) {
      const [request = ""] = tag.split(".");
      if (event === "crashed") {
        crashes.set(
          request,
          [...(crashes.get(request) ?? []), at].sort((a, b) => a - b),
        );
      }
    }
    const violations = [...crashes].flatMap(([request, times]) => {
      const knownAt = (times[CRASHES_TO_KNOW - 1] ?? Infinity) + KNOWN_AFTER_MS;
      const late = times.filter((at) => at > knownAt);
      const what = `${request} ended ${times.length} targets, ${late.length} of them late`;
      return late.length > MAX_LATE_CRASHES ? [{ at: late[0] ?? 0, what }] : [];
    });
    return { count: crashes.size, violations };
  },
};
