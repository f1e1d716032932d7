/**
 * Measures the processor time of each sidecar, and of all control replicas, in the phases of a fleet's life: its start,
 * the application of a document with {@link ROUTES} routes, a document change of one route, seconds without requests,
 * and a restart of all sidecars at once. Programs are compiled and run with V8's code cache and Node's flags, as in production; the bench
 * announces the targets, so the processes are the sidecars and the control replicas alone. Not a test:
 * `npm run bench:phases`. BENCH_SIZES sets the numbers of sidecars (default 70). With BENCH_PROFILE set
 * to a folder, the processes write CPU profiles there, which `bench/profileTable.ts` summarizes.
 */
import { mkdirSync, readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { parse } from "yaml";
import { NODE_FLAGS } from "../platform/NODE_FLAGS.ts";
import type { FleetProcess } from "../scripts/FleetProcess.ts";
import { LocalFleet } from "../scripts/LocalFleet.ts";
import { callUnary } from "../src/common/rpc/callUnary.ts";
import { ControlClient } from "../src/common/rpc/ControlClient.ts";
import { profileArgs } from "./profileArgs.ts";

const SIZES = (process.env.BENCH_SIZES ?? "70").split(",").map(Number);

/** Routes of the largest change on the day that was measured in production. */
const ROUTES = Number(process.env.BENCH_ROUTES ?? 1052);
const PROFILE_DIR = process.env.BENCH_PROFILE;

/** Time for which the processor time of a start or of a change is counted, ms: it includes the gossip that follows. */
const SETTLE_MS = 4000;
const IDLE_WINDOW_MS = 10_000;
const SMALL_CHANGES = 5;

/** Interval of the targets' announcements on the hosting platform, ms. */
const ANNOUNCE_MS = 1500;

/** Clock ticks a second in /proc/PID/stat (USER_HZ). */
const TICKS_PER_S = 100;

/** Makes a daemon write V8's code cache when it exits; see runCached. */
const WRITE_CACHE = "BURDOCKPASS_WRITE_CODE_CACHE";
const DOC = parse(
  readFileSync(fileURLToPath(new URL("../config/demo.yaml", import.meta.url)), "utf8"),
) as { routes?: object[] };

const sleep = (ms: number) => new Promise((r) => setTimeout(r, ms));

/** Processor time of a process since its start, s; 0 before it exists. */
function cpuSeconds({ proc }: FleetProcess): number {
  const stat = readFileSync(`/proc/${proc.pid ?? 0}/stat`, "utf8");
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  return (Number(fields[11]) + Number(fields[12])) / TICKS_PER_S;
}

/** Processor time of all processes of a kind, s. */
const total = (processes: ReadonlyMap<string, FleetProcess>): number =>
  [...processes.values()].reduce((sum, p) => sum + cpuSeconds(p), 0);

/** The demo's document with `count` routes, the last of which has another timeout in each `revision`. */
function documentWith(count: number, revision: number): string {
  const routes = Array.from({ length: count }, (_, n) => ({
    name: `route-${n}`,
    host: `host-${n % 40}.example`,
    prefix: `/bulk/${n}/`,
    idempotent: n % 2 === 0,
    timeoutMs: n === count - 1 ? 4000 + revision : 4000,
    attempts: 2,
    priority: 1,
    objectiveMs: 800,
    service: "glenbrae-availability",
  }));
  return JSON.stringify({ ...DOC, routes });
}

async function apply(fleet: LocalFleet, version: number, routes: number): Promise<void> {
  const client = ControlClient(fleet.controlAddress(await fleet.waitForLeader()));
  const req = {
    document: documentWith(routes, version),
    expected_version: version - 1,
    request_id: `bench-${version}`,
    version,
  };
  const res = await callUnary(client.Apply.bind(client), req, 10_000);
  client.close();
  if (res.outcome === "not-leader") {
    await apply(fleet, version, routes); // The leader has changed since, as on a busy machine.
  } else if (res.outcome !== "accepted") {
    throw new Error(`${res.outcome}: ${res.message}`);
  }
}

/** Announces one target at each sidecar. */
async function announce(fleet: LocalFleet): Promise<void> {
  const all = [...fleet.sidecars].map(async ([id, { ports }], n) => {
    const body = {
      targetId: id,
      service: n % 3 === 0 ? "glenbrae-availability" : "glenbrae-bookings",
      url: "http://127.0.0.1:9",
      slots: 6,
      state: "ready",
    };
    const url = `http://127.0.0.1:${ports.admin ?? 0}/v1/announce`;
    const headers = { "content-type": "application/json" };
    await fetch(url, { method: "POST", headers, body: JSON.stringify(body) });
  });
  await Promise.allSettled(all);
}

/** Whether the fleets only write the code cache. */
let isWarmingUp = true;

const nodeArgs = profileArgs(["sidecar-t-0", "control-1"]);

const startFleet = async (count: number): Promise<LocalFleet> => {
  const fleet = new LocalFleet({
    controls: 5,
    traces: false,
    sidecarDisks: false,
    joinsThroughControl: true,
    nodeArgs: (name) => [...NODE_FLAGS, ...(isWarmingUp ? [] : nodeArgs(name))],
    sidecarSettings: { gossipIntervalMs: 1000, announceTimeoutMs: 4 * ANNOUNCE_MS },
  });
  const ids = Array.from({ length: count }, (_, n) => ({
    id: `t-${n}`,
    zone: `zone-${"abc"[n % 3] ?? "a"}`,
  }));
  try {
    await fleet.startSidecarsOnly(ids);
  } catch (err) {
    await fleet.stop();
    throw err;
  }
  return fleet;
};

/** Runs small fleets whose processes write the code cache, which all later ones use. */
async function writeCodeCache(): Promise<void> {
  process.env[WRITE_CACHE] = "1";
  for (let round = 0; round < 2; round++) {
    const fleet = await startFleet(2);
    await apply(fleet, 1, 3);
    await fleet.waitForVersion(1);
    await announce(fleet);
    await fleet.waitForTargets(2);
    await fleet.stop();
  }
  // eslint-disable-next-line @typescript-eslint/no-dynamic-delete -- an environment variable cannot be set to undefined
  delete process.env[WRITE_CACHE];
}

/** The times at which the phases began, for the profiles: ms since the epoch. */
const phases: { name: string; at: number }[] = [];

/** Runs a phase, and returns the processor time that it took: of each sidecar, and of all control replicas, s. */
async function measurePhase(
  fleet: LocalFleet,
  name: string,
  run: () => Promise<void> | void,
  settleMs = SETTLE_MS,
): Promise<void> {
  phases.push({ name, at: Date.now() });
  const before = { sidecars: total(fleet.sidecars), controls: total(fleet.controls) };
  const startedAt = Date.now();
  await run();
  await sleep(settleMs);
  printPhase(fleet, name, Date.now() - startedAt, before);
}

function printPhase(
  fleet: LocalFleet,
  name: string,
  ms: number,
  before: { sidecars: number; controls: number },
): void {
  const cells = [
    fleet.sidecars.size,
    name,
    `${(ms / 1000).toFixed(1)} s`,
    `${(((total(fleet.sidecars) - before.sidecars) / fleet.sidecars.size) * 1000).toFixed(0)} ms`,
    `${((total(fleet.controls) - before.controls) * 1000).toFixed(0)} ms`,
  ];
  console.log(`| ${cells.join(" | ")} |`);
}

async function restartSidecars(fleet: LocalFleet): Promise<void> {
  const ids = [...fleet.sidecars.keys()];
  // A process that is killed writes no profile.
  await Promise.all(
    ids.map((id) => (PROFILE_DIR && id === "t-0" ? fleet.stopSidecar(id) : fleet.killSidecar(id))),
  );
  phases.push({ name: "start after a kill", at: Date.now() });
  const startedAt = Date.now();
  const before = { sidecars: 0, controls: total(fleet.controls) };
  await Promise.all(ids.map((id) => fleet.restartSidecar(id)));
  await sleep(SETTLE_MS);
  printPhase(fleet, "restart of all", Date.now() - startedAt, before);
}

async function measure(count: number): Promise<void> {
  phases.push({ name: "start", at: Date.now() });
  const startedAt = Date.now();
  const fleet = await startFleet(count);
  const heartbeats = setInterval(() => void announce(fleet), ANNOUNCE_MS);
  try {
    await sleep(SETTLE_MS);
    printPhase(fleet, "start", Date.now() - startedAt, { sidecars: 0, controls: 0 });
    await measurePhase(fleet, "first document", async () => {
      await apply(fleet, 1, 3);
    });
    await measurePhase(fleet, `change that adds ${ROUTES} routes`, () => apply(fleet, 2, ROUTES));
    await measurePhase(fleet, `${SMALL_CHANGES} changes of one route`, async () => {
      for (let n = 0; n < SMALL_CHANGES; n++) {
        await apply(fleet, 3 + n, ROUTES);
        await sleep(1000);
      }
    });
    await measurePhase(fleet, "idle", () => undefined, IDLE_WINDOW_MS);
    await restartSidecars(fleet);
    await measurePhase(fleet, "idle after the restart", () => undefined, IDLE_WINDOW_MS);
  } finally {
    clearInterval(heartbeats);
    await fleet.stop();
  }
}

await writeCodeCache();
isWarmingUp = false;
if (PROFILE_DIR) {
  mkdirSync(PROFILE_DIR, { recursive: true });
}
console.log("| sidecars | phase | lasts | each sidecar | all control replicas |");
console.log("| --- | --- | --- | --- | --- |");
for (const size of SIZES) {
  await measure(size);
}
if (PROFILE_DIR) {
  writeFileSync(join(PROFILE_DIR, "phases.json"), JSON.stringify(phases));
}
