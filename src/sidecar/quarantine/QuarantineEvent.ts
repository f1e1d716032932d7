/** What happened to the suspicion that a request crashes its targets, as counted in the metrics. */
export type QuarantineEvent = "suspected" | "blocked" | "refused" | "lifted";
