import type { Brand } from "./Brand.ts";

/** One sidecar process, unique in the fleet; names its member entry in gossip. */
export type SidecarId = Brand<string, "SidecarId">;

/** Brands a string as a {@link SidecarId}; the caller vouches for its form. */
export const SidecarId = (raw: string): SidecarId => raw as SidecarId;
