/**
 * Measures the processor time of sidecars by the size of the fleet: of a start, of a second without requests, and of a
 * caller's request at all sidecars together. Half of the requests are bookings whose runs make a nested lookup. Not a
 * test: `npm run bench:cpu`. BENCH_SIZES sets the numbers of sidecars (default 8,30), BENCH_RATE the requests a second
 * to each sidecar (default 2.5). With BENCH_PROFILE set to a folder, a sidecar and a control replica write CPU profiles
 * there, which `bench/profileTable.ts` summarizes.
 */
import { readFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { LocalFleet, type FleetTarget } from "../scripts/LocalFleet.ts";
import { profileArgs } from "./profileArgs.ts";

const SIZES = (process.env.BENCH_SIZES ?? "8,30").split(",").map(Number);
const RATE_PER_S = Number(process.env.BENCH_RATE ?? 2.5);

/** Time for the fleet to become quiet after its start, ms. */
const SETTLE_MS = 4000;
const IDLE_WINDOW_MS = 10_000;
const LOADED_WINDOW_MS = 15_000;

/** Load before the measurement, during which functions are compiled, ms. */
const WARM_UP_MS = 5000;

/** Clock ticks a second in /proc/PID/stat (USER_HZ). */
const TICKS_PER_S = 100;
const DOC = fileURLToPath(new URL("../config/demo.yaml", import.meta.url));
const BODY = JSON.stringify({ van: 7, note: "x".repeat(1200) });

const sleep = (ms: number) => new Promise((r) => setTimeout(r, ms));

/** A third of the targets are of the service that the others' runs call. */
const targetsOf = (count: number): FleetTarget[] =>
  Array.from({ length: count }, (_, n) => ({
    id: `t-${n}`,
    service: n % 3 === 0 ? "glenbrae-availability" : "glenbrae-bookings",
    zone: `zone-${"abcd"[n % 4] ?? "a"}`,
    slots: 8,
    workMs: 100,
  }));

/** Processor time of all sidecars since their starts, s. */
function sidecarSeconds(fleet: LocalFleet): number {
  return [...fleet.sidecars.values()].reduce((sum, { proc }) => {
    const stat = readFileSync(`/proc/${proc.pid ?? 0}/stat`, "utf8");
    const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
    return sum + (Number(fields[11]) + Number(fields[12])) / TICKS_PER_S;
  }, 0);
}

async function send(port: number, isBooking: boolean): Promise<boolean> {
  const path = isBooking ? "/glenbrae/bookings/van" : "/glenbrae/availability/x";
  const init = isBooking ? { method: "POST", body: BODY } : {};
  try {
    const res = await fetch(`http://127.0.0.1:${port}${path}`, init);
    await res.arrayBuffer();
    return res.status === 200;
  } catch {
    return false;
  }
}

/** Sends requests to all sidecars in turn for `ms`; returns how many were sent and served. */
async function load(fleet: LocalFleet, ms: number): Promise<{ sent: number; served: number }> {
  const ports = [...fleet.sidecars.values()].map((s) => s.ports.caller ?? 0);
  const gapMs = 1000 / (RATE_PER_S * ports.length);
  const pending: Promise<boolean>[] = [];
  const startedAt = performance.now();
  for (let n = 0; performance.now() - startedAt < ms; n++) {
    pending.push(send(ports[n % ports.length] ?? 0, n % 2 === 0));
    await sleep(Math.max(0, startedAt + (n + 1) * gapMs - performance.now()));
  }
  const results = await Promise.all(pending);
  return { sent: results.length, served: results.filter((isServed) => isServed).length };
}

async function measure(count: number): Promise<void> {
  const fleet = new LocalFleet({
    controls: 3,
    traces: false,
    nodeArgs: profileArgs(["sidecar-t-1", "control-1"]),
    sidecarSettings: { gossipIntervalMs: 1000 },
    standInArgs: (id, ports) =>
      Number(id.slice(2)) % 3 === 0
        ? []
        : [`--call-port=${ports.caller ?? 0}`, "--call-path=/glenbrae/availability/y"],
  });
  try {
    await fleet.start(targetsOf(count));
    await fleet.apply(DOC);
    await fleet.waitForVersion(1);
    await fleet.waitForTargets(count);
    const startS = sidecarSeconds(fleet) / count;
    await sleep(SETTLE_MS);
    const idleFrom = sidecarSeconds(fleet);
    await sleep(IDLE_WINDOW_MS);
    const idlePerS = (sidecarSeconds(fleet) - idleFrom) / (IDLE_WINDOW_MS / 1000);
    await load(fleet, WARM_UP_MS);
    const loadedFrom = sidecarSeconds(fleet);
    const startedAt = performance.now();
    const { sent, served } = await load(fleet, LOADED_WINDOW_MS);
    const seconds = (performance.now() - startedAt) / 1000;
    const used = sidecarSeconds(fleet) - loadedFrom - idlePerS * seconds;
    const cells = [
      count,
      `${startS.toFixed(2)} s`,
      `${((idlePerS / count) * 100).toFixed(2)}%`,
      `${((used / sent) * 1000).toFixed(2)} ms`,
      `${served} of ${sent}`,
    ];
    console.log(`| ${cells.join(" | ")} |`);
  } finally {
    await fleet.stop();
  }
}

console.log(
  "| sidecars | start, each | idle, of a core, each | a request, all sidecars | served |",
);
console.log("| --- | --- | --- | --- | --- |");
for (const size of SIZES) {
  await measure(size);
}
