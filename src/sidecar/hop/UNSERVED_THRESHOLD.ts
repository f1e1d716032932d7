/** Unserved share of a service's requests from which idle targets are given work: a little below one in ten. */
export const UNSERVED_THRESHOLD = 0.09;
