/**
 * Measures what the operators' document costs to distribute, by the size of the fleet, for docs/CAPACITY.md: the bytes
 * that one sidecar sends and receives for it, in all and across zones, the time until it is in force everywhere, and the
 * processor time of the control replicas. Three things happen one after another: a change that adds {@link ROUTES}
 * routes, {@link SMALL_CHANGES} changes of one service, and a loss of power, after which all processes start again and the
 * sidecars, which have no disks, need the whole document. Not a test: `npm run bench:document`. BENCH_SIZES sets the
 * numbers of sidecars (default 6,12,24).
 */
import { readFileSync } from "node:fs";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { parse, stringify } from "yaml";
import type { FleetProcess } from "../scripts/FleetProcess.ts";
import { LocalFleet } from "../scripts/LocalFleet.ts";
import { callUnary } from "../src/common/rpc/callUnary.ts";
import { ControlClient } from "../src/common/rpc/ControlClient.ts";

const SIZES = (process.env.BENCH_SIZES ?? "6,12,24").split(",").map(Number);
const ROUTES = 1052;
const SMALL_CHANGES = 10;
const CONTROLS = 5;
const ZONES = 3;

/** Time for gossip and watches to settle before a measurement, ms. */
const SETTLE_MS = 4000;

/** Time for late messages about a change to arrive before its bytes are read, ms. */
const LATE_MS = 1500;

/** Clock ticks a second in /proc/PID/stat (USER_HZ). */
const TICKS_PER_S = 100;
const DEMO = readFileSync(fileURLToPath(new URL("../config/demo.yaml", import.meta.url)), "utf8");
const sleep = (ms: number) => new Promise((r) => setTimeout(r, ms));
const zoneOf = (n: number) => `zone-${"abc"[n % ZONES] ?? "a"}`;
const mean = (xs: readonly number[]) => xs.reduce((a, b) => a + b, 0) / xs.length;

/** The demo document with `count` further routes, which differ as those of real operators do. */
function withRoutes(count: number): string {
  const document = parse(DEMO) as { services: { name: string }[] };
  const routes = Array.from({ length: count }, (_, n) => ({
    name: `route-${n}-${((n * 2654435761) % 2 ** 32).toString(16)}`,
    host: `team-${n % 74}.example.net`,
    prefix: `/v${n % 3}/collections/${(n * 40503) % 65536}/items`,
    idempotent: n % 2 === 0,
    timeoutMs: 2000 + 500 * (n % 13),
    attempts: 1 + (n % 3),
    priority: n % 4,
    objectiveMs: 400 + 100 * (n % 9),
    service: document.services[n % document.services.length]?.name,
  }));
  return stringify({ ...document, routes });
}

/** Bytes that one sidecar sent and received for the document. */
interface Traffic {
  readonly total: number;
  readonly crossZone: number;
}

/** Bytes for the document since a sidecar's start, from its metrics. */
async function documentBytes(s: FleetProcess): Promise<Traffic> {
  const text = await (await fetch(`http://127.0.0.1:${s.ports.admin ?? 0}/metrics`)).text();
  const read = (zone: string) => {
    const sample = `burdockpass_control_bytes_total\\{kind="config",zone="${zone}"\\} (\\S+)`;
    return Number(new RegExp(sample).exec(text)?.[1] ?? 0);
  };
  return { total: read("same") + read("other"), crossZone: read("other") };
}

/** Mean traffic of the sidecars since their starts. */
async function meanTraffic(fleet: LocalFleet): Promise<Traffic> {
  const all = await Promise.all([...fleet.sidecars.values()].map(documentBytes));
  return { total: mean(all.map((t) => t.total)), crossZone: mean(all.map((t) => t.crossZone)) };
}

/** Processor time of the control replicas since their starts, s. */
function controlSeconds(fleet: LocalFleet): number {
  return [...fleet.controls.values()].reduce((sum, { proc }) => {
    const stat = readFileSync(`/proc/${proc.pid ?? 0}/stat`, "utf8");
    const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
    return sum + (Number(fields[11]) + Number(fields[12])) / TICKS_PER_S;
  }, 0);
}

/** Applies a document at the leader, again if that has just changed; resolves with the time of the acknowledgement. */
async function apply(fleet: LocalFleet, document: string, version: number): Promise<number> {
  const client = ControlClient(fleet.controlAddress(await fleet.waitForLeader()));
  const req = { document, expected_version: version - 1, request_id: `b-${version}`, version };
  const res = await callUnary(client.Apply.bind(client), req, 15_000);
  client.close();
  if (res.outcome === "not-leader" || res.outcome === "unknown") {
    await sleep(200);
    return apply(fleet, document, version);
  }
  if (res.outcome !== "accepted") {
    throw new Error(`${res.outcome}: ${res.message}`);
  }
  return Date.now();
}

