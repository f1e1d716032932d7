import type { Brand } from "./Brand.ts";

/** Name of a service in the operators' document, such as `oljelab-results`. */
export type ServiceName = Brand<string, "ServiceName">;

/** Brands a string as a {@link ServiceName}; the format is not checked. */
export const ServiceName = (raw: string): ServiceName => raw as ServiceName;
