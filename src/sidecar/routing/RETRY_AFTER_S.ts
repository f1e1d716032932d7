/** Seconds a caller is told to wait after a failure. */
export const RETRY_AFTER_S = 1;
