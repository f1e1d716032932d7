/**
 * Slopes for docs/CAPACITY.md: starts control and N sidecars on loopback
 * (no stand-in processes: the bench announces K fake targets to each
 * sidecar), lets gossip settle, then samples each sidecar's CPU, RSS and
 * control bytes over a window. Repeats for several N, then at the largest N
 * applies config changes and times accept → in force at every sidecar.
 * Not a test: `npm run bench:capacity`. Sizes by BENCH_SIZES (default 8,16,32,48).
 */
import { readFileSync } from "node:fs";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { LocalFleet } from "../scripts/LocalFleet.ts";
import { ControlClient } from "../src/common/ControlClient.ts";

const SIZES = (process.env.BENCH_SIZES ?? "8,16,32,48").split(",").map(Number);
const TARGETS_PER_SIDECAR = 8;
const SETTLE_MS = 6000;
const WINDOW_MS = 10_000;
const CHANGES = Number(process.env.BENCH_CHANGES ?? 30);
const TICKS_PER_S = 100;
const DOC = readFileSync(fileURLToPath(new URL("../config/demo.yaml", import.meta.url)), "utf8");

interface Sample {
  cpuS: number;
  rssB: number;
  gossipB: number;
  configB: number;
}

function procStat(pid: number): { cpuS: number; rssB: number } {
  const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  const ticks = Number(fields[11]) + Number(fields[12]);
  const rssPages = Number(fields[21]);
  return { cpuS: ticks / TICKS_PER_S, rssB: rssPages * 4096 };
}

async function bytes(adminPort: number): Promise<{ gossip: number; config: number }> {
  const text = await (await fetch(`http://127.0.0.1:${adminPort}/metrics`)).text();
  const read = (kind: string) =>
    Number(
      new RegExp(`burdockpass_control_bytes_total\\{kind="${kind}"\\} (\\S+)`).exec(text)?.[1] ?? 0,
    );
  return { gossip: read("gossip"), config: read("config") };
}

async function sample(fleet: LocalFleet): Promise<Sample[]> {
  return Promise.all(
    [...fleet.sidecars.values()].map(async (s) => {
      const p = procStat(s.proc.pid ?? 0);
      const b = await bytes(s.ports.admin ?? 0);
      return { cpuS: p.cpuS, rssB: p.rssB, gossipB: b.gossip, configB: b.config };
    }),
  );
}

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

const mean = (xs: number[]) => xs.reduce((a, b) => a + b, 0) / xs.length;
const quantile = (xs: number[], q: number) =>
  [...xs].sort((a, b) => a - b)[Math.min(xs.length - 1, Math.floor(q * xs.length))] ?? 0;

console.log(`sidecars  targets  cpu%/sidecar  rssMB/sidecar  gossipB/s/sidecar  members seen`);
for (const n of SIZES) {
  const fleet = new LocalFleet();
  const ids = Array.from({ length: n }, (_, i) => `n${i}`);
  await fleet.startSidecarsOnly(ids.map((id, i) => ({ id, zone: `zone-${"abcd"[i % 4] ?? "a"}` })));
  const announcer = setInterval(() => {
    announceAll(fleet);
  }, 500);
  announceAll(fleet);
  await new Promise((r) => setTimeout(r, SETTLE_MS));
  const before = await sample(fleet);
  const t0 = Date.now();
  await new Promise((r) => setTimeout(r, WINDOW_MS));
  const after = await sample(fleet);
  const seconds = (Date.now() - t0) / 1000;
  const cpu = mean(after.map((a, i) => (a.cpuS - (before[i]?.cpuS ?? 0)) / seconds)) * 100;
  const rss = mean(after.map((a) => a.rssB)) / 2 ** 20;
  const gossip = mean(after.map((a, i) => (a.gossipB - (before[i]?.gossipB ?? 0)) / seconds));
  const members = mean(
    await Promise.all(
      [...fleet.sidecars.values()].map(async (s) => (await fleet.status(s)).members),
    ),
  );
  console.log(
    `${String(n).padStart(8)}  ${String(n * TARGETS_PER_SIDECAR).padStart(7)}  ${cpu.toFixed(2).padStart(12)}  ${rss.toFixed(1).padStart(13)}  ${gossip.toFixed(0).padStart(17)}  ${members.toFixed(1)}`,
  );

  if (n === SIZES.at(-1)) {
    const client = ControlClient(fleet.controlAddresses[0] ?? "");
    const spreadMs: number[] = [];
    const configBefore = await sample(fleet);
    const c0 = Date.now();
    for (let v = 1; v <= CHANGES; v++) {
      const doc = DOC.replace("timeoutMs: 2000", `timeoutMs: ${2000 + v}`);
      await new Promise<number>((resolve, reject) => {
        client.Apply(
          { document: doc, expected_version: v - 1, request_id: `bench-${v}` },
          { deadline: Date.now() + 5000 },
          (err) => {
            if (err) reject(err);
            else resolve(Date.now());
          },
        );
      });
      await fleet.waitForVersion(v, 10_000);
    }
    const configAfter = await sample(fleet);
    const perSidecarBytes =
      mean(configAfter.map((a, i) => a.configB - (configBefore[i]?.configB ?? 0))) / CHANGES;
    // In force times from each sidecar's own log line, against control's accept log line.
    const acceptAt = new Map<number, number>();
    for (const line of readFileSync(join(fleet.dir, "control.log"), "utf8").split("\n")) {
      const m = /"outcome":\{"kind":"accepted","version":(\d+)\}.*"time":"([^"]+)"/.exec(line);
      if (m) acceptAt.set(Number(m[1]), Date.parse(m[2] ?? ""));
    }
    const lastInForce = new Map<number, number>();
    for (const id of ids) {
      for (const line of readFileSync(join(fleet.dir, `sidecar-${id}.log`), "utf8").split("\n")) {
        const m = /"version":(\d+),"msg":"configuration in force","time":"([^"]+)"/.exec(line);
        if (m) {
          const v = Number(m[1]);
          const at = Date.parse(m[2] ?? "");
          spreadMs.push(at - (acceptAt.get(v) ?? at));
          lastInForce.set(v, Math.max(lastInForce.get(v) ?? 0, at - (acceptAt.get(v) ?? at)));
        }
      }
    }
    const everywhere = [...lastInForce.values()];
    console.log(`config: ${CHANGES} changes, ${n} sidecars, ${(Date.now() - c0) / 1000} s`);
    console.log(
      `  accept -> in force at one sidecar: p50 ${quantile(spreadMs, 0.5)} ms, p99 ${quantile(spreadMs, 0.99)} ms`,
    );
    console.log(
      `  accept -> in force at every sidecar: p50 ${quantile(everywhere, 0.5)} ms, p99 ${quantile(everywhere, 0.99)} ms`,
    );
    console.log(
      `  config bytes per sidecar per change: ${perSidecarBytes.toFixed(0)} (document ${Buffer.byteLength(DOC)} B)`,
    );
    client.close();
  }
  clearInterval(announcer);
  await fleet.stop();
}
