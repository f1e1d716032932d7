/**
 * Longest delay of an announcement on its way that is guarded against, ms. What arrives later than this after the start of a
 * sidecar's process was sent after the start, so its target has not left before.
 */
export const MAX_ANNOUNCEMENT_DELAY_MS = 10_000;
