/**
 * Slopes of the operators' document for docs/CAPACITY.md: generates
 * documents of S services with 12 routes each (40,000 routes / 3,300
 * services), and measures YAML bytes, parse-and-validate time and retained
 * heap. Not a test: `node --expose-gc --import tsx bench/document.ts`.
 */
import { stringify } from "yaml";
import { parseOperatorDocument } from "../src/common/parseOperatorDocument.ts";

const ROUTES_PER_SERVICE = 12;
const SIZES = [100, 500, 1000, 3300];

function makeDoc(services: number): string {
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

const gc = (globalThis as { gc?: () => void }).gc ?? (() => undefined);
console.log("services  routes  yamlKB  parseMs  heapKB");
const keep: unknown[] = [];
for (const s of SIZES) {
  const text = makeDoc(s);
  gc();
  const heap0 = process.memoryUsage().heapUsed;
  const t0 = performance.now();
  const parsed = parseOperatorDocument(text);
  const ms = performance.now() - t0;
  if (!parsed.ok) throw new Error("generated document invalid");
  keep.push(parsed.doc);
  gc();
  const heapKB = (process.memoryUsage().heapUsed - heap0) / 1024;
  console.log(
    `${String(s).padStart(8)}  ${String(s * ROUTES_PER_SERVICE).padStart(6)}  ${(text.length / 1024).toFixed(0).padStart(6)}  ${ms.toFixed(0).padStart(7)}  ${heapKB.toFixed(0).padStart(6)}`,
  );
}
console.log(`kept ${keep.length} documents`);
