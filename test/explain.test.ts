import { readdirSync } from "node:fs";
import { join } from "node:path";
import test from "ava";
import type { FleetTarget, LocalFleet } from "../scripts/LocalFleet.ts";
import { FaultMode } from "../src/standin/FaultMode.ts";
import { standIn } from "./fixtures/standIn.ts";
import { withFleet } from "./fixtures/withFleet.ts";

/** Time after which buffered log lines have been written to the log files, ms. */
const LOG_FLUSH_MS = 400;

const targets: readonly FleetTarget[] = [
  {
    id: "vans-0",
    service: "glenbrae-bookings",
    zone: "zone-a",
    slots: 4,
    workMs: 5,
    standInArgs: ["--wrong-rate=1"],
  },
  { id: "door-0", service: "glenbrae-availability", zone: "zone-b", slots: 4 },
];

/** Books a van through the sidecar `door-0`; returns the response's status and the attempt id that the logs use. */
async function book(fleet: LocalFleet): Promise<{ status: number; attempt: string }> {
  const port = fleet.sidecars.get("door-0")?.ports.caller ?? 0;
  const url = `http://127.0.0.1:${port}/glenbrae/bookings/van`;
  const res = await fetch(url, { method: "POST", body: "{}" });
  await res.text();
  return { status: res.status, attempt: res.headers.get("x-burdockpass-attempt") ?? "" };
}

const failures: readonly {
  name: string;
  /** Injects the fault. */
  injectFault: (fleet: LocalFleet) => Promise<unknown>;
  status: number;
  cause: RegExp;
}[] = [
  {
    // The only target is draining: the booking is refused without being run, either by the target's local sidecar or,
    // once the caller's sidecar has learned of the drain through gossip, without a slot request.
    name: "refused because the only target drains",
    injectFault: (fleet) => standIn.drain(fleet, "vans-0"),
    status: 503,
    cause: /not run: .*(refused.*leaving|no target of the service is known to take work)/,
  },
  {
    // The target runs the booking and resets the connection without a response: the outcome is unknown.
    name: "ended as may-have-run",
    injectFault: (fleet) => standIn.setFault(fleet, "vans-0", FaultMode.ResponseLost),
    status: 502,
    cause: /may have run at vans-0: .*ended as no-answer/,
  },
  {
    // The target responds with errors while its health endpoint reports that it is healthy.
    name: "failed by a gray target",
    injectFault: (fleet) => standIn.setFault(fleet, "vans-0", FaultMode.Error),
    status: 500,
    cause: /vans-0 failed it with 500/,
  },
];

for (const { name, injectFault, status, cause } of failures) {
  test.serial(
    `explain finds the cause of a failure from the attempt id alone: ${name}`,
    async (t) => {
      await withFleet(targets, async (fleet) => {
        await injectFault(fleet);
        const booking = await book(fleet);
        t.is(booking.status, status);
        await new Promise((r) => setTimeout(r, LOG_FLUSH_MS));
        const logs = readdirSync(fleet.dir).filter((f) => f.endsWith(".log"));
        const paths = logs.map((f) => join(fleet.dir, f));
        const explained = await fleet.cli(["explain", booking.attempt, ...paths]);
        t.log(explained.out.split("\n")[0]);
        t.is(explained.code, 0, explained.err);
        t.regex(explained.out.split("\n")[0] ?? "", cause);
      });
    },
  );
}
