import test from "ava";
import { Workspace } from "../../common/document/Workspace.ts";
import { WorkspaceWeights } from "./WorkspaceWeights.ts";

const parse = (over: object) => Workspace.parse({ name: "a", apiKeys: [], ...over });

const cases: readonly { name: string; workspaces: Workspace[] | undefined; weight: number }[] = [
  { name: "the weight", workspaces: [parse({ weight: 3, quota: { ratePerS: 20 } })], weight: 3 },
  {
    name: "the quota's rate without a weight",
    workspaces: [parse({ quota: { ratePerS: 20 } })],
    weight: 20,
  },
  { name: "1 without both", workspaces: [parse({})], weight: 1 },
  { name: "1 for an unknown workspace", workspaces: [parse({ name: "b", weight: 5 })], weight: 1 },
  { name: "1 for a document without workspaces", workspaces: undefined, weight: 1 },
  { name: "at least 0.001", workspaces: [parse({ weight: 1e-300 })], weight: 0.001 },
];

for (const { name, workspaces, weight } of cases) {
  test(`workspace weights: ${name}`, (t) => {
    t.is(new WorkspaceWeights(() => workspaces).weightOf("a"), weight);
  });
}

test("workspace weights: a new document takes effect at once", (t) => {
  let workspaces = [parse({ weight: 1 })];
  const weights = new WorkspaceWeights(() => workspaces);
  t.is(weights.weightOf("a"), 1);
  workspaces = [parse({ weight: 2 })];
  t.is(weights.weightOf("a"), 2);
});
