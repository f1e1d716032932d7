import { readFileSync, rmSync } from "node:fs";
import { join } from "node:path";
import test from "ava";
import type { FleetTarget, LocalFleet } from "../scripts/LocalFleet.ts";
import { FaultMode } from "../src/standin/FaultMode.ts";
import { standIn } from "./fixtures/standIn.ts";
import { withFleet } from "./fixtures/withFleet.ts";

/** Duration of a booking's run, ms: long enough for a process to be killed during it. */
const WORK_MS = 500;

/** Sidecars that accept the callers' requests; their local targets belong to another service and run no bookings. */
const ENTRY_SIDECARS = ["door-0", "door-1", "door-2"] as const;

const entryTarget = (id: string, n: number): FleetTarget => ({
  id,
  service: "glenbrae-availability",
  zone: `zone-${"abc"[n] ?? "a"}`,
  slots: 4,
});

const vans = (count: number, ...standInArgs: string[]): FleetTarget[] =>
  Array.from({ length: count }, (_, n) => ({
    id: `vans-${n}`,
    service: "glenbrae-bookings",
    zone: `zone-${"abcd"[n] ?? "a"}`,
    slots: 4,
    workMs: WORK_MS,
    standInArgs,
  }));

const fleetOf = (bookings: FleetTarget[]) => [...ENTRY_SIDECARS.map(entryTarget), ...bookings];

interface BookingResponse {
  readonly status: number;
  readonly verdict: string | null;
  readonly replayed: boolean;
  readonly retryAfter: string | null;
  readonly body: string;
}

/** Books a van through the sidecar `via`; the status is 0 if the sidecar is down. */
async function book(fleet: LocalFleet, via: string, key: string): Promise<BookingResponse> {
  const port = fleet.sidecars.get(via)?.ports.caller ?? 0;
  try {
    const res = await fetch(`http://127.0.0.1:${port}/glenbrae/bookings/van`, {
      method: "POST",
      headers: { "idempotency-key": key },
      body: '{"van":7}',
    });
    return {
      status: res.status,
      verdict: res.headers.get("x-burdockpass-verdict"),
      replayed: res.headers.get("idempotency-replayed") === "true",
      retryAfter: res.headers.get("retry-after"),
      body: await res.text(),
    };
  } catch {
    return { status: 0, verdict: null, replayed: false, retryAfter: null, body: "" };
  }
}

/** Resends a booking until its response is final: neither 409 (in progress) nor 503 (refused for now). */
async function resendUntilFinal(
  fleet: LocalFleet,
  via: string,
  key: string,
): Promise<BookingResponse> {
  let last = await book(fleet, via, key);
  for (let i = 0; i < 40 && (last.status === 409 || last.status === 503); i++) {
    await new Promise((r) => setTimeout(r, 150));
    last = await book(fleet, via, key);
  }
  return last;
}

const sleep = (ms: number) => new Promise((r) => setTimeout(r, ms));

test.serial(
  "caller's sidecar killed during a booking: the booking runs once, and a resend gets its response",
  async (t) => {
    // The sidecar that accepted a booking is killed (SIGKILL) during its run. The client resends through another
    // sidecar: it must get the response of the booking that ran, without a second run.
    await withFleet(fleetOf(vans(3)), async (fleet) => {
      const first = book(fleet, "door-0", "kill-door");
      await standIn.waitForFirstReceiver(fleet, ["vans-0", "vans-1", "vans-2"]);
      await fleet.killSidecar("door-0");
      t.is((await first).status, 0);
      const resend = await resendUntilFinal(fleet, "door-1", "kill-door");
      t.is(resend.status, 200);
      t.true(resend.replayed);
      t.is(await standIn.countRuns(fleet, "kill-door"), 1);
    });
  },
);

test.serial(
  "caller's sidecar killed before a booking has reached a target: a resend runs it, once",
  async (t) => {
    // Guards against a record of the first attempt that outlives it without a run, and against a run by both attempts.
    await withFleet(fleetOf(vans(3)), async (fleet) => {
      const first = book(fleet, "door-0", "kill-early");
      await fleet.killSidecar("door-0");
      t.is((await first).status, 0);
      const resend = await resendUntilFinal(fleet, "door-1", "kill-early");
      t.is(resend.status, 200);
      await sleep(WORK_MS);
      t.is(await standIn.countRuns(fleet, "kill-early"), 1);
    });
  },
);

