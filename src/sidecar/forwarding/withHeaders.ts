import { forwardableHeaders } from "./forwardableHeaders.ts";
import type { HeaderList } from "./HeaderList.ts";

/** Returns `headers` with `overrides` in place of any headers of the same names. */
export function withHeaders(
  headers: HeaderList,
  overrides: Readonly<Record<string, string>>,
): HeaderList {
  const names = new Set(Object.keys(overrides).map((name) => name.toLowerCase()));
  return names.size === 0
    ? headers
    : [
        ...forwardableHeaders(headers, (name) => names.has(name)),
        ...Object.entries(overrides).flat(),
      ];
}
