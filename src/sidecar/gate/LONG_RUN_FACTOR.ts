/** Multiple of the time allowed for a run that a run hardly ever exceeds, at a slow target either. */
export const LONG_RUN_FACTOR = 2;
