import { readFileSync } from "node:fs";
import { join } from "node:path";
import test from "ava";
import type { FleetTarget, LocalFleet } from "../scripts/LocalFleet.ts";
import { withFleet } from "./fixtures/withFleet.ts";

const TARGET_COUNT = 10;

/** Lookups a second, and the time that each takes at a target, ms: the targets have slots for ten times as many. */
const LOOKUPS_PER_SECOND = 50;
const WORK_MS = 60;

/** Every `intervalMs`, `count` targets are killed; each is started again after `downMs`. */
const KILLS = { intervalMs: 3500, count: 3, downMs: 1500 };

const LOAD_MS = 15_000;

/** Share of lookups that must be served beside such kills while half of the slots are free: the stated target. */
const MIN_SERVED = 0.99;

/** Slots of each target: as many requests may be on their way to it when it is found to have ended. */
const SLOTS = 4;

const TARGETS: readonly FleetTarget[] = Array.from({ length: TARGET_COUNT }, (_, n) => ({
  id: `avail-${n}`,
  service: "glenbrae-availability",
  zone: `zone-${"abc"[n % 3] ?? "a"}`,
  slots: SLOTS,
  workMs: WORK_MS,
}));

const sleep = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms));

/** Sends lookups through all sidecars in turn for `loadMs`; resolves with the statuses and bodies. */
async function sendLookups(
  fleet: LocalFleet,
  loadMs = LOAD_MS,
): Promise<{ status: number; text: string }[]> {
  const ports = [...fleet.sidecars.values()].map((s) => s.ports.caller ?? 0);
  const results: Promise<{ status: number; text: string }>[] = [];
  const startedAt = Date.now();
  for (let n = 0; Date.now() - startedAt < loadMs; n++) {
    const url = `http://127.0.0.1:${ports[n % ports.length] ?? 0}/glenbrae/availability/depot-${n}`;
    results.push(fetch(url).then(async (res) => ({ status: res.status, text: await res.text() })));
    await sleep(startedAt + ((n + 1) * 1000) / LOOKUPS_PER_SECOND - Date.now());
  }
  return Promise.all(results);
}

/** Number of requests that the sidecar of target `id` sent to it while nothing listened there. */
function countRefusedConnections(fleet: LocalFleet, id: string): number {
  const lines = readFileSync(join(fleet.dir, `sidecar-${id}.log`), "utf8").split("\n");
  return lines.filter((l) => l.includes("connect failed: ECONNREFUSED") && l.includes("run ended"))
    .length;
}

async function killTargetsRepeatedly(fleet: LocalFleet): Promise<void> {
  const ids = [...fleet.targets.keys()];
  const restarts: Promise<void>[] = [];
  for (let round = 0; round < Math.floor(LOAD_MS / KILLS.intervalMs); round++) {
    await sleep(KILLS.intervalMs);
    const victims = ids.filter((_, n) => (n + round) % TARGET_COUNT < KILLS.count);
    await Promise.all(victims.map((id) => fleet.killTarget(id)));
    restarts.push(
      sleep(KILLS.downMs).then(async () => {
        await Promise.all(victims.map((id) => fleet.restartTarget(id)));
      }),
    );
  }
  await Promise.all(restarts);
}

test.serial(
  "killed targets: lookups are served by those that are up, and none is refused",
  async (t) => {
    const results = await withFleet(TARGETS, async (fleet) => {
      const [lookups] = await Promise.all([sendLookups(fleet), killTargetsRepeatedly(fleet)]);
      return lookups;
    });
    const served = results.filter((r) => r.status === 200).length / results.length;
    const reasons = new Map<string, number>();
    for (const { status, text } of results.filter((r) => r.status !== 200)) {
      const reason = `${status} ${(JSON.parse(text) as { reason?: string }).reason ?? ""}`;
      reasons.set(reason, (reasons.get(reason) ?? 0) + 1);
    }
    t.log({ served, of: results.length, reasons: Object.fromEntries(reasons) });
    t.true(served >= MIN_SERVED);
    t.deepEqual(
      [...reasons.keys()].filter((r) => r.startsWith("503")),
      [],
    );
  },
);

test.serial(
  "killed target: no more requests are sent to it than were on their way, although its announcements are not overdue",
  async (t) => {
    const [id] = TARGETS.map((target) => target.id);
    const options = { sidecarSettings: { announceTimeoutMs: 2 * LOAD_MS } };
    const refused = await withFleet(
      TARGETS,
      async (fleet) => {
        const lookups = sendLookups(fleet, 6000);
        await sleep(1000);
        await fleet.killTarget(id ?? "");
        await lookups;
        return countRefusedConnections(fleet, id ?? "");
      },
      options,
    );
    t.log({ refused });
    t.true(refused <= SLOTS);
  },
);
