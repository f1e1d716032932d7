import type { ServerResponse } from "node:http";
import { answerHeaders } from "../4/harness/answerHeaders.ts";
import { Client, type Exchange } from "../4/harness/Client.ts";
import { configOf, HOST } from "../4/harness/configOf.ts";
import type { Fleet, Machine } from "../4/harness/Fleet.ts";
import { Instance, type Run } from "../4/harness/Instance.ts";
import { Operator } from "../4/harness/Operator.ts";
import { hasTrouble, runCase, type Verdict } from "../4/harness/runCase.ts";
import { sleep } from "../4/harness/sleep.ts";

/** Memory of a sidecar machine, MB, as in the site file; the platform kills a process that uses more. */
const MEMORY_MB = 250;
const MEMORY_CHECK_MS = 20;

/** The disruption: one instance sends bodies without end, in a share of its answers, for a while. */
const FAILING_SHARE = 0.4;
const TROUBLE_MS = 5000;

/** Work of a booking and of a lookup, ms. */
const WORK_MS = { booking: 370, lookup: 480 } as const;

/** Rate of a machine's link as in the site file, 15.4 Mbit/s, in bytes per ms. Clients read no faster. */
const LINK_RATE = 1925;

const TIMEOUT_MS = 8000;
const DEADLINE_MS = 10_000;

/** Interval between the requests of the clients of each machine with a booking instance, ms. */
const BOOKING_INTERVAL_MS = 250;
const LOOKUP_INTERVAL_MS = 50;

/** Bookings and lookups before and after the disruption, ms. */
const LEAD_MS = 4000;
const REST_MS = 2000;

/** Unanswered requests on kept connections from which the rule is broken. */
const MAX_LOST = 3;

const BLOCK = Buffer.alloc(64 * 1024, "x");

/** Sends a body without end, until the caller closes the connection. */
async function sendWithoutEnd(run: Run, res: ServerResponse): Promise<void> {
  res.writeHead(200, answerHeaders(run));
  while (!res.destroyed) {
    if (!res.write(BLOCK)) {
      await sleep(1);
    }
  }
}

async function play(fleet: Fleet, record: (event: string) => void): Promise<Verdict> {
  const runs = new Map<string, Run>();
  const state = { isInTrouble: false, answers: 0, endless: 0 };
  const faulty = fleet.sidecars.find((m) => m.service === "hire-book");
  for (const [n, machine] of fleet.sidecars.entries()) {
    const work = async (run: Run, res: ServerResponse) => {
      await sleep(machine.service === "hire-book" ? WORK_MS.booking : WORK_MS.lookup);
      if (res.destroyed) {
        return;
      }
      if (machine === faulty && state.isInTrouble) {
        state.answers += 1;
        if (state.endless < state.answers * FAILING_SHARE) {
          state.endless += 1;
          record(`${run.instance} answers ${run.attempt} without end`);
          await sendWithoutEnd(run, res);
          return;
        }
      }
      res.writeHead(200, answerHeaders(run)).end(`done ${run.attempt}`);
    };
    const onRun = (run: Run) => {
      runs.set(run.attempt, run);
      record(`${run.instance} runs ${run.attempt}`);
    };
    await new Instance(fleet, machine, { id: `i-${n + 1}`, slots: 5, work, onRun }).start();
  }
  const routes = {
    "/book/": { kind: "unsafe", service: "hire-book", timeoutMs: TIMEOUT_MS },
    "/desk/": { kind: "safe", service: "fleet-desk", timeoutMs: TIMEOUT_MS },
  } as const;
  if (!(await new Operator(fleet).order("PUT", configOf(["hire-book", "fleet-desk"], routes)))) {
    throw new Error("the configuration was not acknowledged");
  }
  if (!(await fleet.awaitReady())) {
    throw new Error("the sidecars are not ready");
  }
  await sleep(3000);
  const killedAt = new Map<string, number[]>();
  const stopWatching = watchMemory(fleet, record, killedAt);
  const pending: Promise<Exchange>[] = [];
  const stopTraffic = startTraffic(fleet, record, pending);
  await sleep(LEAD_MS);
  state.isInTrouble = hasTrouble;
  await sleep(TROUBLE_MS);
  state.isInTrouble = false;
  await sleep(REST_MS);
  stopTraffic();
  const exchanges = await Promise.all(pending);
  stopWatching();
  for (const { attempt, status, bytes, end } of exchanges) {
    record(`${attempt} answered: status ${status}, ${bytes} bytes, ${end}`);
  }
  return judge(exchanges, runs, killedAt, record);
}

