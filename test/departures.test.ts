import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import test from "ava";
import type { LocalFleet } from "../scripts/LocalFleet.ts";
import { eventually } from "./fixtures/eventually.ts";
import { startLookups } from "./fixtures/startLookups.ts";
import { withFleet } from "./fixtures/withFleet.ts";

/** Time for which requests are counted after the late announcement, ms. */
const OBSERVED_MS = 3000;

const IDS = ["avail-0", "avail-1", "avail-2"];

const SERVICE = "glenbrae-availability";

/** A target of the test's own, which announces itself only when the test says so. */
async function startGuest(fleet: LocalFleet) {
  const arrivals: number[] = [];
  const server = createServer((req, res) => {
    arrivals.push(Date.now());
    req.resume();
    res.end("{}");
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
  const post = async (path: string, body: object): Promise<number> => {
    const port = fleet.sidecars.get("avail-0")?.ports.admin ?? 0;
    const headers = { "content-type": "application/json" };
    const init = { method: "POST", headers, body: JSON.stringify(body) };
    return (await fetch(`http://127.0.0.1:${port}/v1/${path}`, init)).status;
  };
  return {
    arrivals,
    announce: (state: string, sequence: number) =>
      post("announce", { targetId: "guest", service: SERVICE, url, slots: 4, state, sequence }),
    withdraw: () => post("withdraw", { targetId: "guest" }),
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}

type Guest = Awaited<ReturnType<typeof startGuest>>;

const cases: readonly { name: string; leave: (guest: Guest) => Promise<number> }[] = [
  { name: "withdrawn", leave: (guest) => guest.withdraw() },
  { name: "draining", leave: (guest) => guest.announce("draining", 9) },
];

for (const { name, leave } of cases) {
  test.serial(
    `a ${name} target gets no requests after its sidecar was killed and an announcement arrives late`,
    async (t) => {
      // Guards against a restarted sidecar that takes a late announcement for one of a live target.
      const common = { service: SERVICE, zone: "zone-a", slots: 4, workMs: 20 };
      await withFleet(
        IDS.map((id) => ({ id, ...common })),
        async (fleet) => {
          const guest = await startGuest(fleet);
          const ports = IDS.slice(1).map((id) => fleet.sidecars.get(id)?.ports.caller ?? 0);
          const lookups = startLookups(ports, 60);
          let sequence = 0;
          await eventually(async () => {
            await guest.announce("ready", Math.min(++sequence, 7));
            return guest.arrivals.length > 0;
          });
          t.true(guest.arrivals.length > 0);
          t.is(await leave(guest), 204);
          await fleet.killSidecar("avail-0");
          const from = Date.now();
          await fleet.restartSidecar("avail-0");
          t.is(await guest.announce("ready", 8), 204);
          await new Promise((r) => setTimeout(r, OBSERVED_MS));
          await lookups.stop();
          guest.close();
          t.deepEqual(
            guest.arrivals.filter((at) => at >= from),
            [],
          );
        },
      );
    },
  );
}

test.serial(
  "a sound target gets requests again after one announcement to its restarted sidecar",
  async (t) => {
    // Guards against sound targets that stay idle after a restart of their sidecar.
    const common = { service: SERVICE, zone: "zone-a", slots: 4, workMs: 20 };
    await withFleet(
      IDS.map((id) => ({ id, ...common })),
      async (fleet) => {
        const guest = await startGuest(fleet);
        const ports = IDS.slice(1).map((id) => fleet.sidecars.get(id)?.ports.caller ?? 0);
        await fleet.killSidecar("avail-0");
        await fleet.restartSidecar("avail-0");
        const lookups = startLookups(ports, 60);
        t.is(await guest.announce("ready", 1), 204);
        await eventually(() => guest.arrivals.length > 0);
        await lookups.stop();
        guest.close();
        t.true(guest.arrivals.length > 0);
      },
    );
  },
);
