/**
 * Demonstrates the product with the demo configuration: starts a small fleet of separate processes on loopback (a control
 * replica, and 12 stand-in targets with a sidecar each), applies config/demo.yaml through the CLI, sends lookups and
 * bookings through the sidecars, and prints the number of responses by status and verdict.
 */
import { fileURLToPath } from "node:url";
import { LocalFleet } from "./LocalFleet.ts";
import { demoTargets } from "./demoTargets.ts";

const REQUESTS = Number(process.env.DEMO_REQUESTS ?? 400);
const CONCURRENCY = 16;
const DOC = fileURLToPath(new URL("../config/demo.yaml", import.meta.url));

const REQUEST_TYPES: readonly { method: string; path: string }[] = [
  { method: "GET", path: "/oljelab/results/transformer-17/dga" },
  { method: "POST", path: "/oljelab/bookings/pickup" },
  { method: "POST", path: "/oljelab/bookings/certificate" },
  { method: "GET", path: "/glenbrae/availability/depot-perth" },
  { method: "POST", path: "/glenbrae/bookings/van" },
  { method: "POST", path: "/glenbrae/bookings/deposit" },
];

const fleet = new LocalFleet();
try {
  console.log(`starting fleet in ${fleet.dir} ...`);
  await fleet.start(demoTargets);
  const applied = await fleet.apply(DOC);
  console.log(applied.out.trim() || applied.err.trim());
  await fleet.waitForVersion(1);
  await fleet.waitForTargets(demoTargets.length);
  console.log(
    `fleet ready: ${fleet.sidecars.size} sidecars, ${fleet.targets.size} stand-in targets, 1 control replica`,
  );
  const callerPorts = [...fleet.sidecars.values()].map((s) => s.ports.caller ?? 0);
  const counts = new Map<string, number>();
  let ownResponses = 0;
  let next = 0;
  const worker = async () => {
    while (next < REQUESTS) {
      const n = next++;
      const type = REQUEST_TYPES[n % REQUEST_TYPES.length] ?? REQUEST_TYPES[0];
      const port = callerPorts[n % callerPorts.length];
      if (!type) return;
      const res = await fetch(`http://127.0.0.1:${port}${type.path}`, {
        method: type.method,
        headers: { "x-caller-tag": `caller-${n}` },
        body: type.method === "POST" ? JSON.stringify({ n }) : undefined,
      });
      const body = (await res.json()) as { tag?: string };
      const verdict = res.headers.get("x-burdockpass-verdict") ?? "none";
      if (body.tag === `caller-${n}`) ownResponses += 1;
      const key = `${type.method} ${type.path.split("/").slice(0, 4).join("/")} -> ${res.status} ${verdict}`;
      counts.set(key, (counts.get(key) ?? 0) + 1);
    }
  };
  const t0 = performance.now();
  await Promise.all(Array.from({ length: CONCURRENCY }, worker));
  const ms = performance.now() - t0;
  for (const [key, count] of [...counts].sort())
    console.log(`  ${String(count).padStart(5)}  ${key}`);
  console.log(
    `sent ${REQUESTS} requests in ${ms.toFixed(0)} ms; ${ownResponses} callers got the response to their own request`,
  );
} finally {
  await fleet.stop();
}
