import type { Brand } from "./Brand.ts";

/**
 * Identifies one attempt of a caller at one request. A caller that retries uses a new
 * id. Everything that sidecars do for an attempt, including sending it to a second
 * target, uses the same id.
 */
export type AttemptId = Brand<string, "AttemptId">;

/** Brands a string as an {@link AttemptId}; the format is not checked. */
export const AttemptId = (raw: string): AttemptId => raw as AttemptId;
