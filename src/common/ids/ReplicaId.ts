import type { Brand } from "./Brand.ts";

/**
 * One control replica's disk. A replica that comes back at its old address with
 * an empty disk has a new id: it knows nothing of the votes and entries that the
 * old one promised to keep, so it must not be taken for it.
 */
export type ReplicaId = Brand<string, "ReplicaId">;

/** Brands a string as a {@link ReplicaId}; the caller vouches for its form. */
export const ReplicaId = (raw: string): ReplicaId => raw as ReplicaId;
