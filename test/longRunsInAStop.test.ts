import test from "ava";
import type { FleetTarget } from "../scripts/LocalFleet.ts";
import { FaultMode } from "../src/standin/FaultMode.ts";
import { standIn } from "./fixtures/standIn.ts";
import { withFleet } from "./fixtures/withFleet.ts";

const sleep = (ms: number) => new Promise((r) => setTimeout(r, ms));

/** Bookings before the stop: as many as a gate remembers at least. */
const BOOKINGS = 100;

/** As on the users' platform; the process ends 5.1 s after SIGTERM. */
const STOP = { callersMs: 2700, graceMs: 6000 };

/** When the last booking is sent, ms after SIGTERM: 5.5 times the usual time remains, but not that of a long run. */
const SENT_AFTER_MS = 2900;

test("a booking that may last as long as an earlier one is not run by a target whose sidecar is about to exit", async (t) => {
  // Guards against a 502 for a booking that is still in progress at its target when the sidecar beside it exits.
  const targets: FleetTarget[] = [
    { id: "vans-0", service: "glenbrae-bookings", zone: "zone-a", slots: 4, workMs: 300 },
    { id: "door-0", service: "oljelab-bookings", zone: "zone-b", slots: 4, workMs: 6000 },
  ];
  await withFleet(
    targets,
    async (fleet) => {
      const stopped = fleet.sidecars.get("vans-0");
      const door = fleet.sidecars.get("door-0");
      const book = async (key: string) => {
        const startedAt = Date.now();
        const res = await fetch(
          `http://127.0.0.1:${door?.ports.caller ?? 0}/glenbrae/bookings/van`,
          {
            method: "POST",
            headers: { "idempotency-key": key },
            body: "{}",
          },
        );
        const text = await res.text();
        const verdict = res.headers.get("x-burdockpass-verdict");
        return { status: res.status, verdict, text, ms: Date.now() - startedAt };
      };
      for (let n = 0; n < BOOKINGS; n += 4) {
        await Promise.all([0, 1, 2, 3].map((i) => book(`early-${n + i}`)));
      }
      await standIn.setFault(fleet, "vans-0", FaultMode.Slow);
      const slow = await book("slow");
      await standIn.setFault(fleet, "vans-0", FaultMode.None);
      for (let n = 0; n < 16; n += 4) {
        await Promise.all([0, 1, 2, 3].map((i) => book(`later-${n + i}`)));
      }
      // The process lives on for this caller.
      const ownCaller = fetch(
        `http://127.0.0.1:${stopped?.ports.caller ?? 0}/oljelab/bookings/1`,
      ).then(
        (res) => res.status,
        () => "closed",
      );
      await sleep(200);
      stopped?.proc.kill("SIGTERM");
      await standIn.setFault(fleet, "vans-0", FaultMode.Slow);
      await sleep(SENT_AFTER_MS);
      const late = await book("late");
      t.log({ slow, late, ownCaller: await ownCaller });
      const runs = await standIn.countRuns(fleet, "late");
      t.log({ runs });
      t.is(late.verdict, "not-run", late.text);
      t.is(runs, 0);
    },
    { timeoutMs: 30_000, sidecarSettings: { stop: STOP } },
  );
});
