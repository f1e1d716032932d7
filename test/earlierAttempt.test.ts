import test from "ava";
import type { FleetTarget, LocalFleet } from "../scripts/LocalFleet.ts";
import { standIn } from "./fixtures/standIn.ts";
import { withFleet } from "./fixtures/withFleet.ts";

/** Duration of a booking's run, ms: long enough for a process to be stopped during it. */
const WORK_MS = 500;

/** Time after which a silent target is removed from all views, ms: its announcement timeout, and the gossip. */
const REMOVAL_MS = 2500;

const KEY = "earlier-attempt";

const targets: FleetTarget[] = [
  ...["a", "b", "c"].map((zone, n) => ({
    id: `door-${n}`,
    service: "glenbrae-availability",
    zone: `zone-${zone}`,
    slots: 4,
  })),
  { id: "vans-0", service: "glenbrae-bookings", zone: "zone-a", slots: 4, workMs: WORK_MS },
];

const sleep = (ms: number) => new Promise((r) => setTimeout(r, ms));

/** Books a van through the sidecar `via`; returns the verdict, with "replayed" for a replayed response. */
async function book(fleet: LocalFleet, via: string): Promise<string> {
  const port = fleet.sidecars.get(via)?.ports.caller ?? 0;
  const res = await fetch(`http://127.0.0.1:${port}/glenbrae/bookings/van`, {
    method: "POST",
    headers: { "idempotency-key": KEY },
    body: "{}",
  });
  await res.text();
  const verdict = res.headers.get("x-burdockpass-verdict") ?? "";
  return res.headers.get("idempotency-replayed") === "true" ? `${verdict}, replayed` : verdict;
}

/** Stops a process during the run of the first booking, so that its outcome is unknown; the only target is gone then. */
async function freezeDuringRun(fleet: LocalFleet): Promise<void> {
  const first = book(fleet, "door-0");
  await standIn.waitForFirstReceiver(fleet, ["vans-0"]);
  fleet.targets.get("vans-0")?.proc.kill("SIGSTOP");
  await first;
}

/** Ends the only target of the service, and its sidecar, after it has run the first booking. */
async function killAfterRun(fleet: LocalFleet): Promise<void> {
  await book(fleet, "door-0");
  await fleet.killTarget("vans-0");
  await fleet.killSidecar("vans-0");
}

const cases: readonly {
  name: string;
  loseTarget: (fleet: LocalFleet) => Promise<void>;
  verdict: string;
}[] = [
  { name: "frozen during the first run", loseTarget: freezeDuringRun, verdict: "may-have-run" },
  { name: "gone after the first run", loseTarget: killAfterRun, verdict: "done, replayed" },
];

for (const { name, loseTarget, verdict } of cases) {
  // Guards against a resend that is refused as not run although an earlier attempt with its key may have run.
  test.serial(`resend while the only target is ${name}: ${verdict}`, async (t) => {
    await withFleet(targets, async (fleet) => {
      await loseTarget(fleet);
      await sleep(REMOVAL_MS);
      t.is(await book(fleet, "door-1"), verdict);
      fleet.targets.get("vans-0")?.proc.kill("SIGCONT");
    });
  });
}
