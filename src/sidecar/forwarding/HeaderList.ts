/** Alternating header names and values as received, with repeated headers and their order preserved. */
export type HeaderList = readonly string[];
