import type { CallOptions } from "./CallOptions.ts";

/** Longest wait for a call's answer, ms. */
const CALL_TIMEOUT_MS = 1200;

/** Makes a call, named after the request whose run makes it; tells whether it was answered well. */
export async function makeCall({ port, path }: CallOptions, tag: string): Promise<boolean> {
  try {
    const res = await fetch(`http://127.0.0.1:${port}${path}`, {
      headers: { "x-caller-tag": tag, "x-burdockpass-remaining-ms": String(CALL_TIMEOUT_MS) },
      signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
    });
    await res.arrayBuffer();
    return res.ok;
  } catch {
    return false; // Refused, reset or late: the run that needs it fails, as a back end's would.
  }
}
