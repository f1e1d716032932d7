import type { Brand } from "./Brand.ts";

/** Identifies a sidecar, unique in the fleet; also the key of its member entry in gossip. */
export type SidecarId = Brand<string, "SidecarId">;

/** Brands a string as a {@link SidecarId}; the format is not checked. */
export const SidecarId = (raw: string): SidecarId => raw as SidecarId;
