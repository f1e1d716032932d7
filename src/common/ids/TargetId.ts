import type { Brand } from "./Brand.ts";

/** Identifies a target (a back-end instance), unique in the fleet; chosen by the target when it announces itself. */
export type TargetId = Brand<string, "TargetId">;

/** Brands a string as a {@link TargetId}; the format is not checked. */
export const TargetId = (raw: string): TargetId => raw as TargetId;
