import type { ServerResponse } from "node:http";
import { answerHeaders } from "../4/harness/answerHeaders.ts";
import { Client, type Exchange } from "../4/harness/Client.ts";
import { configOf, HOST } from "../4/harness/configOf.ts";
import type { Fleet } from "../4/harness/Fleet.ts";
import { Instance, type Run } from "../4/harness/Instance.ts";
import { Operator } from "../4/harness/Operator.ts";
import { hasTrouble, runCase, type Verdict } from "../4/harness/runCase.ts";
import { sleep } from "../4/harness/sleep.ts";

/** Terms of the site, ms. */
const DRAIN_MS = 2000;
const CONTACT_WINDOW_MS = 3000;

const WORK_MS = 370;
const TIMEOUT_MS = 8000;
const DEADLINE_MS = 10_000;

/** Interval between the bookings of each taking machine's clients, ms. */
const INTERVAL_MS = 40;

/** The last heartbeat before the withdrawal arrives this late, ms. */
const LATE_MS = 2500;

/** The sidecar is killed this long after it has acknowledged the withdrawal, ms. */
const KILL_AFTER_MS = 200;

/** The instance serves for this long after the acknowledgement, and then exits, ms. */
const SERVES_MS = 7500;

const LEAD_MS = 3000;

/** Moments of the play, Unix ms. */
interface Moments {
  /** Acknowledgement of the withdrawal. */
  acknowledgedAt: number;
  /** From when on the machine of the killed sidecar is in touch again. */
  inTouchAt: number;
}

async function play(fleet: Fleet, record: (event: string) => void): Promise<Verdict> {
  const runs: Run[] = [];
  const onRun = (run: Run) => {
    runs.push(run);
    record(`${run.instance} runs ${run.attempt}`);
  };
  const work = async (run: Run, res: ServerResponse) => {
    await sleep(WORK_MS);
    if (!res.destroyed) {
      res.writeHead(200, answerHeaders(run)).end(`done ${run.attempt}`);
    }
  };
  const instances = fleet.sidecars.map(
    (machine, n) => new Instance(fleet, machine, { id: `i-${n + 1}`, slots: 5, work, onRun }),
  );
  await Promise.all(instances.map((instance) => instance.start()));
  const route = { kind: "unsafe", service: "hire-book", timeoutMs: TIMEOUT_MS } as const;
  const config = configOf(["fleet-desk", "hire-book"], { "/book/": route });
  if (!(await new Operator(fleet).order("PUT", config))) {
    throw new Error("the configuration was not acknowledged");
  }
  if (!(await fleet.awaitReady())) {
    throw new Error("the sidecars are not ready");
  }
  await sleep(3000);
  const pending: Promise<Exchange>[] = [];
  const stopTraffic = startTraffic(fleet, record, pending);
  await sleep(LEAD_MS);
  const leaving = instances[2];
  const machine = fleet.sidecars[2];
  if (!leaving || !machine) {
    throw new Error("there is no third machine");
  }
  void leaving.sendHeartbeat(LATE_MS).then((status) => {
    record(`late heartbeat of ${leaving.id} arrived: status ${status}`);
  });
  await sleep(50);
  const status = await leaving.withdraw();
  record(`withdrawal of ${leaving.id}: status ${status}`);
  if (status !== 200) {
    throw new Error("the withdrawal was not acknowledged");
  }
  const moments: Moments = { acknowledgedAt: Date.now(), inTouchAt: 0 };
  await sleep(KILL_AFTER_MS);
  if (hasTrouble) {
    fleet.signal(machine, "SIGKILL");
    moments.inTouchAt = Date.now() + fleet.restartDelayMs + CONTACT_WINDOW_MS;
  }
  await sleep(SERVES_MS - KILL_AFTER_MS);
  leaving.exit();
  record(`${leaving.id} exits`);
  await sleep(500);
  stopTraffic();
  const exchanges = await Promise.all(pending);
  for (const { attempt, status: answered, end } of exchanges) {
    record(`${attempt} answered: status ${answered}, ${end}`);
  }
  const late = runs.filter((run) => run.instance === leaving.id && isLate(run, moments));
  return judge(late, exchanges, record);
}

/** Has the clients of the machines of another service book; returns what stops them. */
function startTraffic(
  fleet: Fleet,
  record: (event: string) => void,
  pending: Promise<Exchange>[],
): () => void {
  const takers = fleet.sidecars.filter((m) => m.service === "fleet-desk");
  const timers = takers.map((machine) => {
    const { name } = machine;
    const address = fleet.address(machine, "outbound");
    const client = new Client({ machine: name, address, host: HOST, deadlineMs: DEADLINE_MS });
    let count = 0;
    return setInterval(() => {
      count += 1;
      const attempt = `${name}-${count}`;
      record(`${attempt} sent to ${name}`);
      pending.push(client.send("POST", "/book/1", attempt));
    }, INTERVAL_MS);
  });
  return () => {
    timers.forEach((timer) => {
      clearInterval(timer);
    });
  };
}

/** Whether a request reached the instance later than `drain_ms` after the acknowledgement, and with all machines in touch. */
function isLate({ startedAt }: Run, { acknowledgedAt, inTouchAt }: Moments): boolean {
  return startedAt > acknowledgedAt + DRAIN_MS && startedAt > inTouchAt;
}

/** DRAIN: a request reaches an instance later than `drain_ms` after its leaving was acknowledged. */
function judge(
  late: readonly Run[],
  exchanges: readonly Exchange[],
  record: (event: string) => void,
): Verdict {
  const served = new Set(exchanges.filter((e) => e.status === 200).map((e) => e.attempt));
  const lost = late.filter(({ attempt }) => !served.has(attempt));
  for (const { attempt } of late) {
    record(`${attempt} came late${served.has(attempt) ? "" : ", and was lost"}`);
  }
  const summary = `${exchanges.length} bookings, ${late.length} reached the withdrawn instance late, ${lost.length} of them were lost`;
  return { isBroken: late.length > 0, summary };
}

const sidecars = Array.from({ length: 10 }, (_, n) => ({
  zone: `hall-${"abcd"[n % 4] ?? "a"}`,
  service: n < 2 ? "fleet-desk" : "hire-book",
}));
const bounds = { drain_ms: DRAIN_MS, grace_s: 6, config_apply_ms: 2000 };
void runCase(7, { cores: 3, sidecars, memoryMb: 350, bounds }, play);
