import test from "ava";
import { standIn } from "./fixtures/standIn.ts";
import { startLookups } from "./fixtures/startLookups.ts";
import { withFleet } from "./fixtures/withFleet.ts";

/** The users' rule: this long after a sidecar has passed on such a response, it sends the target no new request, ms. */
const DRAIN_MS = 2000;

/** Time that a request may take from its caller to the target, ms. */
const TRANSIT_MS = 100;

/** Time for which requests are counted afterwards, ms. */
const OBSERVED_MS = 3000;

const IDS = ["avail-0", "avail-1", "avail-2"];

const cases = [
  { name: "while its announcements say that it is ready", restarts: false },
  { name: "after its sidecar was killed and has started again", restarts: true },
];

for (const { name, restarts } of cases) {
  test.serial(
    `a target whose responses say that it leaves gets no new requests ${name}`,
    async (t) => {
      // Guards against targets that are sent requests until they end, as nothing but their responses says so.
      const common = { service: "glenbrae-availability", zone: "zone-a", slots: 4, workMs: 20 };
      const targets = IDS.map((id) => ({ id, ...common }));
      await withFleet(targets, async (fleet) => {
        const ports = IDS.slice(1).map((id) => fleet.sidecars.get(id)?.ports.caller ?? 0);
        const lookups = startLookups(ports, 60);
        await sleep(1000);
        await standIn.setHeaders(fleet, "avail-0", { "x-burdockpass-leaving": "1" });
        await sleep(1000);
        if (restarts) {
          await fleet.killSidecar("avail-0");
          await fleet.restartSidecar("avail-0");
        }
        await sleep(DRAIN_MS + TRANSIT_MS);
        const from = Date.now();
        await sleep(OBSERVED_MS);
        await lookups.stop();
        const arrivals = await standIn.arrivals(fleet, "avail-0");
        t.true(arrivals.length > 0);
        t.deepEqual(
          arrivals.filter((at) => at >= from),
          [],
        );
      });
    },
  );
}

const sleep = (ms: number) => new Promise((r) => setTimeout(r, ms));
