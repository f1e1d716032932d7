import type { Brand } from "./Brand.ts";

/** One target (back end instance), unique in the fleet, as it announced itself. */
export type TargetId = Brand<string, "TargetId">;

/** Brands a string as a {@link TargetId}; the caller vouches for its form. */
export const TargetId = (raw: string): TargetId => raw as TargetId;
