import { readFileSync } from "node:fs";
import test from "ava";
import { parseOperatorDocument } from "./parseOperatorDocument.ts";

const demo = readFileSync(new URL("../../../config/demo.yaml", import.meta.url), "utf8");

test("accepts the demo document config/demo.yaml", (t) => {
  const parsed = parseOperatorDocument(demo);
  t.true(parsed.ok);
});

const invalidCases: readonly { name: string; text: string; line: number; field: string }[] = [
  {
    name: "floor above 1",
    text: demo.replace("floor: 0.5", "floor: 1.5"),
    line: 8,
    field: "services.0.floor",
  },
  {
    name: "a hedging limit that would allow more hedges than first runs",
    text: demo.replace("floor: 0.5", "hedging: { maxWorkShare: 5 }"),
    line: 8,
    field: "services.0.hedging.maxWorkShare",
  },
  {
    name: "unknown method",
    text: demo.replace(
      "method: GET, pathPrefix: /oljelab/results",
      "method: FETCH, pathPrefix: /oljelab/results",
    ),
    line: 7,
    field: "services.0.requests.0.method",
  },
  {
    name: "misspelt field",
    text: demo.replace("timeoutMs: 2000", "timeoutMS: 2000"),
    // The missing timeoutMs is reported first, at the line of the service that lacks it.
    line: 3,
    field: "services.0.timeoutMs",
  },
  {
    name: "YAML syntax error",
    text: "services:\n  - name: [unclosed\n",
    line: 3,
    field: "",
  },
];

for (const c of invalidCases) {
  test(`rejects a document with ${c.name}, reporting its line and field`, (t) => {
    const parsed = parseOperatorDocument(c.text);
    if (parsed.ok) {
      t.fail("accepted an invalid document");
      return;
    }
    const problem = parsed.problems[0];
    t.is(problem?.field, c.field);
    t.is(problem?.line, c.line);
  });
}
