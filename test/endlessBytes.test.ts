import { request } from "node:http";
import test from "ava";
import type { FleetTarget, LocalFleet } from "../scripts/LocalFleet.ts";
import { FaultMode } from "../src/standin/FaultMode.ts";
import { rssMb } from "./fixtures/rssMb.ts";
import { standIn } from "./fixtures/standIn.ts";
import { withFleet } from "./fixtures/withFleet.ts";

/** Number of targets; the first one is faulty. */
const TARGETS = 6;

const TIMEOUT_MS = 3000;

/** Time by which a caller must have its outcome, ms: the route's timeout, and a margin for a busy machine. */
const MAX_WAIT_MS = 8000;

/** Time after which a caller gives up, ms. */
const GIVE_UP_MS = 10_000;

/** Least share of lookups that must be served whole while a sixth of the targets is faulty, on a busy machine. */
const MIN_SERVED = 0.75;

/** Largest growth of all sidecars' memory together that is no leak, MB; the endless body added 231 MB on dc44cba. */
const MAX_GROWTH_MB = 120;

const CALLS = 200;
const CALL_INTERVAL_MS = 15;

/** Every tenth caller reads slowly: it waits this long between the reads of its response, ms. */
const SLOW_READ_MS = 40;

const targets: FleetTarget[] = Array.from({ length: TARGETS }, (_, n) => ({
  id: `van-${n}`,
  service: "glenbrae-bookings",
  zone: `zone-${"abc"[n % 3] ?? "a"}`,
  slots: 4,
  workMs: 20,
}));

const FAULTY = "van-0";

/** Response limits in the document; a body without end is ended only where a document asks for it. */
const RESPONSE_LIMITS = "\nlimits: { responses: { maxBytes: 4194304, silenceMs: 1000 } }\n";

/** A request, as its caller observed it. */
interface Call {
  /** Whether it reads its response slowly; how long that takes is up to it. */
  readonly isSlow: boolean;
  readonly isBooking: boolean;
  readonly isWhole: boolean;
  /** HTTP status; 0 if there was no response. */
  readonly status: number;
  readonly ms: number;
  readonly bytes: number;
}

/** Sends the `n`th request and reads its response; always resolves. Every third is a booking, which is not idempotent. */
function call(port: number, n: number): Promise<Call> {
  const startedAt = performance.now();
  const isBooking = n % 3 === 1;
  const isSlow = n % 10 === 9;
  let [status, bytes] = [0, 0];
  return new Promise((resolve) => {
    const end = (isWhole: boolean) => {
      clearTimeout(giveUp);
      resolve({ isSlow, isBooking, isWhole, status, ms: performance.now() - startedAt, bytes });
    };
    const kind = isBooking ? "van" : `lookup-${n}`;
    const path = `/glenbrae/bookings/${kind}${isSlow ? "?bytes=300000" : ""}`;
    const method = isBooking ? "POST" : "GET";
    const req = request({ host: "127.0.0.1", port, path, method, agent: false }, (res) => {
      status = res.statusCode ?? 0;
      res.on("data", (chunk: Buffer) => {
        bytes += chunk.length;
        if (isSlow) {
          res.pause();
          setTimeout(() => res.resume(), SLOW_READ_MS);
        }
      });
      res.once("close", () => {
        end(res.complete);
      });
    });
    req.on("error", () => {
      end(false);
    });
    const giveUp = setTimeout(() => req.destroy(), GIVE_UP_MS);
    req.end();
  });
}

async function sendCalls(fleet: LocalFleet): Promise<Call[]> {
  const ports = [...fleet.sidecars.values()].map((s) => s.ports.caller ?? 0);
  const pending: Promise<Call>[] = [];
  for (let n = 0; n < CALLS; n++) {
    pending.push(call(ports[n % ports.length] ?? 0, n));
    await new Promise((resolve) => setTimeout(resolve, CALL_INTERVAL_MS));
  }
  return Promise.all(pending);
}

const shareOf = (calls: readonly Call[]) =>
  calls.filter((c) => c.isWhole && c.status === 200).length / calls.length;

const cases: readonly { mode: FaultMode; trickles?: boolean }[] = [
  { mode: FaultMode.EndlessBody },
  { mode: FaultMode.EndlessHeaders },
  { mode: FaultMode.EndlessHeaders, trickles: true },
  { mode: FaultMode.EndlessStatusLine },
  { mode: FaultMode.EndlessInterim },
  { mode: FaultMode.EndlessEmptyLines },
  { mode: FaultMode.EndlessChunkExtension },
  { mode: FaultMode.EndlessTrailers },
];

for (const { mode, trickles = false } of cases) {
  test.serial(`a target with ${mode}${trickles ? ", slowly," : ""} is contained`, async (t) => {
    // Guards against callers without an outcome, and sidecars whose memory grows with what a faulty target sends.
    t.timeout(120_000);
    await withFleet(
      targets,
      async (fleet) => {
        await sendCalls(fleet);
        const rss = () => [...fleet.sidecars.values()].reduce((sum, s) => sum + rssMb(s), 0);
        const before = rss();
        await standIn.setEndless(fleet, FAULTY, mode, trickles);
        const calls = await sendCalls(fleet);
        const growthMb = Math.round(rss() - before);
        const lookups = shareOf(calls.filter((c) => !c.isBooking));
        const longestMs = Math.round(Math.max(...calls.filter((c) => !c.isSlow).map((c) => c.ms)));
        const unanswered = calls.filter((c) => c.status === 0).length;
        const mostBytes = Math.max(...calls.map((c) => c.bytes));
        t.log(
          JSON.stringify({
            lookups,
            all: shareOf(calls),
            longestMs,
            unanswered,
            mostBytes,
            growthMb,
          }),
        );
        t.true(lookups >= MIN_SERVED);
        t.is(unanswered, 0);
        t.true(longestMs <= MAX_WAIT_MS);
        t.true(growthMb < MAX_GROWTH_MB);
      },
      { timeoutMs: TIMEOUT_MS, moreDocument: RESPONSE_LIMITS },
    );
  });
}
