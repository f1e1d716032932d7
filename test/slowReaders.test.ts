import { once } from "node:events";
import { request, type IncomingMessage } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import test from "ava";
import type { FleetTarget } from "../scripts/LocalFleet.ts";
import { eventually } from "./fixtures/eventually.ts";
import { withFleet } from "./fixtures/withFleet.ts";

const target: FleetTarget = {
  id: "van-0",
  service: "glenbrae-bookings",
  zone: "zone-a",
  slots: 4,
  workMs: 5,
};

/** The stand-in takes some seconds to make a response of 200 MB on a busy machine, ms. */
const TIMEOUT_MS = 10_000;

/** Time for which a caller does not read, ms: longer than the route's timeout and the limit on a target's silence. */
const PAUSE_MS = 11_000;

const LIMITS = "\nlimits: { responses: { maxBytes: 300000000, silenceMs: 1000 } }\n";

const LOOKUP = { method: "GET", path: "/glenbrae/bookings/van-7" };

/** A booking's response is buffered whole, as its run could not be repeated. */
const BOOKING = { method: "POST", path: "/glenbrae/bookings/van" };

/** Sends a request; resolves with the head of its response. */
async function open(
  port: number,
  { method, path }: typeof LOOKUP,
  bytes = 0,
): Promise<IncomingMessage> {
  const options = { host: "127.0.0.1", port, method, path: `${path}?bytes=${bytes}`, agent: false };
  const req = request(options).end();
  const [res] = (await once(req, "response")) as [IncomingMessage];
  return res;
}

/** Reads a response to its end; resolves with its length. */
async function readAll(res: IncomingMessage): Promise<number> {
  let bytes = 0;
  res.on("data", (chunk: Buffer) => (bytes += chunk.length));
  await once(res, "end");
  return bytes;
}

test.serial(
  "a large download is delivered to a caller that pauses, whatever the limits",
  async (t) => {
    // Guards against limits on a target's time that count the time in which a caller does not read.
    await withFleet(
      [target],
      async (fleet) => {
        const port = fleet.sidecars.get("van-0")?.ports.caller ?? 0;
        const bytes = 200_000_000;
        const res = await open(port, LOOKUP, bytes);
        t.is(res.statusCode, 200);
        await sleep(PAUSE_MS);
        t.true((await readAll(res)) > bytes);
        t.true(res.complete);
      },
      { timeoutMs: TIMEOUT_MS, moreDocument: LIMITS },
    );
  },
);

test.serial(
  "new requests are refused near the memory limit, and what has run is delivered",
  async (t) => {
    // Guards against a sidecar that runs out of memory, or makes room by losing a response.
    await withFleet(
      [target],
      async (fleet) => {
        const port = fleet.sidecars.get("van-0")?.ports.caller ?? 0;
        const bytes = 50_000_000;
        const unread = await open(port, BOOKING, bytes);
        t.is(unread.statusCode, 200);
        const refused = await open(port, LOOKUP);
        t.is(refused.statusCode, 503);
        t.is(refused.headers["x-burdockpass-verdict"], "not-run");
        await sleep(PAUSE_MS);
        t.true((await readAll(unread)) > bytes);
        await eventually(async () => (await open(port, LOOKUP)).statusCode === 200);
        t.is((await open(port, LOOKUP)).statusCode, 200);
      },
      {
        timeoutMs: TIMEOUT_MS,
        moreDocument: LIMITS,
        sidecarSettings: { memory: { maxHeldBytes: 60_000_000 } },
      },
    );
  },
);
