import test, { type ExecutionContext } from "ava";
import type { FleetTarget } from "../scripts/LocalFleet.ts";
import { standIn } from "./fixtures/standIn.ts";
import { withFleet } from "./fixtures/withFleet.ts";

const sleep = (ms: number) => new Promise((r) => setTimeout(r, ms));

/** Results of one drain under load: when the target last received a request, and the statuses of all callers. */
interface DrainRun {
  lastReceivedAfterDrainMs: number;
  statuses: number[];
  refusals: Map<string, number>;
}

/**
 * Drains avail-0, one of three glenbrae-availability targets, while two callers per sidecar send lookups through all
 * three sidecars until 3 s after the drain.
 */
async function drainUnderLoad(): Promise<DrainRun> {
  const targets: FleetTarget[] = ["avail-0", "avail-1", "avail-2"].map((id, i) => ({
    id,
    service: "glenbrae-availability",
    zone: `zone-${"abc"[i] ?? "a"}`,
    slots: 4,
    workMs: 5,
  }));
  return withFleet(targets, async (fleet) => {
    const ports = [...fleet.sidecars.values()].map((s) => s.ports.caller ?? 0);
    let isDone = false;
    const statuses: number[] = [];
    const refusals = new Map<string, number>();
    const runCaller = async (port: number) => {
      while (!isDone) {
        const res = await fetch(`http://127.0.0.1:${port}/glenbrae/availability/depot-perth`);
        const text = await res.text();
        statuses.push(res.status);
        if (res.status !== 200) {
          refusals.set(text, (refusals.get(text) ?? 0) + 1);
        }
      }
    };
    const load = Promise.all(ports.flatMap((p) => [runCaller(p), runCaller(p)]));
    await sleep(500);
    await standIn.drain(fleet, "avail-0");
    await sleep(3000);
    isDone = true;
    await load;
    const counters = await standIn.counters(fleet, "avail-0");
    return {
      lastReceivedAfterDrainMs: counters.lastReceivedAt - counters.drainedAt,
      statuses,
      refusals,
    };
  });
}

test.serial("a draining target gets no new requests from any sidecar after 2 s", async (t) => {
  // An operator drains avail-0 before its VM is replaced, while callers send lookups through all three sidecars. Its
  // local sidecar is notified at once, the other two learn of it through gossip. After 2 s no sidecar may send it
  // requests.
  const run = await drainUnderLoad();
  t.log(
    `the draining target last received a request ${run.lastReceivedAfterDrainMs} ms after the drain`,
  );
  t.true(
    run.lastReceivedAfterDrainMs <= 2000,
    `request received ${run.lastReceivedAfterDrainMs} ms after the drain`,
  );
  t.true(run.statuses.length > 100);
});

test.serial("no caller gets an error while a target drains under load", async (t) => {
  // During the same drain, the two remaining targets have eight slots for six callers, which is enough capacity. A
  // refusal means that the sidecars refused requests which the remaining targets could have run.
  const run = await drainUnderLoad();
  for (const [reason, count] of run.refusals) {
    t.log(`${count} x ${reason}`);
  }
  t.true(run.statuses.length > 100);
  t.deepEqual([...new Set(run.statuses)], [200]);
});

/**
 * Longer than a run takes on a machine with many times more runnable work than cores, so that no request fails by its
 * deadline rather than by the stop.
 */
const NO_DEADLINE = { timeoutMs: 30_000 };

/** Sequences of signals, 100 ms apart, with which the platform may request a planned stop. */
const stops: readonly { name: string; signals: readonly NodeJS.Signals[] }[] = [
  { name: "one SIGTERM", signals: ["SIGTERM"] },
  { name: "SIGTERM, a reload and SIGTERM again", signals: ["SIGTERM", "SIGHUP", "SIGTERM"] },
];

for (const { name, signals } of stops) {
  test.serial(`a planned stop of a sidecar interrupts no request in flight: ${name}`, async (t) => {
    // Eight bookings are in flight at two targets when the sidecar that accepted them is stopped as planned. They must
    // run once and get their complete responses before the process exits. A second SIGTERM, or a reload, may arrive
    // while it drains: when the handler was removed after the first signal, the second one killed the process at once.
    await stopUnderLoad(t, signals);
  });
}

