/**
 * Measures how a sidecar's costs grow with the size of the fleet, for docs/CAPACITY.md. Starts control replicas and N
 * sidecars on loopback (without stand-ins: the bench announces {@link TARGETS_PER_SIDECAR} fake targets to each
 * sidecar), lets gossip settle, then samples each sidecar's CPU time, RSS and control bytes over a window. Repeats this
 * for several N; at the last N, it also applies configuration changes and measures the time from acceptance until they
 * are in force at every sidecar. Not a test: `npm run bench:capacity`. BENCH_SIZES sets the sizes (default 8,16,32,48).
 */
import { readFileSync } from "node:fs";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { LocalFleet } from "../scripts/LocalFleet.ts";
import { callUnary } from "../src/common/rpc/callUnary.ts";
import { ControlClient } from "../src/common/rpc/ControlClient.ts";

const SIZES = (process.env.BENCH_SIZES ?? "8,16,32,48").split(",").map(Number);
const TARGETS_PER_SIDECAR = 8;
/** Time for gossip to settle before a measurement, ms. */
const SETTLE_MS = 6000;

/** Length of a measurement, ms. */
const WINDOW_MS = 10_000;
const CHANGES = Number(process.env.BENCH_CHANGES ?? 30);
/** Clock ticks a second in /proc/PID/stat (USER_HZ). */
const TICKS_PER_S = 100;
const DOC = readFileSync(fileURLToPath(new URL("../config/demo.yaml", import.meta.url)), "utf8");

/** Totals of one sidecar's process at one time: CPU in seconds, the others in bytes. */
interface Sample {
  cpuS: number;
  rssB: number;
  gossipB: number;
  configB: number;
}

/** CPU time (user + system) and resident memory of process `pid`, from /proc. */
function procStat(pid: number): { cpuS: number; rssB: number } {
  const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  const ticks = Number(fields[11]) + Number(fields[12]);
  const rssPages = Number(fields[21]);
  return { cpuS: ticks / TICKS_PER_S, rssB: rssPages * 4096 };
}

/** Bytes of gossip and configuration traffic that a sidecar has counted, from its metrics. */
async function controlBytes(adminPort: number): Promise<{ gossip: number; config: number }> {
  const text = await (await fetch(`http://127.0.0.1:${adminPort}/metrics`)).text();
  const read = (kind: string) => {
    const sample = new RegExp(`burdockpass_control_bytes_total\\{kind="${kind}",.*\\} (\\S+)`, "g");
    return [...text.matchAll(sample)].reduce((sum, [, bytes]) => sum + Number(bytes), 0);
  };
  return { gossip: read("gossip"), config: read("config") };
}

async function sampleSidecars(fleet: LocalFleet): Promise<Sample[]> {
  return Promise.all(
    [...fleet.sidecars.values()].map(async (s) => {
      const p = procStat(s.proc.pid ?? 0);
      const b = await controlBytes(s.ports.admin ?? 0);
      return { cpuS: p.cpuS, rssB: p.rssB, gossipB: b.gossip, configB: b.config };
    }),
  );
}

/** Announces the fake targets of every sidecar to its admin API. */
function announceAll(fleet: LocalFleet): void {
  for (const [id, s] of fleet.sidecars) {
    for (let k = 0; k < TARGETS_PER_SIDECAR; k++) {
      void fetch(`http://127.0.0.1:${s.ports.admin ?? 0}/v1/announce`, {
        method: "POST",
        headers: { "content-type": "application/json" },
        body: JSON.stringify({
          targetId: `${id}-t${k}`,
          service: `svc-${k}`,
          url: `http://127.0.0.1:${10_000 + k}`,
          slots: 5,
          state: "ready",
        }),
      }).catch(() => undefined);
    }
  }
}

const sleep = (ms: number) => new Promise((r) => setTimeout(r, ms));
const mean = (xs: number[]) => xs.reduce((a, b) => a + b, 0) / xs.length;
const quantile = (xs: number[], q: number) =>
  [...xs].sort((a, b) => a - b)[Math.min(xs.length - 1, Math.floor(q * xs.length))] ?? 0;

/** Measures the mean costs of a sidecar in a fleet of this size, and prints them as a row of the table. */
async function measureMembership(fleet: LocalFleet): Promise<void> {
  const n = fleet.sidecars.size;
  await sleep(SETTLE_MS);
  const before = await sampleSidecars(fleet);
  const t0 = Date.now();
  await sleep(WINDOW_MS);
  const after = await sampleSidecars(fleet);
  const seconds = (Date.now() - t0) / 1000;
  const perS = (of: (s: Sample) => number) =>
    mean(after.map((x, i) => (of(x) - of(before[i] ?? x)) / seconds));
  const rss = mean(after.map((x) => x.rssB)) / 2 ** 20;
  const statuses = await Promise.all([...fleet.sidecars.values()].map((s) => fleet.status(s)));
  const cells = [
    n,
    n * TARGETS_PER_SIDECAR,
    `${(perS((x) => x.cpuS) * 100).toFixed(2)}%`,
    `${rss.toFixed(1)} MB`,
    perS((x) => x.gossipB).toFixed(0),
    mean(statuses.map((s) => s.members)).toFixed(1),
  ];
  console.log(`| ${cells.join(" | ")} |`);
}

