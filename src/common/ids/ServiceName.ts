import type { Brand } from "./Brand.ts";

/** A service of the operators' document, such as `oljelab-results`. */
export type ServiceName = Brand<string, "ServiceName">;

/** Brands a string as a {@link ServiceName}; the caller vouches for its form. */
export const ServiceName = (raw: string): ServiceName => raw as ServiceName;
