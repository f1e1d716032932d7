import type { TargetInfo } from "../../membership/TargetInfo.ts";

/** Identifies one incarnation of a target: a target may start again under its id. */
export function incarnationOf({ id, born }: TargetInfo): string {
  return born === 0 ? id : `${id}@${born}`;
}
