/** Why a request is sent again: as a retry after a failure, or as a hedge in parallel to a stuck run. */
export type ExtraRunCause = "retry" | "hedge";
