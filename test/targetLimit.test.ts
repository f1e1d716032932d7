import test from "ava";
import type { LocalFleet } from "../scripts/LocalFleet.ts";
import { standIn } from "./fixtures/standIn.ts";
import { startLookups } from "./fixtures/startLookups.ts";
import { withFleet } from "./fixtures/withFleet.ts";

/** The users' rule: this long after a target first named its limit, the limit holds in every window. */
const IN_FORCE_AFTER_MS = 3000;
const WINDOW_MS = 4000;
const TOLERATED_FACTOR = 1.5;
const TOLERATED_EXTRA = 5;

/** Share of what its limit allows that a target gets at least while callers send more. */
const MIN_USED_SHARE = 0.7;

/** Time within which a request that no target has room for is refused, ms. */
const REFUSED_WITHIN_MS = 500;

const IDS = ["avail-0", "avail-1", "avail-2"];

interface Case {
  readonly name: string;
  /** Number of targets that name a limit. */
  readonly limited: number;
  readonly perSecond: number;
  readonly lookupsPerSecond: number;
  readonly workMs: number;
  readonly slots: number;
  /** Number of times that the sidecar of the first target is killed and started again. */
  readonly restarts: number;
}

const LIGHT = { lookupsPerSecond: 60, workMs: 20, slots: 4, restarts: 0 };

const cases: readonly Case[] = [
  { name: "one of three", limited: 1, perSecond: 2.1, ...LIGHT },
  { name: "all", limited: 3, perSecond: 3, ...LIGHT },
  {
    name: "its sidecar restarts",
    limited: 1,
    perSecond: 2.1,
    lookupsPerSecond: 50,
    workMs: 400,
    slots: 12,
    restarts: 2,
  },
];

/** Highest number of arrivals in a window that begins at `from` (epoch ms) or later. */
function busiestWindow(arrivals: readonly number[], from: number): number {
  const relevant = arrivals.filter((at) => at >= from);
  const counts = relevant.map((at) => relevant.filter((b) => at <= b && b < at + WINDOW_MS).length);
  return Math.max(0, ...counts);
}

async function restartSidecar(fleet: LocalFleet, id: string): Promise<void> {
  await fleet.killSidecar(id);
  await fleet.restartSidecar(id);
}

for (const { name, limited, perSecond, lookupsPerSecond, workMs, slots, restarts } of cases) {
  test.serial(`a target gets no more requests than the limit that it names: ${name}`, async (t) => {
    // Guards against targets in need that get as many requests as the others.
    const common = { service: "glenbrae-availability", zone: "zone-a", slots, workMs };
    const targets = IDS.map((id) => ({ id, ...common }));
    await withFleet(targets, async (fleet) => {
      const limitedIds = IDS.slice(0, limited);
      // The callers of a sidecar that is restarted would be cut off.
      const entries = restarts > 0 ? IDS.slice(1) : IDS;
      const ports = entries.map((id) => fleet.sidecars.get(id)?.ports.caller ?? 0);
      const lookups = startLookups(ports, lookupsPerSecond);
      await sleep(1000);
      for (const id of limitedIds) {
        await standIn.setHeaders(fleet, id, { "x-burdockpass-limit": String(perSecond) });
      }
      const inForceAt = Date.now() + IN_FORCE_AFTER_MS;
      await sleep(IN_FORCE_AFTER_MS);
      for (let n = 0; n < restarts; n++) {
        await restartSidecar(fleet, limitedIds[0] ?? "");
        await sleep(1000);
      }
      await sleep(WINDOW_MS);
      const until = Date.now();
      await lookups.stop();
      const allowed = TOLERATED_FACTOR * perSecond * (WINDOW_MS / 1000) + TOLERATED_EXTRA;
      for (const id of limitedIds) {
        const arrivals = await standIn.arrivals(fleet, id);
        const received = arrivals.filter((at) => at >= inForceAt && at < until).length;
        const most = busiestWindow(arrivals, inForceAt);
        t.log(`${id}: ${most} in a window, allowed ${allowed}; ${received} in all`);
        t.true(most <= allowed, `${id} got ${most}`);
        const due = ((until - inForceAt) / 1000) * perSecond * MIN_USED_SHARE;
        t.true(restarts > 0 || received >= due, `${id} got ${received} of ${due}`);
      }
      const late = lookups.answered.filter((l) => l.sentAt >= inForceAt);
      const refused = late.filter((l) => l.status === 503);
      t.is(refused.length > 0, limited === IDS.length);
      t.deepEqual(
        refused.filter((l) => l.ms > REFUSED_WITHIN_MS || !(Number(l.retryAfter) > 0)),
        [],
      );
    });
  });
}

const sleep = (ms: number) => new Promise((r) => setTimeout(r, ms));
