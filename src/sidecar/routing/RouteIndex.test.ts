import { readFileSync } from "node:fs";
import test from "ava";
import fc from "fast-check";
import { parseOperatorDocument } from "../../common/document/parseOperatorDocument.ts";
import { EMPTY_DOCUMENT } from "../../common/document/EMPTY_DOCUMENT.ts";
import { makeService } from "../../../test/fixtures/makeService.ts";
import { matchRouteNaively } from "../../../test/fixtures/matchRouteNaively.ts";
import { RouteIndex } from "./RouteIndex.ts";

const parsed = parseOperatorDocument(
  readFileSync(new URL("../../../config/demo.yaml", import.meta.url), "utf8"),
);
if (!parsed.ok) {
  throw new Error("demo document invalid");
}
const index = new RouteIndex(parsed.doc);

const cases: readonly [string, string, string | undefined, string, boolean][] = [
  ["GET", "/oljelab/results/t-17", "oljelab-results", "gas-lookup", true],
  ["POST", "/oljelab/bookings/pickup", "oljelab-bookings", "pickup-booking", false],
  ["GET", "/oljelab/bookings/42", "oljelab-bookings", "booking-lookup", true],
  ["POST", "/glenbrae/bookings/deposit/7", "glenbrae-bookings", "deposit", false],
  // A request of an unknown kind must not be treated as idempotent, since it could then run twice.
  ["DELETE", "/glenbrae/bookings/van/3", "glenbrae-bookings", "unknown", false],
  ["GET", "/nowhere", undefined, "", false],
];

for (const [method, path, service, kind, idempotent] of cases) {
  test(`routes: ${method} ${path} -> ${service ?? "no route"}`, (t) => {
    const match = index.match(method, path);
    t.is(match?.service.name, service);
    if (match) {
      t.is(match.name, `${service ?? ""}/${kind}`);
      t.is(match.idempotent, idempotent);
    }
  });
}

test("routes: the index agrees with a linear search over all routes", (t) => {
  // Short prefixes over two letters, so that many are equal or prefixes of one another.
  const path = fc.stringMatching(/^\/[ab/]{0,6}$/);
  const services = fc.array(fc.array(path, { minLength: 1, maxLength: 4 }), {
    minLength: 1,
    maxLength: 5,
  });
  fc.assert(
    fc.property(services, path, (routes, requested) => {
      const named = routes.map((r, n) => makeService({ name: `s${n}`, routes: r }));
      const doc = { ...EMPTY_DOCUMENT, services: named };
      const found = new RouteIndex(doc).match("GET", requested)?.service.name;
      return found === matchRouteNaively(doc, requested)?.name;
    }),
    { numRuns: 2000, seed: 5 },
  );
  t.pass();
});
