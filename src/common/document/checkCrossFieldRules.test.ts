import test from "ava";
import { parseOperatorDocument } from "./parseOperatorDocument.ts";

const head = `services:
  - name: desk
  - name: book
routes:
`;
const route = (rest: string) =>
  `${head}  - { name: r, host: a.example, prefix: /x/, idempotent: true, ${rest} }\n`;

const workspaces = (...items: string[]) =>
  `services:\n  - name: desk\nworkspaces:\n${items.map((i) => `  - ${i}\n`).join("")}`;

const cases: readonly { name: string; text: string; problems: readonly string[] }[] = [
  {
    name: "a route to an existing service",
    text: route("timeoutMs: 1, attempts: 1, service: desk"),
    problems: [],
  },
  {
    name: "a weighted split",
    text: route(
      "timeoutMs: 1, attempts: 1, split: [{ service: desk, weight: 9 }, { service: book, weight: 1 }]",
    ),
    problems: [],
  },
  {
    name: "an unknown service",
    text: route("timeoutMs: 1, attempts: 1, service: gone"),
    problems: ["5 routes.0.service: no service gone"],
  },
  {
    name: "an unknown service in a split",
    text: route("timeoutMs: 1, attempts: 1, split: [{ service: gone, weight: 1 }]"),
    problems: ["5 routes.0.split.0.service: no service gone"],
  },
  {
    name: "weights that add up to 0",
    text: route("timeoutMs: 1, attempts: 1, split: [{ service: desk, weight: 0 }]"),
    problems: ["5 routes.0.split: the weights add up to 0"],
  },
  {
    name: "neither service nor split",
    text: route("timeoutMs: 1, attempts: 1"),
    problems: ["5 routes.0: exactly one of service and split is required"],
  },
  {
    name: "a timeout and attempts of 0, both reported",
    text: route("timeoutMs: 0, attempts: 0, service: desk"),
    problems: [
      "5 routes.0.timeoutMs: Too small: expected number to be >0",
      "5 routes.0.attempts: Too small: expected number to be >=1",
    ],
  },
  {
    name: "an empty host",
    text: `${head}  - { name: r, host: "", prefix: /x/, idempotent: true, timeoutMs: 1, attempts: 1, service: desk }\n`,
    problems: ["5 routes.0.host: Too small: expected string to have >=1 characters"],
  },
  {
    name: "simple routes without the fields they require",
    text: "services:\n  - name: desk\n    routes: [/desk]\n",
    problems: [
      "2 services.0.requests: required beside routes",
      "2 services.0.timeoutMs: required beside routes",
      "2 services.0.retry: required beside routes",
    ],
  },
  {
    name: "items that are null",
    text: `${head}  -\n  - { name: r, prefix: /x/, idempotent: true, timeoutMs: 1, attempts: 1, split: [~] }\n`,
    problems: [
      "5 routes.0: Invalid input: expected object, received null",
      "5 routes.0: exactly one of service and split is required",
      "6 routes.1.split.0: Invalid input: expected object, received null",
      "6 routes.1.split.0.service: no service named",
      "6 routes.1.split: the weights add up to 0",
    ],
  },
  {
    name: "unknown keys, each at its own line",
    text: "services:\n  - name: desk\n    colour: red\n    floor: 0.5\nlimit: 3\n",
    problems: ["3 services.0.colour: unknown key", "5 limit: unknown key"],
  },
  {
    name: "two workspaces with keys of their own",
    text: workspaces("{ name: a, apiKeys: [k1, k2] }", "{ name: b, apiKeys: [k3] }"),
    problems: [],
  },
  {
    name: "an API key of two workspaces, which is not repeated in the problem",
    text: workspaces("{ name: a, apiKeys: [secret] }", "{ name: b, apiKeys: [k1, secret] }"),
    problems: ["5 workspaces.1.apiKeys.1: also a key of workspace a"],
  },
  {
    name: "an API key of one workspace whose digest is a key of another",
    text: workspaces(
      "{ name: a, apiKeys: [k1] }",
      '{ name: b, apiKeys: ["sha256:arnx6499M4j0-dWG9m6Z_VQIDfLERvDlhmiwnAihbdA"] }',
    ),
    problems: ["5 workspaces.1.apiKeys.0: also a key of workspace a"],
  },
  {
    name: "two workspaces of one name",
    text: workspaces("{ name: a, apiKeys: [] }", "{ name: a, apiKeys: [] }"),
    problems: ["4 workspaces: workspace names must be unique"],
  },
  {
    name: "a workspace with invalid values",
    text: workspaces(
      '{ name: a b, apiKeys: ["k 1"], quota: { ratePerS: -1, burst: -1 }, priority: -1, weight: 0 }',
    ),
    problems: [
      "4 workspaces.0.name: visible ASCII characters only",
      "4 workspaces.0.apiKeys.0: visible ASCII characters only",
      "4 workspaces.0.quota.ratePerS: Too small: expected number to be >0",
      "4 workspaces.0.quota.burst: Too small: expected number to be >=0",
      "4 workspaces.0.priority: Too small: expected number to be >=0",
      "4 workspaces.0.weight: Too small: expected number to be >0",
    ],
  },
];

for (const c of cases) {
  test(`a document with ${c.name}: ${c.problems.length} problems`, (t) => {
    const parsed = parseOperatorDocument(c.text);
    const found = parsed.ok ? [] : parsed.problems.map((p) => `${p.line} ${p.field}: ${p.message}`);
    t.deepEqual(found, c.problems);
  });
}
