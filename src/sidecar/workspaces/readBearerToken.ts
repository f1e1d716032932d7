import type { HeaderList } from "../forwarding/HeaderList.ts";

/** Credentials in a request's `Authorization` header (RFC 6750, section 2.1). */
export type BearerToken =
  | { readonly kind: "none" }
  | { readonly kind: "token"; readonly token: string }
  /** Another scheme, more than one header, or a token that no key can equal. */
  | { readonly kind: "malformed" };

/** Longest token that is read; longer than any key in a document. */
const MAX_TOKEN_LENGTH = 512;

/** The scheme is case-insensitive (RFC 9110, section 11.1). */
const BEARER = /^bearer +([\x21-\x7e]+) *$/i;

/** Reads the bearer token of a request. */
export function readBearerToken(headers: HeaderList): BearerToken {
  const values = headers.filter(
    (_, i) => headers[i - 1]?.toLowerCase() === "authorization" && i % 2 === 1,
  );
  const [value = "", ...others] = values;
  if (values.length === 0) {
    return { kind: "none" };
  }
  const token = others.length === 0 ? BEARER.exec(value)?.[1] : undefined;
  return token === undefined || token.length > MAX_TOKEN_LENGTH
    ? { kind: "malformed" }
    : { kind: "token", token };
}
