/** Share of the queued requests that will be served here; the others will use a grant of another gate. */
export const SERVED_HERE_SHARE = 0.5;
