/** What bytes between our own processes are for. */
export type TrafficKind = "gossip" | "config" | "records" | "work" | "other";
