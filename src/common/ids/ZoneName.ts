import type { Brand } from "./Brand.ts";

/** Name of an availability zone, as given in a process's settings. */
export type ZoneName = Brand<string, "ZoneName">;

/** Brands a string as a {@link ZoneName}; the format is not checked. */
export const ZoneName = (raw: string): ZoneName => raw as ZoneName;
