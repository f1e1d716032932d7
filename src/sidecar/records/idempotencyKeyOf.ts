import type { HeaderList } from "../forwarding/HeaderList.ts";

/** The `Idempotency-Key` of a request; undefined when it has none. */
export function idempotencyKeyOf(headers: HeaderList): string | undefined {
  const at = headers.findIndex(
    (part, i) => i % 2 === 0 && part.toLowerCase() === "idempotency-key",
  );
  const key = at < 0 ? undefined : headers[at + 1];
  return key === "" ? undefined : key;
}
