import type { Brand } from "./Brand.ts";

/**
 * Identifies the disk of one control replica. A replica that restarts at its old
 * address with an empty disk gets a new id: it has lost the votes and log entries
 * that the old replica had acknowledged, so it must not be mistaken for it.
 */
export type ReplicaId = Brand<string, "ReplicaId">;

/** Brands a string as a {@link ReplicaId}; the format is not checked. */
export const ReplicaId = (raw: string): ReplicaId => raw as ReplicaId;
