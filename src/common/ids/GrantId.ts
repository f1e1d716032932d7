import type { Brand } from "./Brand.ts";

/**
 * One grant of a slot. An attempt that is granted a slot again, at the same target or another, gets another id, so that
 * a request which is delayed on its way cannot use a later grant than its own.
 */
export type GrantId = Brand<string, "GrantId">;

/** Brands a string as a {@link GrantId}; the caller vouches for its form. */
export const GrantId = (raw: string): GrantId => raw as GrantId;
