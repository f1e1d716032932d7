import type { ResponseHeaders } from "../dialect/Dialect.ts";

/** Timeout of a health check, ms; one usually takes about 25 ms. */
const TIMEOUT_MS = 500;

/** The response to a health check. */
export interface HealthResponse {
  readonly status: number;
  readonly headers: ResponseHeaders;
}

/** Calls a target's health endpoint; resolves with undefined if it does not respond in time. */
export async function fetchHealth(url: string): Promise<HealthResponse | undefined> {
  try {
    const res = await fetch(url, { signal: AbortSignal.timeout(TIMEOUT_MS) });
    await res.arrayBuffer();
    return { status: res.status, headers: Object.fromEntries(res.headers) };
  } catch {
    return undefined;
  }
}
