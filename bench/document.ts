/**
 * Measures how the costs of the operators' document grow with its size, for docs/CAPACITY.md. Generates documents of S
 * services with 12 routes each (the largest has 3,300 services and 40,000 routes), and measures the size of the YAML,
 * the time to parse and validate it, the heap that it retains, and the time of one route lookup by the index and by a
 * linear search. Not a test: `node --expose-gc --import tsx bench/document.ts`.
 */
import { stringify } from "yaml";
import { parseOperatorDocument } from "../src/common/document/parseOperatorDocument.ts";
import { RouteIndex } from "../src/sidecar/routing/RouteIndex.ts";
import { matchRouteNaively } from "../test/fixtures/matchRouteNaively.ts";

const ROUTES_PER_SERVICE = 12;
const SIZES = [100, 500, 1000, 3300];

function makeDocument(services: number): string {
  return stringify({
    services: Array.from({ length: services }, (_, i) => ({
      name: `svc-${i}`,
      customer: `customer-${i % 50}`,
      routes: Array.from({ length: ROUTES_PER_SERVICE }, (_, r) => `/c${i % 50}/svc-${i}/r${r}`),
      requests: [
        { kind: "lookup", method: "GET", pathPrefix: `/c${i % 50}/svc-${i}`, idempotent: true },
        {
          kind: "booking",
          method: "POST",
          pathPrefix: `/c${i % 50}/svc-${i}/book`,
          idempotent: false,
        },
      ],
      floor: 0.5,
      timeoutMs: 2000,
      retry: { attempts: 2, budgetRatio: 0.1 },
    })),
  });
}

/** Lookups per measurement. */
const LOOKUPS = 2000;

/** Mean time of a lookup over paths spread through the document, µs. */
function meanLookupUs(services: number, lookUp: (path: string) => unknown): number {
  const t0 = performance.now();
  for (let i = 0; i < LOOKUPS; i++) {
    const at = (i * 7919) % services;
    lookUp(`/c${at % 50}/svc-${at}/r${i % ROUTES_PER_SERVICE}/42`);
  }
  return ((performance.now() - t0) * 1000) / LOOKUPS;
}

const gc = (globalThis as { gc?: () => void }).gc ?? (() => undefined);
console.log("services  routes  yamlKB  parseMs  heapKB  indexUs  linearUs");
/** Keeps the documents reachable while their heap size is measured. */
const retained: unknown[] = [];
for (const s of SIZES) {
  const text = makeDocument(s);
  gc();
  const heap0 = process.memoryUsage().heapUsed;
  const t0 = performance.now();
  const parsed = parseOperatorDocument(text);
  const ms = performance.now() - t0;
  if (!parsed.ok) throw new Error("generated document invalid");
  const { doc } = parsed;
  retained.push(doc);
  gc();
  const heapKB = (process.memoryUsage().heapUsed - heap0) / 1024;
  const index = new RouteIndex(doc);
  const indexUs = meanLookupUs(s, (path) => index.match("GET", path));
  const linearUs = meanLookupUs(s, (path) => matchRouteNaively(doc, path));
  console.log(
    `${String(s).padStart(8)}  ${String(s * ROUTES_PER_SERVICE).padStart(6)}  ${(text.length / 1024).toFixed(0).padStart(6)}  ${ms.toFixed(0).padStart(7)}  ${heapKB.toFixed(0).padStart(6)}  ${indexUs.toFixed(1).padStart(7)}  ${linearUs.toFixed(0).padStart(8)}`,
  );
}
console.log(`retained ${retained.length} documents`);
