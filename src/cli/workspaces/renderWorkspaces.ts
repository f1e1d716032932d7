import { z } from "zod";

/** Reply of a control replica's admin server to `GET /workspaces`. */
const Replies = z.array(
  z.array(
    z.object({
      name: z.string(),
      keys: z.number(),
      ratePerS: z.number().optional(),
      burst: z.number().optional(),
      priority: z.number().optional(),
      granted: z.number(),
      refused: z.number(),
      holder: z.string().optional(),
    }),
  ),
);

const COLUMNS = ["workspace", "keys", "rate/s", "burst", "priority", "granted/min", "refused/min"];

/** Width of the column of the quota holder, which is shown if there is one. */
const HOLDER_WIDTH = 24;

/** Renders workspaces with the usage of their quotas: the sum over the replicas, each of which grants a part. */
export function renderWorkspaces(replies: unknown): string {
  const [first = [], ...others] = Replies.parse(replies);
  if (first.length === 0) {
    return "the document has no workspaces\n";
  }
  const all = [first, ...others].flat();
  const sum = (name: string, field: "granted" | "refused") =>
    all.reduce((total, w) => total + (w.name === name ? w[field] : 0), 0);
  const holdersOf = (name: string) => [
    ...new Set(all.flatMap((w) => (w.name === name && w.holder ? [w.holder] : []))),
  ];
  const hasHolders = all.some((w) => w.holder !== undefined);
  const renderHolder = (text: string) => (hasHolders ? text.padStart(HOLDER_WIDTH) : "");
  const rows = first.map(({ name, keys, ratePerS, burst, priority }) =>
    [
      name,
      keys,
      ratePerS ?? "-",
      burst ?? "-",
      priority ?? "-",
      sum(name, "granted"),
      sum(name, "refused"),
    ].map(String),
  );
  const holders = ["holder", ...first.map(({ name }) => holdersOf(name).join() || "-")];
  return [COLUMNS, ...rows]
    .map((cells, i) => `${renderRow(cells)}${renderHolder(holders[i] ?? "")}\n`)
    .join("");
}

function renderRow([name = "", ...cells]: readonly string[]): string {
  return `${name.padEnd(24)}${cells.map((c) => c.padStart(12)).join("")}`;
}
