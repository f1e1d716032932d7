import type { Brand } from "./Brand.ts";

/** An operator's request id: a resend of the same change carries the same one. */
export type RequestId = Brand<string, "RequestId">;

/** Brands a string as a {@link RequestId}; the caller vouches for its form. */
export const RequestId = (raw: string): RequestId => raw as RequestId;
