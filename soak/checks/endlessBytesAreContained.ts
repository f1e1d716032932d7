import { FaultKind } from "../SoakPlan.ts";
import type { CallRecord } from "../History.ts";
import type { Check } from "./Check.ts";
import { isDisturbed } from "./isDisturbed.ts";

/** Checks that no caller is left without an outcome while a target sends bytes without end. */
export const endlessBytesAreContained: Check = {
  guarantee: "every caller has an outcome in time while a target sends bytes without end",
  isTimed: true,
  run: ({ calls, disturbances }) => {
    const endless = disturbances.filter((d) => d.kind === (FaultKind.TargetEndless as string));
    const others = disturbances.filter((d) => d.kind !== (FaultKind.TargetEndless as string));
    const concerned = calls.filter((c) =>
      endless.some(
        (d) =>
          d.on.split("-")[0] === c.service &&
          isDisturbed([d], d.on, c.sentAt, c.endedAt) &&
          !isDisturbed(others, c.via, c.sentAt, c.endedAt),
      ),
    );
    const isLeft = (c: CallRecord) => c.status === 0 && c.verdict === "left";
    return {
      count: concerned.length,
      violations: concerned.filter(isLeft).map((c) => ({
        at: c.endedAt,
        what: `${c.tag} via ${c.via} had no outcome after ${Math.round(c.endedAt - c.sentAt)} ms`,
      })),
    };
  },
};
