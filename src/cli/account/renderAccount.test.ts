import test from "ava";
import type { AccountedRequest, RequestOutcome } from "./AccountedRequest.ts";
import { renderAccount } from "./renderAccount.ts";

const req = (fate: RequestOutcome, lost: number, atS = 0, route = "lookup"): AccountedRequest => ({
  attempt: "r",
  route,
  origin: "t1",
  target: "a",
  atS,
  fate,
  lost,
});

test("renderAccount prints a table by outcome, largest loss first, then by route, target, process and time", (t) => {
  const text = renderAccount([
    req("in time", 0),
    req("late: in line", 0.7),
    req("failed: first", 1, 2.5, "write"),
  ]);
  const [head, ...tables] = text.trimEnd().split("\n\n");
  t.is(head, "3 requests, credit of 1.7 lost (56.7%)");
  t.deepEqual(tables[0]?.split("\n"), [
    "outcome        requests  credit lost",
    "failed: first         1          1.0",
    "late: in line         1          0.7",
    "in time               1          0.0",
  ]);
  t.deepEqual(
    tables.map((table) => table.split("\n")[0]?.split("  ")[0]),
    ["outcome", "route", "target", "receiving process", "seconds"],
  );
  t.regex(tables[1] ?? "", /^write +1 +1\.0$/mu);
  t.regex(tables[4] ?? "", /^2 s +1 +1\.0$/mu);
});

test("renderAccount prints a loss of 0% when there are no requests", (t) => {
  t.regex(renderAccount([]), /^0 requests, credit of 0\.0 lost \(0\.0%\)/u);
});