/** Applies changes one after another; resolves with the time at which each was acknowledged, by version. */
async function applyChanges(fleet: LocalFleet): Promise<Map<number, number>> {
  const client = ControlClient(fleet.controlAddress(await fleet.waitForLeader()));
  const acceptedAt = new Map<number, number>();
  for (let v = 1; v <= CHANGES; v++) {
    const document = DOC.replace("timeoutMs: 2000", `timeoutMs: ${2000 + v}`);
    const req = { document, expected_version: v - 1, request_id: `bench-${v}`, version: v };
    const res = await callUnary(client.Apply.bind(client), req, 5000);
    if (res.outcome !== "accepted") {
      throw new Error(`${res.outcome}: ${res.message}`);
    }
    acceptedAt.set(v, Date.now());
    await fleet.waitForVersion(v, 10_000);
  }
  client.close();
  return acceptedAt;
}

/** The time at which each version came into force at one sidecar, by version, from its log. */
function inForceAt(fleet: LocalFleet, id: string): Map<number, number> {
  const inForce = new Map<number, number>();
  for (const line of readFileSync(join(fleet.dir, `sidecar-${id}.log`), "utf8").split("\n")) {
    const m = /"version":(\d+),"msg":"configuration in force","time":"([^"]+)"/.exec(line);
    if (m) {
      inForce.set(Number(m[1]), Date.parse(m[2] ?? ""));
    }
  }
  return inForce;
}

/** Measures how long accepted changes take to be in force, and their costs. */
async function measurePropagation(fleet: LocalFleet): Promise<void> {
  const controls = [...fleet.controls.values()].map((c) => c.proc.pid ?? 0);
  const before = await sampleSidecars(fleet);
  const controlBefore = controls.map(procStat);
  const t0 = Date.now();
  const acceptedAt = await applyChanges(fleet);
  const seconds = (Date.now() - t0) / 1000;
  const after = await sampleSidecars(fleet);
  const controlCpu = controls.map((pid, i) => procStat(pid).cpuS - (controlBefore[i]?.cpuS ?? 0));
  const bytesPerChange = mean(after.map((x, i) => x.configB - (before[i]?.configB ?? 0))) / CHANGES;
  const atOneMs: number[] = [];
  const slowestMs = new Map<number, number>();
  for (const id of fleet.sidecars.keys()) {
    for (const [v, at] of inForceAt(fleet, id)) {
      // A version that is in force before the operator gets the acknowledgement counts as 0.
      const ms = Math.max(0, at - (acceptedAt.get(v) ?? at));
      atOneMs.push(ms);
      slowestMs.set(v, Math.max(slowestMs.get(v) ?? 0, ms));
    }
  }
  const atEveryMs = [...slowestMs.values()];
  const { size } = fleet.sidecars;
  console.log(`config: ${CHANGES} changes, ${size} sidecars, 3 replicas, ${seconds} s`);
  console.log(
    `  accepted -> in force at one: p50 ${quantile(atOneMs, 0.5)}, p99 ${quantile(atOneMs, 0.99)} ms`,
  );
  console.log(
    `  accepted -> in force at every: p50 ${quantile(atEveryMs, 0.5)}, p99 ${quantile(atEveryMs, 0.99)} ms`,
  );
  console.log(`  ${bytesPerChange.toFixed(0)} B per sidecar per change (document ${DOC.length} B)`);
  console.log(
    `  control replicas: CPU ${controlCpu.map((s) => ((s / seconds) * 100).toFixed(1)).join(", ")}%, ` +
      `RSS ${controls.map((pid) => (procStat(pid).rssB / 2 ** 20).toFixed(0)).join(", ")} MB`,
  );
}

console.log("| sidecars | targets | CPU each | RSS each | gossip B/s each | members seen |");
console.log("| --- | --- | --- | --- | --- | --- |");
for (const n of SIZES) {
  const fleet = new LocalFleet({ controls: 3 });
  const ids = Array.from({ length: n }, (_, i) => `n${i}`);
  try {
    await fleet.startSidecarsOnly(
      ids.map((id, i) => ({ id, zone: `zone-${"abcd"[i % 4] ?? "a"}` })),
    );
    const announcer = setInterval(() => {
      announceAll(fleet);
    }, 500);
    announceAll(fleet);
    await measureMembership(fleet);
    if (n === SIZES.at(-1)) {
      await measurePropagation(fleet);
    }
    clearInterval(announcer);
  } finally {
    await fleet.stop();
  }
}
