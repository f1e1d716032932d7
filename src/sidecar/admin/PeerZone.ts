/** Whether another process is in this sidecar's availability zone; "other" also if its zone is unknown. */
export type PeerZone = "same" | "other";
