import type { HeaderList } from "./HeaderList.ts";

/** Hop-by-hop headers (RFC 9110, section 7.6.1), and the framing headers, which each hop sets itself. */
const HOP_BY_HOP_HEADERS = new Set([
  "connection",
  "keep-alive",
  "proxy-connection",
  "transfer-encoding",
  "upgrade",
  "te",
  "trailer",
  "content-length",
  "expect",
]);

/**
 * Returns the headers to forward to the next hop: all except hop-by-hop headers, those listed in `Connection`, and
 * those for which `isDropped` returns true.
 */
export function forwardableHeaders(
  headers: HeaderList,
  isDropped: (lowerCaseName: string) => boolean = () => false,
): string[] {
  const connectionTokens = new Set<string>();
  for (const [name, value] of pairs(headers)) {
    if (name === "connection") {
      value.split(",").forEach((token) => connectionTokens.add(token.trim().toLowerCase()));
    }
  }
  const forwarded: string[] = [];
  for (const [name, value, raw] of pairs(headers)) {
    if (!HOP_BY_HOP_HEADERS.has(name) && !connectionTokens.has(name) && !isDropped(name)) {
      forwarded.push(raw, value);
    }
  }
  return forwarded;
}

function* pairs(headers: HeaderList): Generator<[name: string, value: string, raw: string]> {
  for (let i = 0; i + 1 < headers.length; i += 2) {
    const raw = headers[i] ?? "";
    yield [raw.toLowerCase(), headers[i + 1] ?? "", raw];
  }
}
