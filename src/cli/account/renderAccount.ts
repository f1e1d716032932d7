import type { AccountedRequest } from "./AccountedRequest.ts";

/** Maximum number of rows per table. */
const MAX_ROWS = 12;

/** A property to group requests by. */
interface Dimension {
  readonly title: string;
  readonly keyOf: (req: AccountedRequest) => string;
}

const DIMENSIONS: readonly Dimension[] = [
  { title: "route", keyOf: ({ route }) => route || "(none)" },
  { title: "target", keyOf: ({ target }) => target || "(none)" },
  { title: "receiving process", keyOf: ({ origin }) => origin },
  { title: "seconds", keyOf: ({ atS }) => `${Math.floor(atS / 2) * 2} s` },
];

/** Formats the lost credit as tables for a terminal: by outcome, then by route, target, process and time. */
export function renderAccount(requests: readonly AccountedRequest[]): string {
  const total = requests.length;
  const lost = lostCreditOf(requests);
  const head = `${total} requests, credit of ${lost.toFixed(1)} lost (${percent(lost, total)})`;
  const byOutcome = tableOf(requests, { title: "outcome", keyOf: ({ fate }) => fate });
  const withLosses = requests.filter((r) => r.lost > 0);
  const byDimension = DIMENSIONS.map((d) => tableOf(withLosses, d));
  return `${[head, byOutcome, ...byDimension].join("\n\n")}\n`;
}

function tableOf(requests: readonly AccountedRequest[], { title, keyOf }: Dimension): string {
  const groups = new Map<string, AccountedRequest[]>();
  for (const req of requests) {
    const group = groups.get(keyOf(req)) ?? [];
    group.push(req);
    groups.set(keyOf(req), group);
  }
  const rows = [...groups]
    .map(([key, group]) => ({ key, count: group.length, lost: lostCreditOf(group) }))
    .sort((a, b) => b.lost - a.lost || b.count - a.count)
    .slice(0, MAX_ROWS);
  const width = Math.max(title.length, ...rows.map((r) => r.key.length));
  const heading = `${title.padEnd(width)}  requests  credit lost`;
  const lines = rows.map(
    ({ key, count, lost }) =>
      `${key.padEnd(width)}  ${String(count).padStart(8)}  ${lost.toFixed(1).padStart(11)}`,
  );
  return [heading, ...lines].join("\n");
}

function lostCreditOf(requests: readonly AccountedRequest[]): number {
  return requests.reduce((sum, r) => sum + r.lost, 0);
}

function percent(part: number, whole: number): string {
  return `${((100 * part) / Math.max(1, whole)).toFixed(1)}%`;
}
