/** Purpose of messages between burdockpass processes; the `kind` label of the traffic metric. */
export type TrafficKind = "asks" | "gossip" | "config" | "records" | "work" | "other";
