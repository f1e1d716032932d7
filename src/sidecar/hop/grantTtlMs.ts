/**
 * Time after which an unused grant expires, ms. A round trip takes 3 ms; the rest is margin for a sidecar on a slowed
 * VM. The slot is idle meanwhile.
 */
const GRANT_TTL_MS = 250;

/**
 * Upload rate by which a grant is extended for the body, bytes/ms: a slow upload must not lose its slot and start
 * over.
 */
const MIN_UPLOAD_BYTES_PER_MS = 100;

/** Time for which an unused grant is valid, ms; `bodyBytes` is the size of the request body. */
export function grantTtlMs(bodyBytes: number): number {
  return GRANT_TTL_MS + bodyBytes / MIN_UPLOAD_BYTES_PER_MS;
}