/** Stops a sidecar that has accepted eight bookings; asserts that each one runs exactly once and gets its response. */
async function stopUnderLoad(t: ExecutionContext, signals: readonly NodeJS.Signals[]) {
  const targets: FleetTarget[] = ["vans-0", "vans-1"].map((id, i) => ({
    id,
    service: "glenbrae-bookings",
    zone: `zone-${"ab"[i] ?? "a"}`,
    slots: 4,
    workMs: 600,
  }));
  await withFleet(
    targets,
    async (fleet) => {
      const sidecar = fleet.sidecars.get("vans-0");
      const port = sidecar?.ports.caller ?? 0;
      /** The response that each caller has received, for the messages of failed assertions. */
      const received: string[] = Array.from({ length: 8 }, () => "no response yet");
      let isStopping = false;
      const book = async (n: number): Promise<{ status: number; verdict: string | null }> => {
        const res = await fetch(`http://127.0.0.1:${port}/glenbrae/bookings/van`, {
          method: "POST",
          headers: { "idempotency-key": `booking-${n}` },
          body: "{}",
        });
        const body = await res.text();
        const verdict = res.headers.get("x-burdockpass-verdict");
        received[n] = `${res.status} ${verdict ?? ""} ${body}`;
        // A refusal before the stop, for instance when a grant has expired on a busy machine, is retried, so that the
        // booking is in flight when the stop begins.
        return verdict === "not-run" && !isStopping ? book(n) : { status: res.status, verdict };
      };
      const bookings = received.map((_, n) => book(n));
      await standIn.waitForReceived(fleet, bookings.length).catch((err: unknown) => {
        t.fail(`${String(err)}; responses so far: ${received.join("; ")}; logs in ${fleet.dir}`);
        throw err;
      });
      const exited = new Promise<number | null>((resolve) => sidecar?.proc.once("exit", resolve));
      const stopAt = Date.now();
      isStopping = true;
      for (const signal of signals) {
        sidecar?.proc.kill(signal);
        await sleep(100);
      }
      const responses = await Promise.all(bookings);
      const code = await exited;
      t.log(`sidecar exited with ${code} ${Date.now() - stopAt} ms after SIGTERM`);
      const interrupted = responses.filter((r) => r.status !== 200 || r.verdict !== "done").length;
      t.is(
        interrupted,
        0,
        `requests interrupted by the planned stop: ${received.join("; ")}; logs in ${fleet.dir}`,
      );
      t.is(code, 0);
      const counts = await Promise.all(targets.map((x) => standIn.counters(fleet, x.id)));
      const runs = counts.flatMap((c) => Object.values(c.effects));
      t.is(runs.length, 8, received.join("; "));
      t.true(
        runs.every((r) => r === 1),
        "each booking ran exactly once",
      );
    },
    NO_DEADLINE,
  );
}

