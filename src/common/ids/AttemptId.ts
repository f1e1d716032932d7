import type { Brand } from "./Brand.ts";

/**
 * One attempt of a caller at one request. A caller that tries again uses a new one;
 * whatever sidecars do for an attempt, asking targets twice included, is under one id.
 */
export type AttemptId = Brand<string, "AttemptId">;

/** Brands a string as an {@link AttemptId}; the caller vouches for its form. */
export const AttemptId = (raw: string): AttemptId => raw as AttemptId;
