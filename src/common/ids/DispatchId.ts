import type { Brand } from "./Brand.ts";

/**
 * Id that the first sidecar gives to a caller's request with an idempotency key. Unlike an attempt id, it never comes from
 * the caller, and is the same for each target that the request is sent to.
 */
export type DispatchId = Brand<string, "DispatchId">;

/** Brands a string as a {@link DispatchId}; the format is not checked. */
export const DispatchId = (raw: string): DispatchId => raw as DispatchId;
