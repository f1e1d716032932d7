/**
 * Measures the latency that the proxy adds: calls the same stand-in target (work time 0) directly, then through its
 * sidecar, one request at a time, on loopback. Prints p50, p99 and p99.9 in ms for both, and their differences.
 * Not a test: run with `npm run bench:latency`.
 */
import * as hdr from "hdr-histogram-js";
import { Pool } from "undici";
import { readFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { LocalFleet } from "../scripts/LocalFleet.ts";

/** Measured requests per path, after {@link WARMUP} that are not measured. */
const REQUESTS = Number(process.env.BENCH_REQUESTS ?? 5000);
const WARMUP = 500;
/** Clock ticks a second in /proc/PID/stat (USER_HZ). */
const TICKS_PER_S = 100;
const DOC = fileURLToPath(new URL("../config/demo.yaml", import.meta.url));

/** Latencies of GET requests for `path`, µs. */
async function measure(origin: string, path: string): Promise<hdr.Histogram> {
  const pool = new Pool(origin, { connections: 1 });
  const histogram = hdr.build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 10_000_000,
    numberOfSignificantValueDigits: 3,
  });
  for (let i = 0; i < WARMUP + REQUESTS; i++) {
    const t0 = process.hrtime.bigint();
    const res = await pool.request({ method: "GET", path });
    await res.body.arrayBuffer();
    const us = Number(process.hrtime.bigint() - t0) / 1000;
    if (i >= WARMUP) {
      histogram.recordValue(Math.round(us));
    }
  }
  await pool.close();
  return histogram;
}

/** CPU seconds (user + system) that process `pid` has used, from /proc. */
function cpuSeconds(pid: number): number {
  const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  return (Number(fields[11]) + Number(fields[12])) / TICKS_PER_S;
}

const ms = (h: hdr.Histogram, q: number) => (h.getValueAtPercentile(q) / 1000).toFixed(3);

const fleet = new LocalFleet();
try {
  await fleet.start([
    { id: "results-0", service: "oljelab-results", zone: "zone-a", slots: 5, workMs: 0 },
  ]);
  await fleet.apply(DOC);
  await fleet.waitForVersion(1);
  await fleet.waitForTargets(1);
  const target = fleet.targets.get("results-0")?.ports.http ?? 0;
  const sidecar = fleet.sidecars.get("results-0")?.ports.caller ?? 0;
  const path = "/oljelab/results/t-17/dga";
  const direct = await measure(`http://127.0.0.1:${target}`, path);
  const sidecarPid = fleet.sidecars.get("results-0")?.proc.pid ?? 0;
  const cpu0 = cpuSeconds(sidecarPid);
  const proxied = await measure(`http://127.0.0.1:${sidecar}`, path);
  const cpuPerRequestUs = ((cpuSeconds(sidecarPid) - cpu0) / (WARMUP + REQUESTS)) * 1e6;
  console.log(`requests: ${REQUESTS} each, one at a time, loopback, target work time 0`);
  console.log(`              p50 ms   p99 ms   p99.9 ms`);
  console.log(`direct        ${ms(direct, 50)}    ${ms(direct, 99)}    ${ms(direct, 99.9)}`);
  console.log(`via sidecar   ${ms(proxied, 50)}    ${ms(proxied, 99)}    ${ms(proxied, 99.9)}`);
  const added = (q: number) =>
    ((proxied.getValueAtPercentile(q) - direct.getValueAtPercentile(q)) / 1000).toFixed(3);
  console.log(`added         ${added(50)}    ${added(99)}    ${added(99.9)}`);
  console.log(
    `sidecar CPU per proxied request: ${cpuPerRequestUs.toFixed(0)} µs (gossip and timers included)`,
  );
} finally {
  await fleet.stop();
}
