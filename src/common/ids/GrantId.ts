import type { Brand } from "./Brand.ts";

/**
 * Identifies one grant, that is one lease on a slot. When an attempt is granted a slot again, at the same target or
 * another, the new grant has a new id, so that a delayed request cannot use a later grant than its own.
 */
export type GrantId = Brand<string, "GrantId">;

/** Brands a string as a {@link GrantId}; the format is not checked. */
export const GrantId = (raw: string): GrantId => raw as GrantId;
