import { endToEnd } from "./endToEnd.ts";
import type { HeaderList } from "./HeaderList.ts";

/** `list` with `set` in place of what it had under those names. */
export function withHeaders(list: HeaderList, set: Readonly<Record<string, string>>): HeaderList {
  const names = new Set(Object.keys(set).map((name) => name.toLowerCase()));
  return names.size === 0
    ? list
    : [...endToEnd(list, (name) => names.has(name)), ...Object.entries(set).flat()];
}