test.serial(
  "a rolling restart of sidecars under load interrupts no booking, and none runs twice",
  async (t) => {
    // An upgrade restarts the local sidecars of all booking targets in turn, while callers book through other
    // sidecars. Each booking must get its complete response or a correct `not-run` verdict, never `may-have-run`, and
    // run at most once.
    const vans: FleetTarget[] = ["a", "b", "c", "d"].map((zone, n) => ({
      id: `vans-${n}`,
      service: "glenbrae-bookings",
      zone: `zone-${zone}`,
      slots: 4,
      workMs: 40,
    }));
    const doors: FleetTarget[] = ["a", "b"].map((zone, n) => ({
      id: `door-${n}`,
      service: "glenbrae-availability",
      zone: `zone-${zone}`,
      slots: 4,
    }));
    await withFleet([...doors, ...vans], async (fleet) => {
      let isDone = false;
      const responses: { key: string; status: number; verdict: string | null }[] = [];
      const runCaller = async (n: number) => {
        const port = fleet.sidecars.get(`door-${n % 2}`)?.ports.caller ?? 0;
        for (let i = 0; !isDone; i++) {
          const key = `rolling-${n}-${i}`;
          const res = await fetch(`http://127.0.0.1:${port}/glenbrae/bookings/van`, {
            method: "POST",
            headers: { "idempotency-key": key },
            body: "{}",
          });
          await res.text();
          responses.push({
            key,
            status: res.status,
            verdict: res.headers.get("x-burdockpass-verdict"),
          });
        }
      };
      const load = Promise.all([0, 1, 2, 3].map(runCaller));
      const exits: (number | null)[] = [];
      for (const { id } of vans) {
        await sleep(700);
        exits.push(await fleet.stopSidecar(id));
        await fleet.restartSidecar(id);
      }
      await sleep(1500);
      isDone = true;
      await load;
      const runs = new Map<string, number>();
      for (const { id } of vans) {
        for (const [key, count] of Object.entries((await standIn.counters(fleet, id)).effects)) {
          runs.set(key, (runs.get(key) ?? 0) + count);
        }
      }
      const count = (verdict: string) => responses.filter((r) => r.verdict === verdict).length;
      t.log(`${responses.length} bookings: ${count("done")} done, ${count("not-run")} not run`);
      t.deepEqual(exits, [0, 0, 0, 0]);
      t.is(count("may-have-run"), 0);
      t.is(count("done") + count("not-run"), responses.length);
      t.true(responses.every((r) => (runs.get(r.key) ?? 0) === (r.verdict === "done" ? 1 : 0)));
      t.true(count("done") > responses.length * 0.9);
    });
  },
);

test.serial("a target gets requests until its stopping sidecar exits", async (t) => {
  // A sidecar is stopped as planned while one of its callers waits 2.5 s for the response of a remote target. Its local
  // target, healthy and ready, got no requests after the signal. In a rolling stop of a third of the fleet, a third of
  // all targets were idle in this way while bookings failed because no slot was free.
  const targets: FleetTarget[] = [
    { id: "vans-0", service: "glenbrae-bookings", zone: "zone-a", slots: 4, workMs: 40 },
    { id: "vans-1", service: "glenbrae-bookings", zone: "zone-b", slots: 4, workMs: 40 },
    { id: "door-0", service: "oljelab-bookings", zone: "zone-c", slots: 4, workMs: 2500 },
  ];
  await withFleet(
    targets,
    async (fleet) => {
      const [stopped, door] = ["vans-0", "door-0"].map((id) => fleet.sidecars.get(id));
      const url = (port: number | undefined, path: string) =>
        `http://127.0.0.1:${port ?? 0}/${path}`;
      const slowRequest = fetch(url(stopped?.ports.caller, "oljelab/bookings/1"));
      await standIn.waitForReceived(fleet, 1);
      let isDone = false;
      const verdicts: (string | null)[] = [];
      const runCaller = async (n: number) => {
        for (let i = 0; !isDone; i++) {
          const res = await fetch(url(door?.ports.caller, "glenbrae/bookings/van"), {
            method: "POST",
            headers: { "idempotency-key": `stop-${n}-${i}` },
            body: "{}",
          });
          await res.text();
          verdicts.push(res.headers.get("x-burdockpass-verdict"));
        }
      };
      const load = Promise.all([0, 1, 2, 3].map(runCaller));
      await sleep(300);
      stopped?.proc.kill("SIGTERM");
      await sleep(500);
      const before = (await standIn.counters(fleet, "vans-0")).received;
      await sleep(1000);
      const after = (await standIn.counters(fleet, "vans-0")).received;
      const slowResponse = await slowRequest;
      isDone = true;
      await load;
      t.log(`requests received while its sidecar was stopping: ${after - before}`);
      t.is(slowResponse.status, 200);
      t.true(after > before);
      t.true(verdicts.includes("done"));
      t.deepEqual(
        verdicts.filter((v) => v !== "done" && v !== "not-run"),
        [],
        "bookings with an unknown outcome",
      );
    },
    NO_DEADLINE,
  );
});
