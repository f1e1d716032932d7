import type { Check } from "./Check.ts";

/** Time after which a draining target must get no new requests, ms; the product's guarantee is "within seconds". */
const WITHIN_MS = 2000;

/** Checks that a target gets no new requests from 2 s after it has reported that it drains. */
export const drainingGetsNoWork: Check = {
  guarantee: "a draining target gets no new requests after 2 s",
  isTimed: true,
  run: ({ drains, targets }) => ({
    count: drains.length,
    violations: drains.flatMap(({ target, at }) =>
      targets
        .filter((t) => t.target === target && t.event === "arrived" && t.at > at + WITHIN_MS)
        .slice(0, 1)
        .map((t) => ({
          at: t.at,
          what: `${t.tag} reached ${target} ${Math.round(t.at - at)} ms after it had started to drain`,
        })),
    ),
  }),
};
