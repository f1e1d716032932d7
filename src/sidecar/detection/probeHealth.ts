import type { TargetInfo } from "../../membership/TargetInfo.ts";

/** Timeout of a health check, ms; one usually takes about 25 ms. */
const PROBE_TIMEOUT_MS = 500;

/** Calls a target's health endpoint; resolves to true if it responds with a status below 400 in time. */
export async function probeHealth(target: TargetInfo): Promise<boolean> {
  try {
    const res = await fetch(target.url + target.healthPath, {
      signal: AbortSignal.timeout(PROBE_TIMEOUT_MS),
    });
    await res.arrayBuffer();
    return res.status < 400;
  } catch {
    return false;
  }
}
