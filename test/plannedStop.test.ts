import { connect, type Socket } from "node:net";
import test from "ava";
import type { FleetTarget, LocalFleet } from "../scripts/LocalFleet.ts";
import { standIn } from "./fixtures/standIn.ts";
import { withFleet } from "./fixtures/withFleet.ts";

const sleep = (ms: number) => new Promise((r) => setTimeout(r, ms));

/** Number of bookings before the stop, from which the sidecar learns how long they take. */
const WARM_UP_BOOKINGS = 32;

/** Time after the SIGTERM at which the head of a later booking begins, so that its connection is not closed as idle. */
const HEAD_BEGINS_MS = 2300;

/** Longer than any run, so that no booking ends by its deadline. */
const TIMEOUT_MS = 30_000;

const sidecarSettings = { stop: { callersMs: 2700, graceMs: 5600 } };

/** A caller with a kept connection to the sidecar that is stopped. */
class Caller {
  readonly #socket: Socket;
  #received = "";
  #isClosed = false;

  constructor(port: number) {
    this.#socket = connect(port, "127.0.0.1");
    this.#socket.setNoDelay(true);
    this.#socket.on("data", (chunk: Buffer) => (this.#received += chunk.toString("latin1")));
    this.#socket.on("error", () => undefined);
    this.#socket.on("close", () => (this.#isClosed = true));
  }

  /** Begins a booking: writes the first line of its head. */
  begin(): void {
    this.#received = "";
    this.#socket.write("POST /glenbrae/bookings/van HTTP/1.1\r\nhost: fleet\r\n");
  }