/** The latest time at which `version` came into force at a sidecar, from the logs. */
function lastInForce(fleet: LocalFleet, version: number): number {
  const pattern = new RegExp(`"version":${version},.*"configuration in force","time":"([^"]+)"`);
  const times = [...fleet.sidecars.values()].map(({ name }) => {
    const log = readFileSync(join(fleet.dir, `${name}.log`), "utf8");
    return Math.max(...log.split("\n").map((l) => Date.parse(pattern.exec(l)?.[1] ?? "") || 0));
  });
  return Math.max(...times);
}

function printRow(fleet: LocalFleet, what: string, t: Traffic, ms: number, cpuS: number): void {
  const cells = [
    fleet.sidecars.size,
    what,
    t.total.toFixed(0),
    t.crossZone.toFixed(0),
    ms.toFixed(0),
    cpuS.toFixed(2),
  ];
  console.log(`| ${cells.join(" | ")} |`);
}

/** Applies `documents` one after another from version `first` on, and prints the costs of one of them. */
async function measureChanges(
  fleet: LocalFleet,
  what: string,
  documents: readonly string[],
  first: number,
): Promise<void> {
  await sleep(SETTLE_MS);
  const before = await meanTraffic(fleet);
  const cpuBefore = controlSeconds(fleet);
  const delays: number[] = [];
  for (const [n, document] of documents.entries()) {
    const acceptedAt = await apply(fleet, document, first + n);
    await fleet.waitForVersion(first + n);
    // A version that is in force before the acknowledgement arrives counts as 0.
    delays.push(Math.max(0, lastInForce(fleet, first + n) - acceptedAt));
  }
  await sleep(LATE_MS);
  const after = await meanTraffic(fleet);
  const perChange = (of: (t: Traffic) => number) => (of(after) - of(before)) / documents.length;
  const traffic = { total: perChange((t) => t.total), crossZone: perChange((t) => t.crossZone) };
  const cpuS = (controlSeconds(fleet) - cpuBefore) / documents.length;
  printRow(fleet, what, traffic, mean(delays), cpuS);
}

/** Kills all processes at once, starts them again, and prints what that costs; the time counts from the first start. */
async function measurePowerLoss(fleet: LocalFleet, version: number): Promise<void> {
  const controls = [...fleet.controls.keys()];
  const sidecars = [...fleet.sidecars.keys()];
  await Promise.all([
    ...controls.map((id) => fleet.killControl(id)),
    ...sidecars.map((id) => fleet.killSidecar(id)),
  ]);
  const startedAt = Date.now();
  await Promise.all([
    ...controls.map((id) => fleet.restartControl(id)),
    ...sidecars.map((id) => fleet.restartSidecar(id)),
  ]);
  await fleet.waitForVersion(version, 30_000);
  const ms = lastInForce(fleet, version) - startedAt;
  await sleep(LATE_MS);
  printRow(fleet, "loss of power", await meanTraffic(fleet), ms, controlSeconds(fleet));
}

console.log(`document with ${ROUTES} more routes: ${withRoutes(ROUTES).length} B of YAML`);
console.log("| sidecars | what | B each | across zones | ms until in force | control CPU, s |");
console.log("| --- | --- | --- | --- | --- | --- |");
for (const n of SIZES) {
  const fleet = new LocalFleet({
    controls: CONTROLS,
    controlZones: ZONES,
    joinsThroughControl: true,
    sidecarDisks: false,
    traces: false,
  });
  try {
    await fleet.startSidecarsOnly(
      Array.from({ length: n }, (_, i) => ({ id: `n${i}`, zone: zoneOf(i) })),
    );
    await apply(fleet, DEMO, 1);
    await fleet.waitForVersion(1);
    const large = withRoutes(ROUTES);
    await measureChanges(fleet, `${ROUTES} routes added`, [large], 2);
    const small = Array.from({ length: SMALL_CHANGES }, (_, k) =>
      large.replace("timeoutMs: 2000", `timeoutMs: ${2001 + k}`),
    );
    await measureChanges(fleet, "one service changed", small, 3);
    await measurePowerLoss(fleet, 2 + SMALL_CHANGES);
  } finally {
    await fleet.stop();
  }
}
