/** What bytes between our own processes are for. */
export type TrafficKind = "asks" | "gossip" | "config" | "records" | "work" | "other";
