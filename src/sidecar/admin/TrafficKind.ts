/**
 * Purpose of messages between burdockpass processes; the `kind` label of the traffic metric. "asks" are the messages
 * between gates and the sidecars that request slots from them.
 */
export type TrafficKind = "asks" | "gossip" | "config" | "records" | "work" | "other";
