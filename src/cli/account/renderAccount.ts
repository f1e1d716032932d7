import type { AccountedRequest } from "./AccountedRequest.ts";

/** Rows of a table by something, at most. */
const MOST_ROWS = 12;

/** Something that requests can be told apart by. */
interface Dimension {
  readonly title: string;
  readonly keyOf: (req: AccountedRequest) => string;
}

const DIMENSIONS: readonly Dimension[] = [
  { title: "route", keyOf: ({ route }) => route || "(none)" },
  { title: "target", keyOf: ({ target }) => target || "(none)" },
  { title: "process that took it", keyOf: ({ origin }) => origin },
  { title: "seconds", keyOf: ({ atS }) => `${Math.floor(atS / 2) * 2} s` },
];

/** The account of losses as text for a terminal: by fate, then by route, target, process and time. */
export function renderAccount(requests: readonly AccountedRequest[]): string {
  const total = requests.length;
  const lost = sumOf(requests);
  const head = `${total} requests, credit of ${lost.toFixed(1)} lost (${percent(lost, total)})`;
  const fates = tableOf(requests, { title: "what became of it", keyOf: ({ fate }) => fate });
  const losing = requests.filter((r) => r.lost > 0);
  const others = DIMENSIONS.map((d) => tableOf(losing, d));
  return `${[head, fates, ...others].join("\n\n")}\n`;
}

function tableOf(requests: readonly AccountedRequest[], { title, keyOf }: Dimension): string {
  const groups = new Map<string, AccountedRequest[]>();
  for (const req of requests) {
    const group = groups.get(keyOf(req)) ?? [];
    group.push(req);
    groups.set(keyOf(req), group);
  }
  const rows = [...groups]
    .map(([key, group]) => ({ key, count: group.length, lost: sumOf(group) }))
    .sort((a, b) => b.lost - a.lost || b.count - a.count)
    .slice(0, MOST_ROWS);
  const width = Math.max(title.length, ...rows.map((r) => r.key.length));
  const heading = `${title.padEnd(width)}  requests  credit lost`;
  const lines = rows.map(
    ({ key, count, lost }) =>
      `${key.padEnd(width)}  ${String(count).padStart(8)}  ${lost.toFixed(1).padStart(11)}`,
  );
  return [heading, ...lines].join("\n");
}

function sumOf(requests: readonly AccountedRequest[]): number {
  return requests.reduce((sum, r) => sum + r.lost, 0);
}

function percent(part: number, whole: number): string {
  return `${((100 * part) / Math.max(1, whole)).toFixed(1)}%`;
}
