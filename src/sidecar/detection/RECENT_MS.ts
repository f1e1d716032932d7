/** How far back good answers count as recent in evidence, ms. */
export const RECENT_MS = 2000;
