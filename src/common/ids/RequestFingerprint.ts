import type { Brand } from "./Brand.ts";

/** Digest of what a request asks for, hex; equal requests have equal fingerprints, whatever their attempt ids. */
export type RequestFingerprint = Brand<string, "RequestFingerprint">;

/** Brands a string as a {@link RequestFingerprint}; the format is not checked. */
export const RequestFingerprint = (raw: string): RequestFingerprint => raw as RequestFingerprint;
