import type { NestedCallOptions } from "./NestedCallOptions.ts";

/** Timeout of a nested call, ms. */
const CALL_TIMEOUT_MS = 1200;

/** Makes a nested call, tagged `tag`; resolves with whether it succeeded. */
export async function makeNestedCall(
  { port, path }: NestedCallOptions,
  tag: string,
): Promise<boolean> {
  try {
    const res = await fetch(`http://127.0.0.1:${port}${path}`, {
      headers: { "x-caller-tag": tag, "x-burdockpass-remaining-ms": String(CALL_TIMEOUT_MS) },
      signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
    });
    await res.arrayBuffer();
    return res.ok;
  } catch {
    return false; // Refused, reset or timed out: the run that made the call fails, as a real back end's would.
  }
}
