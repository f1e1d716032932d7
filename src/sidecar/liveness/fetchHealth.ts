import type { ResponseHeaders } from "../dialect/Dialect.ts";

/** Timeout of a health check, ms; one usually takes about 25 ms. */
const TIMEOUT_MS = 500;

/** Largest body of a health check's response, bytes. Nothing in it is used. */
const MAX_BODY_BYTES = 64 * 1024;

/** The response to a health check. */
export interface HealthResponse {
  readonly status: number;
  readonly headers: ResponseHeaders;
}

/** Calls a target's health endpoint; resolves with undefined if it does not respond in time, or without end. */
export async function fetchHealth(url: string): Promise<HealthResponse | undefined> {
  try {
    const res = await fetch(url, { signal: AbortSignal.timeout(TIMEOUT_MS) });
    let bytes = 0;
    for await (const chunk of (res.body ?? []) as AsyncIterable<Uint8Array>) {
      bytes += chunk.length;
      if (bytes > MAX_BODY_BYTES) {
        return undefined; // Leaving the loop closes the connection.
      }
    }
    return { status: res.status, headers: Object.fromEntries(res.headers) };
  } catch {
    return undefined;
  }
}