/** Kills a process that uses more memory than its machine has, as the platform does; returns what stops this. */
function watchMemory(
  fleet: Fleet,
  record: (event: string) => void,
  killedAt: Map<string, number[]>,
): () => void {
  const peaks = new Map<Machine, number>();
  const timer = setInterval(() => {
    for (const machine of fleet.sidecars) {
      const mb = fleet.residentMb(machine);
      peaks.set(machine, Math.max(mb, peaks.get(machine) ?? 0));
      if (mb > MEMORY_MB) {
        record(`${machine.name} uses ${mb.toFixed(0)} MB of ${MEMORY_MB}`);
        killedAt.set(machine.name, [...(killedAt.get(machine.name) ?? []), Date.now()]);
        fleet.signal(machine, "SIGKILL");
      }
    }
  }, MEMORY_CHECK_MS);
  return () => {
    clearInterval(timer);
    for (const [machine, mb] of peaks) {
      record(`${machine.name} used ${mb.toFixed(0)} MB at most`);
    }
  };
}

/** Has the clients of the machines with a booking instance send bookings and lookups; returns what stops them. */
function startTraffic(
  fleet: Fleet,
  record: (event: string) => void,
  pending: Promise<Exchange>[],
): () => void {
  const takers = fleet.sidecars.filter((m) => m.service === "hire-book");
  const timers = takers.flatMap((machine) => {
    const { name } = machine;
    const address = fleet.address(machine, "outbound");
    const client = new Client({
      ...{ machine: name, address, host: HOST },
      ...{ deadlineMs: DEADLINE_MS, readRate: LINK_RATE },
    });
    let count = 0;
    const send = (method: string, path: string, kind: string) => () => {
      count += 1;
      const attempt = `${name}-${kind}-${count}`;
      record(`${attempt} sent to ${name}`);
      pending.push(client.send(method, path, attempt));
    };
    return [
      setInterval(send("POST", "/book/1", "booking"), BOOKING_INTERVAL_MS),
      setInterval(send("GET", "/desk/1", "lookup"), LOOKUP_INTERVAL_MS),
    ];
  });
  return () => {
    timers.forEach((timer) => {
      clearInterval(timer);
    });
  };
}

/**
 * LOST at any time: more than three requests that were passed on to a sound instance, on connections that then end
 * without an answer. The process ended by itself, so it counts as running. Lookups run at instances without any fault.
 */
function judge(
  exchanges: readonly Exchange[],
  runs: ReadonlyMap<string, Run>,
  killedAt: ReadonlyMap<string, readonly number[]>,
  record: (event: string) => void,
): Verdict {
  const lost = exchanges.filter(
    ({ attempt, path, status, end }) =>
      path.startsWith("/desk/") && end === "closed" && status === 0 && runs.has(attempt),
  );
  for (const { attempt, machine } of lost) {
    record(`${attempt} lost at ${machine}`);
  }
  const kills = [...killedAt].map(([name, times]) => `${name} ${times.length} times`);
  const summary = `${exchanges.length} requests; over ${MEMORY_MB} MB and killed: ${kills.join(", ") || "none"}; ${lost.length} lookups passed on to sound instances lost their connections`;
  return { isBroken: lost.length > MAX_LOST, summary };
}

const sidecars = ["hall-a", "hall-b"].flatMap((zone) =>
  ["hire-book", "fleet-desk", "fleet-desk", "fleet-desk"].map((service) => ({ zone, service })),
);
const bounds = { drain_ms: 2000, grace_s: 6, config_apply_ms: 2000 };
void runCase(7, { cores: 3, sidecars, memoryMb: MEMORY_MB, bounds }, play);
