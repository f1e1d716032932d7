import test from "ava";
import type { FleetTarget, LocalFleet } from "../scripts/LocalFleet.ts";
import { withFleet } from "./fixtures/withFleet.ts";

const TARGET_COUNT = 10;
const SLOTS = 6;
const WORK_MS = 60;

/** Part of the path of the request that ends every target that runs it. */
const FATAL = "fatal";

/** Ordinary requests a second, and copies of the fatal one. */
const ORDINARY_PER_SECOND = 50;
const FATAL_PER_SECOND = 2.5;

const LOAD_MS = 12_000;

/** Time until an ended target is started again, ms. */
const RESTART_MS = 1500;

/** The users' rule: later than this after the third crash, a request reaches no more than three targets. */
const CONTACT_WINDOW_MS = 3000;
const MAX_LATE_CRASHES = 3;

/** The users' alert: a service is in trouble when it serves less than this share. */
const MIN_SERVED = 0.9;

const sleep = (ms: number) => new Promise((resolve) => setTimeout(resolve, Math.max(0, ms)));

/** A kind of request, and the service that runs it. */
interface Kind {
  readonly name: string;
  readonly service: string;
  readonly prefix: string;
  readonly init: RequestInit;
}

const lookups: Kind = {
  name: "lookup",
  service: "glenbrae-availability",
  prefix: "/glenbrae/availability",
  init: {},
};

const bookings: Kind = {
  name: "booking",
  service: "glenbrae-bookings",
  prefix: "/glenbrae/bookings/van",
  init: { method: "POST", body: "{}" },
};

const targetsOf = ({ service, prefix }: Kind): FleetTarget[] =>
  Array.from({ length: TARGET_COUNT }, (_, n) => ({
    id: `target-${n}`,
    service,
    zone: `zone-${"abc"[n % 3] ?? "a"}`,
    slots: SLOTS,
    workMs: WORK_MS,
    standInArgs: [`--crash-path=${prefix}/${FATAL}`],
  }));

interface Response {
  readonly status: number;
  readonly reason: string;
}

/** Sends requests through all sidecars in turn for `LOAD_MS`. */
async function send(
  fleet: LocalFleet,
  kind: Kind,
  perSecond: number,
  pathOf: (n: number) => string,
): Promise<Response[]> {
  const ports = [...fleet.sidecars.values()].map((s) => s.ports.caller ?? 0);
  const responses: Promise<Response>[] = [];
  const startedAt = Date.now();
  for (let n = 0; Date.now() - startedAt < LOAD_MS; n++) {
    const url = `http://127.0.0.1:${ports[n % ports.length] ?? 0}${kind.prefix}/${pathOf(n)}`;
    responses.push(
      fetch(url, kind.init).then(async (res) => {
        const text = await res.text();
        const { reason = "" } = (res.ok ? {} : JSON.parse(text)) as { reason?: string };
        return { status: res.status, reason };
      }),
    );
    await sleep(startedAt + ((n + 1) * 1000) / perSecond - Date.now());
  }
  return Promise.all(responses);
}

/** Starts ended targets again, each as a new incarnation; returns the times at which targets ended, ms. */
function keepRunning(fleet: LocalFleet) {
  const ends: number[] = [];
  const restarts: Promise<void>[] = [];
  let isOver = false;
  const watch = (id: string, incarnation: number) => {
    fleet.targets.get(id)?.proc.once("exit", () => {
      if (isOver) {
        return;
      }
      ends.push(Date.now());
      restarts.push(
        sleep(RESTART_MS).then(async () => {
          await fleet.restartTarget(id, `${id}.${incarnation}`);
          watch(id, incarnation + 1);
        }),
      );
    });
  };
  [...fleet.targets.keys()].forEach((id) => {
    watch(id, 1);
  });
  const stop = async () => {
    isOver = true;
    await Promise.all(restarts);
  };
  return { ends, stop };
}

const shareServed = (responses: readonly Response[]) =>
  responses.filter((r) => r.status === 200).length / responses.length;

for (const kind of [lookups, bookings]) {
  test.serial(
    `query of death: a ${kind.name} that ends its targets is kept away from them`,
    async (t) => {
      const { served, ends } = await withFleet(targetsOf(kind), async (fleet) => {
        const targets = keepRunning(fleet);
        const [ordinary] = await Promise.all([
          send(fleet, kind, ORDINARY_PER_SECOND, String),
          send(fleet, kind, FATAL_PER_SECOND, () => FATAL),
        ]);
        await targets.stop();
        return { served: shareServed(ordinary), ends: targets.ends };
      });
      const late = ends.filter((at) => at > (ends[2] ?? Infinity) + CONTACT_WINDOW_MS).length;
      t.log({ ended: ends.length, late, served });
      t.true(late <= MAX_LATE_CRASHES, `${late} targets ended late`);
      t.true(served >= MIN_SERVED, `${served} served`);
    },
  );
}

test.serial(
  "query of death: equal lookups are not blocked when several targets are killed at once",
  async (t) => {
    const responses = await withFleet(targetsOf(lookups), async (fleet) => {
      const targets = keepRunning(fleet);
      const kills = (async () => {
        for (let round = 0; round < 4; round++) {
          await sleep(2500);
          const rack = [...fleet.targets.keys()].filter((_, n) => (n + round) % 2 === 0);
          await Promise.all(rack.map((id) => fleet.killTarget(id)));
        }
      })();
      const sent = await send(fleet, lookups, 2 * ORDINARY_PER_SECOND, () => "popular");
      await kills;
      await targets.stop();
      return sent;
    });
    const served = shareServed(responses);
    const blocked = responses.filter((r) => r.reason.includes("quarantined")).length;
    t.log({ served, blocked });
    t.is(blocked, 0);
    t.true(served >= MIN_SERVED, `${served} served`);
  },
);
