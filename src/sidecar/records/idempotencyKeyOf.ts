import type { HeaderList } from "../forwarding/HeaderList.ts";

/** The `Idempotency-Key` of a request; undefined if it is missing or empty. */
export function idempotencyKeyOf(headers: HeaderList): string | undefined {
  const index = headers.findIndex(
    (part, i) => i % 2 === 0 && part.toLowerCase() === "idempotency-key",
  );
  const key = index < 0 ? undefined : headers[index + 1];
  return key === "" ? undefined : key;
}
