import type { Brand } from "./Brand.ts";

/** An availability zone, as a process learns it from its settings. */
export type ZoneName = Brand<string, "ZoneName">;

/** Brands a string as a {@link ZoneName}; the caller vouches for its form. */
export const ZoneName = (raw: string): ZoneName => raw as ZoneName;
