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

/** Kills processes of the fleet right after the acknowledgement, and starts them again; resolves once the sidecar runs. */
type Disruption = (fleet: LocalFleet) => Promise<void>;

const restartSidecar: Disruption = async (fleet) => {
  await fleet.killSidecar("avail-0");
  await fleet.restartSidecar("avail-0");
};

/** The control replicas are away until long after the late announcements. */
const restartSidecarWithoutControl: Disruption = async (fleet) => {
  const controls = [...fleet.controls.keys()];
  await Promise.all([...controls.map((id) => fleet.killControl(id)), fleet.killSidecar("avail-0")]);
  await fleet.restartSidecar("avail-0");
};

const restartAll: Disruption = async (fleet) => {
  const controls = [...fleet.controls.keys()];
  await Promise.all([
    ...controls.map((id) => fleet.killControl(id)),
    ...IDS.map((id) => fleet.killSidecar(id)),
  ]);
  await Promise.all([
    ...controls.map((id) => fleet.restartControl(id)),
    ...IDS.map((id) => fleet.restartSidecar(id)),
  ]);
};

const withdraw = (guest: Guest) => guest.withdraw();
const drain = (guest: Guest) => guest.announce("draining", 9);

const cases: readonly {
  name: string;
  leave: (guest: Guest) => Promise<number>;
  disrupt: Disruption;
  /** Announcements from before the departure that arrive after the start, 100 ms apart. */
  late: number;
}[] = [
  {
    name: "a withdrawn target gets no requests after its sidecar was killed and an announcement arrives late",
    leave: withdraw,
    disrupt: restartSidecar,
    late: 1,
  },
  {
    name: "a draining target gets no requests after its sidecar was killed and an announcement arrives late",
    leave: drain,
    disrupt: restartSidecar,
    late: 1,
  },
  {
    name: "a draining target gets no requests after its sidecar was killed and several announcements arrive late",
    leave: drain,
    disrupt: restartSidecar,
    late: 4,
  },
  {
    name: "a withdrawn target gets no requests after its sidecar and all control replicas were killed and several announcements arrive late",
    leave: withdraw,
    disrupt: restartSidecarWithoutControl,
    late: 3,
  },
  {
    name: "a withdrawn target gets no requests after all processes were killed and several announcements arrive late",
    leave: withdraw,
    disrupt: restartAll,
    late: 3,
  },
  {
    name: "a draining target gets no requests after all processes were killed and several announcements arrive late",
    leave: drain,
    disrupt: restartAll,
    late: 4,
  },
];

for (const { name, leave, disrupt, late } of cases) {
  test.serial(name, async (t) => {
    // Guards against a restarted sidecar that takes late announcements for those of a live target.
    const common = { service: SERVICE, zone: "zone-a", slots: 4, workMs: 20 };
    await withFleet(
      IDS.map((id) => ({ id, ...common })),
      async (fleet) => {
        const guest = await startGuest(fleet);
        const ports = IDS.slice(1).map((id) => fleet.sidecars.get(id)?.ports.caller ?? 0);
        const lookups = startLookups(ports, 60);
        let sequence = 0;
        await eventually(async () => {
          await guest.announce("ready", Math.min(++sequence, 5));
          return guest.arrivals.length > 0;
        });
        t.true(guest.arrivals.length > 0);
        t.is(await leave(guest), 204);
        await disrupt(fleet);
        const from = Date.now();
        for (let n = 0; n < late; n++) {
          t.is(await guest.announce("ready", 5 + n), 204);
          await new Promise((r) => setTimeout(r, 100));
        }
        await new Promise((r) => setTimeout(r, OBSERVED_MS));
        await lookups.stop();
        guest.close();
        t.deepEqual(
          guest.arrivals.filter((at) => at >= from),
          [],
        );
      },
      { controls: 3, joinsThroughControl: true },
    );
  });
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