  /** Sends the rest of a booking; resolves with its status and verdict, or "closed" without a whole response. */
  async finish(key: string): Promise<string> {
    this.#socket.write(`idempotency-key: ${key}\r\ncontent-length: 2\r\n\r\n{}`);
    for (;;) {
      const response = wholeResponse(this.#received);
      if (response ?? this.#isClosed) {
        return response ?? "closed";
      }
      await sleep(5);
    }
  }

  close(): void {
    this.#socket.destroy();
  }
}

/** Status and verdict of the response in `received`; undefined unless that is whole. */
function wholeResponse(received: string): string | undefined {
  const [head = "", ...rest] = received.split("\r\n\r\n");
  const length = /content-length: (\d+)/i.exec(head)?.[1];
  const isChunkedWhole = /chunked/i.test(head) && received.endsWith("0\r\n\r\n");
  const isWhole = length !== undefined && rest.join("\r\n\r\n").length >= Number(length);
  const status = /^HTTP\/1\.1 (\d+)/.exec(head)?.[1] ?? "";
  const verdict = /x-burdockpass-verdict: (\S+)/i.exec(head)?.[1] ?? "";
  return isWhole || isChunkedWhole ? `${status} ${verdict}` : undefined;
}

/** Sends a booking on a kept connection `sentAt` ms after the SIGTERM, which comes at `stopAt`. */
async function bookLate(caller: Caller, key: string, sentAt: number, stopAt: number) {
  const until = (ms: number) => sleep(Math.max(0, stopAt + ms - performance.now()));
  await until(Math.min(sentAt, HEAD_BEGINS_MS));
  caller.begin();
  await until(sentAt);
  return { key, sentAt, response: await caller.finish(key) };
}

const DONE = "200 done, 1 runs";
const NOT_RUN = "503 not-run, 0 runs";

/** Durations of bookings, and the times at which they are sent, ms after the SIGTERM. */
const stops: readonly { workMs: number; early: readonly number[]; late: readonly number[] }[] = [
  { workMs: 200, early: [1000, 2500], late: [3100, 3500, 4000, 4250, 4500, 4800] },
  { workMs: 1000, early: [1000, 2500], late: [3100, 3500, 4000, 4250, 4500, 4800] },
  { workMs: 2000, early: [0, 500], late: [3100, 3500, 4000, 4250, 4500, 4800] },
];

async function warmUp(callers: readonly Caller[]): Promise<void> {
  for (let n = 0; n < WARM_UP_BOOKINGS; n += callers.length) {
    await Promise.all(
      callers.map((caller, i) => {
        caller.begin();
        return caller.finish(`before-${n + i}`);
      }),
    );
  }
}

async function countRuns(fleet: LocalFleet, key: string): Promise<string> {
  return `${await standIn.countRuns(fleet, key)} runs`;
}

for (const { workMs, early, late } of stops) {
  test.serial(
    `planned stop: a booking of ${workMs} ms on a kept connection is not passed on and then cut off`,
    async (t) => {
      const targets: FleetTarget[] = [
        { id: "door-0", service: "glenbrae-availability", zone: "zone-a", slots: 4 },
        { id: "vans-0", service: "glenbrae-bookings", zone: "zone-b", slots: 16, workMs },
      ];
      const options = { timeoutMs: TIMEOUT_MS, sidecarSettings };
      await withFleet(
        targets,
        async (fleet) => {
          const sidecar = fleet.sidecars.get("door-0");
          const callers = Array.from({ length: 16 }, () => new Caller(sidecar?.ports.caller ?? 0));
          await warmUp(callers);
          const stopAt = performance.now();
          sidecar?.proc.kill("SIGTERM");
          const bookings = await Promise.all(
            [...early, ...late].map((sentAt, n) => {
              const caller = callers[n] ?? new Caller(0);
              return bookLate(caller, `late-${sentAt}`, sentAt, stopAt);
            }),
          );
          callers.forEach((c) => {
            c.close();
          });
          const outcomes = await Promise.all(
            bookings.map(async ({ key, sentAt, response }) => ({
              sentAt,
              outcome: `${response}, ${await countRuns(fleet, key)}`,
            })),
          );
          t.log(outcomes.map(({ sentAt, outcome }) => `${sentAt} ms: ${outcome}`).join("; "));
          const wrong = outcomes.filter(
            ({ sentAt, outcome }) =>
              outcome !== DONE && (early.includes(sentAt) || outcome !== NOT_RUN),
          );
          t.deepEqual(wrong, [], `logs in ${fleet.dir}`);
        },
        options,
      );
    },
  );
}

test.serial(
  "planned stop: a run at the stopped sidecar's target can still make its nested call",
  async (t) => {
    // Guards against runs that fail because their sidecar no longer accepts the connection of their nested call.
    const targets: FleetTarget[] = [
      { id: "door-0", service: "glenbrae-availability", zone: "zone-a", slots: 4 },
      { id: "vans-0", service: "glenbrae-bookings", zone: "zone-b", slots: 16, workMs: 200 },
    ];
    const standInArgs = (id: string, ports: Record<string, number>) =>
      id === "vans-0"
        ? ["--call-path=/glenbrae/availability/depot", `--call-port=${ports.caller ?? 0}`]
        : [];
    await withFleet(
      targets,
      async (fleet) => {
        const port = fleet.sidecars.get("door-0")?.ports.caller ?? 0;
        const callers = Array.from({ length: 16 }, () => new Caller(port));
        await warmUp(callers);
        const stopAt = performance.now();
        fleet.sidecars.get("vans-0")?.proc.kill("SIGTERM");
        const bookings = await Promise.all(
          [1000, 2000, 2300, 2550, 2600, 2650].map((sentAt, n) =>
            bookLate(callers[n] ?? new Caller(0), `late-${sentAt}`, sentAt, stopAt),
          ),
        );
        callers.forEach((c) => {
          c.close();
        });
        const failed = bookings.filter(
          ({ response }) => response !== "200 done" && response !== "503 not-run",
        );
        t.deepEqual(failed, [], `logs in ${fleet.dir}`);
      },
      { timeoutMs: TIMEOUT_MS, sidecarSettings, standInArgs },
    );
  },
);
