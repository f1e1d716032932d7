import test from "ava";
import fc from "fast-check";
import { diffDocuments } from "./diffDocuments.ts";
import { editDocument } from "./editDocument.ts";
import { EMPTY_DOCUMENT } from "./EMPTY_DOCUMENT.ts";
import type { OperatorDocument } from "./OperatorDocument.ts";
import { Route } from "./Route.ts";
import { Service } from "./Service.ts";
import { Workspace } from "./Workspace.ts";

const name = fc.constantFrom("a", "b", "c", "d", "e");
const maybe = <T>(value: fc.Arbitrary<T>) => fc.option(value, { nil: undefined });
const hedging = maybe(fc.record({ maxWorkShare: fc.constantFrom(0, 0.05) }));
const service = fc
  .record({
    name,
    floor: fc.constantFrom(0, 0.5, 1),
    fairShares: maybe(fc.boolean()),
    hedging,
  })
  .map((s) => Service.parse(s));
const route = fc
  .record({ name, prefix: fc.constantFrom("/x/", "/y/"), timeoutMs: fc.constantFrom(1, 2) })
  .map((r) => Route.parse({ ...r, idempotent: true, attempts: 1, service: "a" }));
const workspace = fc
  .record({
    name,
    apiKeys: fc.uniqueArray(fc.constantFrom("k1", "k2"), { maxLength: 2 }),
    weight: maybe(fc.constantFrom(1, 2.5)),
  })
  .map((w) => Workspace.parse(w));
const table = <T extends { name: string }>(item: fc.Arbitrary<T>) =>
  fc.uniqueArray(item, { selector: (i) => i.name, maxLength: 5 });
const document = fc
  .record({
    services: table(service),
    routes: table(route),
    workspaces: fc.option(table(workspace), { nil: undefined }),
  })
  .map(({ workspaces, ...tables }): OperatorDocument => ({
    ...tables,
    ...(workspaces && { workspaces }),
    limits: { ...EMPTY_DOCUMENT.limits, maxBodyBytes: 1 + tables.routes.length },
  }));

/** The same document with its items sorted by name. */
const sorted = (doc: OperatorDocument): OperatorDocument => ({
  ...doc,
  services: byName(doc.services),
  routes: byName(doc.routes),
  ...(doc.workspaces && { workspaces: byName(doc.workspaces) }),
});

const byName = <T extends { name: string }>(items: readonly T[]) =>
  items.toSorted((a, b) => (a.name < b.name ? -1 : 1));

test("editDocument: applying the difference of two documents to the first gives the second", (t) => {
  fc.assert(
    fc.property(document, document, (from, to) => {
      const edited = editDocument(from, diffDocuments(from, to));
      t.deepEqual(sorted(edited), sorted(to));
    }),
    { numRuns: 1000, seed: 3 },
  );
});

test("diffDocuments: equal documents have an empty difference", (t) => {
  fc.assert(
    fc.property(document, (doc) => {
      const edit = diffDocuments(doc, structuredClone(doc));
      t.deepEqual(edit, { services: { set: [], drop: [] }, routes: { set: [], drop: [] } });
    }),
    { numRuns: 200, seed: 4 },
  );
});