test.serial("target's sidecar killed during a booking: never a second run", async (t) => {
  // The target's local sidecar is killed during the run, and the target finishes the booking without being able to
  // deliver its response. The response is lost: a resend must get `may-have-run` and must not run at another target.
  await withFleet(fleetOf(vans(2, "--runs-on")), async (fleet) => {
    const first = book(fleet, "door-0", "kill-beside");
    const ranAt = await standIn.waitForFirstReceiver(fleet, ["vans-0", "vans-1"]);
    await sleep(WORK_MS / 2);
    await fleet.killSidecar(ranAt);
    t.is((await first).verdict, "may-have-run");
    const resend = await resendUntilFinal(fleet, "door-1", "kill-beside");
    t.is(resend.verdict, "may-have-run");
    await sleep(WORK_MS);
    t.is(await standIn.countRuns(fleet, "kill-beside"), 1);
  });
});

test.serial(
  "record holder loses its disk: a resend still finds the booking at another holder",
  async (t) => {
    // After a booking, sidecars that may hold its idempotency record are restarted one after the other with empty data
    // directories. A resend must still find the booking.
    await withFleet(fleetOf(vans(2)), async (fleet) => {
      const first = await book(fleet, "door-0", "lost-disk");
      t.is(first.status, 200);
      for (const id of ["vans-0", "vans-1"]) {
        await fleet.killSidecar(id);
        rmSync(fleet.sidecarDataDir(id), { recursive: true, force: true });
        await fleet.restartSidecar(id);
      }
      await fleet.waitForTargets(5);
      const resend = await resendUntilFinal(fleet, "door-1", "lost-disk");
      t.is(resend.status, 200, resend.body);
      t.is(resend.body, first.body);
      t.is(await standIn.countRuns(fleet, "lost-disk"), 1);
    });
  },
);

test.serial(
  "target frozen during a booking: a final response at the deadline, never a second run",
  async (t) => {
    // The target's process is frozen during the run. The caller must get `may-have-run` with a Retry-After by the
    // deadline; after the target has resumed and finished, a resend must not run the booking again.
    await withFleet(fleetOf(vans(1)), async (fleet) => {
      const startedAt = Date.now();
      const first = book(fleet, "door-0", "frozen");
      await standIn.waitForFirstReceiver(fleet, ["vans-0"]);
      await sleep(WORK_MS / 2);
      const proc = fleet.targets.get("vans-0")?.proc;
      proc?.kill("SIGSTOP");
      const res = await first;
      t.is(res.status, 504);
      t.truthy(res.retryAfter);
      t.true(Date.now() - startedAt < 2000 + 500, "response at its deadline of 2 s");
      proc?.kill("SIGCONT");
      await sleep(WORK_MS);
      const resend = await book(fleet, "door-1", "frozen");
      const runs = await standIn.countRuns(fleet, "frozen");
      t.true(runs <= 1);
      // On a loaded machine the target's sidecar may process the deadline only after the late response has arrived. The
      // outcome is then known, and the resend gets the response of the one booking that ran.
      const isReplay = resend.verdict === "done" && resend.replayed && runs === 1;
      t.true(isReplay || resend.verdict === "may-have-run", JSON.stringify(resend));
    });
  },
);

test.serial("response lost between target and sidecar: never a second run", async (t) => {
  // The target runs the booking, but its connection is reset before the response has been delivered. A resend must not
  // run the booking a second time.
  await withFleet(fleetOf(vans(2)), async (fleet) => {
    for (const id of ["vans-0", "vans-1"]) {
      await standIn.setFault(fleet, id, FaultMode.ResponseLost);
    }
    t.is((await book(fleet, "door-0", "lost")).verdict, "may-have-run");
    for (const id of ["vans-0", "vans-1"]) {
      await standIn.setFault(fleet, id, FaultMode.None);
    }
    t.is((await book(fleet, "door-1", "lost")).verdict, "may-have-run");
    t.is(await standIn.countRuns(fleet, "lost"), 1);
  });
});

test.serial("the spans of all sidecars that handle a booking share one trace id", async (t) => {
  // To diagnose a slow booking, its trace must contain the spans of the sidecar that accepted it and of the target's
  // local sidecar.
  await withFleet(fleetOf(vans(1)), async (fleet) => {
    t.is((await book(fleet, "door-0", "traced")).status, 200);
    const readSpans = () =>
      ["door-0", "vans-0"].flatMap((id) =>
        readFileSync(join(fleet.dir, `trace-${id}.jsonl`), "utf8")
          .trim()
          .split("\n")
          .map((line) => JSON.parse(line) as { name: string; traceId: string }),
      );
    // The ingress span ends, and is written, just after the response has been sent.
    for (let i = 0; i < 40 && !readSpans().some((s) => s.name === "sidecar.ingress"); i++) {
      await sleep(50);
    }
    const spans = readSpans();
    const names = ["sidecar.ingress", "sidecar.forward", "sidecar.run"];
    t.deepEqual(spans.map((s) => s.name).sort(), [...names].sort());
    t.is(new Set(spans.map((s) => s.traceId)).size, 1);
  });
});
