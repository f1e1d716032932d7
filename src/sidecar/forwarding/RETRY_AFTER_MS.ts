/** Default time after which callers are told to retry, ms: about the duration of one run. */
export const RETRY_AFTER_MS = 1000;
