import { readFileSync } from "node:fs";
import test from "ava";
import { parseOperatorDocument } from "../common/parseOperatorDocument.ts";
import { matchRoute } from "./matchRoute.ts";

const parsed = parseOperatorDocument(
  readFileSync(new URL("../../config/demo.yaml", import.meta.url), "utf8"),
);
if (!parsed.ok) {
  throw new Error("demo document invalid");
}
const doc = parsed.doc;

const cases: readonly [string, string, string | undefined, string, boolean][] = [
  ["GET", "/oljelab/results/t-17", "oljelab-results", "gas-lookup", true],
  ["POST", "/oljelab/bookings/pickup", "oljelab-bookings", "pickup-booking", false],
  ["GET", "/oljelab/bookings/42", "oljelab-bookings", "booking-lookup", true],
  ["POST", "/glenbrae/bookings/deposit/7", "glenbrae-bookings", "deposit", false],
  // No kind matches: never treated as idempotent, so never retried blindly.
  ["DELETE", "/glenbrae/bookings/van/3", "glenbrae-bookings", "unknown", false],
  ["GET", "/nowhere", undefined, "", false],
];

for (const [method, path, service, kind, idempotent] of cases) {
  test(`${method} ${path} -> ${service ?? "no route"}`, (t) => {
    const match = matchRoute(doc, method, path);
    t.is(match?.service.name, service);
    if (match) {
      t.is(match.kind, kind);
      t.is(match.idempotent, idempotent);
    }
  });
}
