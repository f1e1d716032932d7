import test from "ava";
import { AttemptOutcome } from "../detection/AttemptOutcome.ts";
import { HOP } from "./HOP.ts";
import { hopResponse } from "./hopResponse.ts";

const malformed: readonly { name: string; headers: Record<string, string>; expected: object }[] = [
  {
    name: "a reason",
    headers: { [HOP.verdict]: "not-run", [HOP.reason]: "100% full" },
    expected: { verdict: { kind: "not-run", reason: "100% full" } },
  },
  {
    name: "the name of a called service",
    headers: { [HOP.verdict]: "done", [HOP.calls]: "a%=1.00,b=2.00" },
    expected: {
      verdict: { kind: "done", status: 200 },
      calls: new Map([
        ["a%", 1],
        ["b", 2],
      ]),
    },
  },
];

for (const { name, headers, expected } of malformed) {
  test(`hop response: ${name} that is malformed does not lose the outcome of the run`, (t) => {
    const outcome = { [HOP.outcome]: AttemptOutcome.Ok };
    const body = Buffer.alloc(0);
    t.like(hopResponse.read(200, { ...headers, ...outcome }, { body }), expected);
  });
}
