import type { TargetInfo } from "../../membership/TargetInfo.ts";
import { fetchHealth } from "../liveness/fetchHealth.ts";

/** Calls a target's health endpoint; resolves to true if it responds with a status below 400 in time. */
export async function probeHealth(target: TargetInfo): Promise<boolean> {
  const res = await fetchHealth(target.url + target.healthPath);
  return res !== undefined && res.status < 400;
}
