/**
 * The main job on its embedded default: starts a small local fleet as
 * separate processes on loopback (control, and a stand-in target with its
 * sidecar for each of 12 targets), applies config/demo.yaml through the CLI,
 * sends a stream of lookups and bookings through the sidecars, and prints
 * what was served.
 */
import { fileURLToPath } from "node:url";
import { LocalFleet } from "./LocalFleet.ts";
import { demoTargets } from "./demoTargets.ts";

const REQUESTS = Number(process.env.DEMO_REQUESTS ?? 400);
const CONCURRENCY = 16;
const DOC = fileURLToPath(new URL("../config/demo.yaml", import.meta.url));

const CALLS: readonly { method: string; path: string }[] = [
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
    `fleet ready: ${fleet.sidecars.size} sidecars, ${fleet.targets.size} stand-in targets, 1 control`,
  );
  const callerPorts = [...fleet.sidecars.values()].map((s) => s.ports.caller ?? 0);
  const tally = new Map<string, number>();
  let ownAnswers = 0;
  let next = 0;
  const worker = async () => {
    while (next < REQUESTS) {
      const n = next++;
      const call = CALLS[n % CALLS.length] ?? CALLS[0];
      const port = callerPorts[n % callerPorts.length];
      if (!call) return;
      const res = await fetch(`http://127.0.0.1:${port}${call.path}`, {
        method: call.method,
        headers: { "x-caller-tag": `caller-${n}` },
        body: call.method === "POST" ? JSON.stringify({ n }) : undefined,
      });
      const body = (await res.json()) as { tag?: string };
      const verdict = res.headers.get("x-burdockpass-verdict") ?? "none";
      if (body.tag === `caller-${n}`) ownAnswers += 1;
      const key = `${call.method} ${call.path.split("/").slice(0, 4).join("/")} -> ${res.status} ${verdict}`;
      tally.set(key, (tally.get(key) ?? 0) + 1);
    }
  };
  const t0 = performance.now();
  await Promise.all(Array.from({ length: CONCURRENCY }, worker));
  const ms = performance.now() - t0;
  for (const [key, count] of [...tally].sort())
    console.log(`  ${String(count).padStart(5)}  ${key}`);
  console.log(
    `served ${REQUESTS} requests in ${ms.toFixed(0)} ms; ${ownAnswers} callers got their own answer`,
  );
} finally {
  await fleet.stop();
}
