import type { HeaderList } from "./HeaderList.ts";

/** Headers that concern one connection only (RFC 9110, 7.6.1), and the framing, which each hop sets anew. */
const HOP_HEADERS = new Set([
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
 * The headers that go on to the next hop: all but those that concern one connection,
 * those that `Connection` names as such, and those for which `drop` says so.
 */
export function endToEnd(
  headers: HeaderList,
  drop: (lowerCaseName: string) => boolean = () => false,
): string[] {
  const named = new Set<string>();
  for (const [name, value] of pairs(headers)) {
    if (name === "connection") {
      value.split(",").forEach((token) => named.add(token.trim().toLowerCase()));
    }
  }
  const kept: string[] = [];
  for (const [name, value, raw] of pairs(headers)) {
    if (!HOP_HEADERS.has(name) && !named.has(name) && !drop(name)) {
      kept.push(raw, value);
    }
  }
  return kept;
}

function* pairs(headers: HeaderList): Generator<[name: string, value: string, raw: string]> {
  for (let i = 0; i + 1 < headers.length; i += 2) {
    const raw = headers[i] ?? "";
    yield [raw.toLowerCase(), headers[i + 1] ?? "", raw];
  }
}
