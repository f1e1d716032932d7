/** When a caller is told to come back where nothing better is known, ms: about one work time. */
export const RETRY_AFTER_MS = 1000;
