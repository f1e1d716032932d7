import { once } from "node:events";
import { request, type ClientRequest, type IncomingMessage } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import test from "ava";
import type { FleetTarget, LocalFleet, SidecarAddresses } from "../scripts/LocalFleet.ts";
import { SlowLink } from "./fixtures/SlowLink.ts";
import { standIn } from "./fixtures/standIn.ts";
import { withFleet } from "./fixtures/withFleet.ts";

/** The sidecar of `door` serves the callers, that of `van` is stopped. */
const TARGETS: readonly FleetTarget[] = [
  { id: "door", service: "glenbrae-availability", zone: "zone-a", slots: 4 },
  { id: "van", service: "glenbrae-bookings", zone: "zone-b", slots: 4, workMs: 5 },
];

/** No request fails by its deadline, nor a stop by the end of its grace period. */
const NO_DEADLINE = { timeoutMs: 20_000, sidecarSettings: { stop: { graceMs: 15_000 } } };

/** Time for which a caller does not read, or a link is slow, after the stop began, ms. */
const PAUSE_MS = 2000;

/** Work before a nested call: longer than a stopping sidecar that has no callers accepts new connections, ms. */
const NESTED_WORK_MS = 1000;

/** More than the buffers of all connections between target and caller hold, bytes. */
const UNBUFFERED_BYTES = 40_000_000;

const PATH = "/glenbrae/bookings/van";

/** A request to `van` through the sidecar of `door`, with the link in front of the sidecar of `van`. */
interface Exchange {
  readonly fleet: LocalFleet;
  readonly link: SlowLink;
  readonly open: (method: string, path: string, contentLength?: number) => ClientRequest;
  /** Begins the stop of the sidecar of `van`. */
  readonly stop: () => void;
}

/** Response as received by a caller; `bytes` is the length of its body. */
interface Received {
  readonly status: number | undefined;
  readonly bytes: number;
  readonly isWhole: boolean;
}

async function readAll(res: IncomingMessage): Promise<Received> {
  let bytes = 0;
  res.on("data", (chunk: Buffer) => (bytes += chunk.length));
  await new Promise<void>((resolve) => {
    res.once("error", () => undefined);
    res.once("close", resolve);
  });
  return { status: res.statusCode, bytes, isWhole: res.complete };
}

async function responseTo(req: ClientRequest): Promise<IncomingMessage> {
  const [res] = (await once(req, "response")) as [IncomingMessage];
  return res;
}

interface Case {
  readonly name: string;
  /** Whether other sidecars reach the one of `van` through the link. */
  readonly hasLink?: boolean;
  /** Whether `van` makes a nested call through its sidecar at the end of its work. */
  readonly hasNestedCall?: boolean;
  /** Least size of the body that the caller must get, bytes. */
  readonly minBytes: number;
  readonly exchange: (exchange: Exchange) => Promise<Received>;
}

const cases: readonly Case[] = [
  {
    name: "a download that its target sends slowly",
    minBytes: 4_000_000,
    exchange: async ({ open, stop }) => {
      const res = await responseTo(open("GET", `${PATH}?bytes=4000000&send-ms=3000`).end());
      stop();
      return readAll(res);
    },
  },
  {
    name: "a download whose caller pauses",
    minBytes: UNBUFFERED_BYTES,
    exchange: async ({ open, stop }) => {
      const res = await responseTo(open("GET", `${PATH}?bytes=${UNBUFFERED_BYTES}`).end());
      stop();
      await sleep(PAUSE_MS);
      return readAll(res);
    },
  },
  {
    name: "the large response of a booking whose caller pauses",
    minBytes: UNBUFFERED_BYTES,
    exchange: async ({ open, stop }) => {
      const res = await responseTo(open("POST", `${PATH}?bytes=${UNBUFFERED_BYTES}`).end());
      stop();
      await sleep(PAUSE_MS);
      return readAll(res);
    },
  },
  ...["POST", "GET"].map((method) => ({
    name: `the response to a ${method} over a slow link`,
    hasLink: true,
    minBytes: 600_000,
    exchange: async ({ fleet, link, open, stop }: Exchange) => {
      link.bytesPerS = 300_000;
      const res = responseTo(open(method, `${PATH}?bytes=600000`).end());
      await standIn.waitForReceived(fleet, 1);
      stop();
      return readAll(await res);
    },
  })),
  {
    name: "a booking whose body is still arriving",
    minBytes: 0,
    exchange: async ({ open, stop }) => {
      const half = Buffer.alloc(1_500_000, "x");
      const req = open("POST", PATH, 2 * half.length);
      const res = responseTo(req);
      req.write(half);
      await sleep(500);
      stop();
      await sleep(PAUSE_MS);
      req.end(half);
      return readAll(await res);
    },
  },
  {
    name: "the response of a booking whose connection between sidecars was reset",
    hasLink: true,
    minBytes: 0,
    exchange: async ({ fleet, link, open, stop }) => {
      const res = responseTo(open("POST", `${PATH}?send-ms=300`).end());
      await standIn.waitForReceived(fleet, 1);
      link.cut();
      stop();
      await sleep(1000);
      link.restore();
      return readAll(await res);
    },
  },
  {
    name: "a booking that makes a nested call",
    hasNestedCall: true,
    minBytes: 0,
    exchange: async ({ fleet, open, stop }) => {
      const res = responseTo(open("POST", PATH).end());
      await standIn.waitForReceived(fleet, 1);
      stop();
      return readAll(await res);
    },
  },
];

for (const { name, hasLink = false, hasNestedCall = false, minBytes, exchange } of cases) {
  test.serial(
    `a planned stop of the sidecar beside a target does not cut off ${name}`,
    async (t) => {
      // Guards against a sidecar that exits once its target is idle, while other sidecars still wait for it.
      let link = new SlowLink(0);
      const advertise = async (id: string, addresses: SidecarAddresses) => {
        if (id !== "van" || !hasLink) {
          return addresses;
        }
        link = new SlowLink(Number(addresses.hop.split(":")[1]));
        t.teardown(() => {
          link.stop();
        });
        return { ...addresses, hop: await link.start() };
      };
      const runExchange = async (fleet: LocalFleet) => {
        const port = fleet.sidecars.get("door")?.ports.caller;
        let exit: Promise<number | null> | undefined;
        const received = await exchange({
          fleet,
          link,
          open: (method, path, contentLength = 0) => {
            const headers = { "content-length": contentLength, "idempotency-key": "booking" };
            return request({ host: "127.0.0.1", port, method, path, headers, agent: false });
          },
          stop: () => {
            exit = fleet.stopSidecar("van");
          },
        });
        const seen = `${received.bytes} bytes; logs in ${fleet.dir}`;
        t.is(received.status, 200, seen);
        t.true(received.isWhole, seen);
        t.true(received.bytes >= minBytes, seen);
        t.is(await exit, 0);
      };
      const standInArgs = (id: string, ports: Record<string, number>) =>
        id === "van" && hasNestedCall
          ? [`--call-path=/glenbrae/availability/depot`, `--call-port=${ports.caller ?? 0}`]
          : [];
      const targets = hasNestedCall
        ? TARGETS.map((x) => ({ ...x, workMs: NESTED_WORK_MS }))
        : TARGETS;
      await withFleet(targets, runExchange, { ...NO_DEADLINE, advertise, standInArgs });
    },
  );
}
