import test from "ava";
import type { AccountedRequest, RequestOutcome } from "./AccountedRequest.ts";
import { plotAccount } from "./plotAccount.ts";

const req = (fate: RequestOutcome, lost: number, atS: number): AccountedRequest => ({
  attempt: "r",
  route: "lookup",
  origin: "t1",
  target: "a",
  atS,
  fate,
  lost,
});

test("plotAccount draws an area and a legend entry for each outcome that lost credit, and no other", (t) => {
  const svg = plotAccount([
    req("in time", 0, 0),
    req("failed: first", 1, 1),
    req("late: in line", 0.7, 2),
    req("late: in line", 0.7, 2),
  ]);
  t.is(svg.match(/<path /gu)?.length, 2);
  t.true(svg.indexOf(">late: in line<") < svg.indexOf(">failed: first<"));
  t.false(svg.includes("in time"));
  t.false(/NaN|undefined/u.test(svg));
});

test("plotAccount draws a valid empty plot when there are no requests", (t) => {
  const svg = plotAccount([]);
  t.is(svg.match(/<path /gu), null);
  t.false(/NaN|undefined/u.test(svg));
});
