import type { TargetInfo } from "../../membership/TargetInfo.ts";

/** A probe slower than this has failed, ms; one takes about 25 ms. */
const PROBE_TIMEOUT_MS = 500;

/** Asks a target's health endpoint; true when it answers below 400 in time. */
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
