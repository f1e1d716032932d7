import test from "ava";
import type { FleetTarget } from "../scripts/LocalFleet.ts";
import { standIn } from "./fixtures/standIn.ts";
import { withFleet } from "./fixtures/withFleet.ts";

/** Time by which a target's announcement that it is draining is late, ms: its sidecar, or the machine, is busy. */
const LAG_MS = 800;

/** Time for which callers send lookups, before the drain and from then on, ms. */
const BEFORE_MS = 500;
const AFTER_MS = 1500;

const sleep = (ms: number) => new Promise((r) => setTimeout(r, ms));

/** Callers send lookups through all sidecars while one of three targets refuses everything, and is not known to drain. */
async function drainUnnoticed(): Promise<{ refusals: string[]; arrivals: number }> {
  const targets: FleetTarget[] = ["avail-0", "avail-1", "avail-2"].map((id, i) => ({
    id,
    service: "glenbrae-availability",
    zone: `zone-${"abc"[i] ?? "a"}`,
    slots: 4,
    workMs: 20,
    standInArgs: id === "avail-0" ? [`--announce-lag-ms=${LAG_MS}`] : [],
  }));
  return withFleet(targets, async (fleet) => {
    const refusals: string[] = [];
    let isDone = false;
    const runCaller = async (port: number) => {
      while (!isDone) {
        const res = await fetch(`http://127.0.0.1:${port}/glenbrae/availability/depot`);
        const text = await res.text();
        if (res.status !== 200) {
          refusals.push(text);
        }
      }
    };
    const ports = [...fleet.sidecars.values()].map((s) => s.ports.caller ?? 0);
    const load = Promise.all(ports.flatMap((p) => [runCaller(p), runCaller(p)]));
    await sleep(BEFORE_MS);
    const { received } = await standIn.counters(fleet, "avail-0");
    await standIn.drain(fleet, "avail-0");
    await sleep(AFTER_MS);
    isDone = true;
    await load;
    return {
      refusals,
      arrivals: (await standIn.counters(fleet, "avail-0")).received - received,
    };
  });
}

test.serial(
  "no caller gets an error while a target refuses all requests before it is known to drain",
  async (t) => {
    // Guards against granting slots at a target that refuses each request, until the retry budget is used up.
    const { refusals, arrivals } = await drainUnnoticed();
    t.log(`${arrivals} requests reached the draining target`);
    t.deepEqual(refusals, []);
  },
);
