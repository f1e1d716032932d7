import { createReadStream, readFileSync, readdirSync, rmSync, existsSync } from "node:fs";
import { join } from "node:path";
import { createInterface } from "node:readline";
import { freePort } from "../scripts/freePort.ts";
import { LocalFleet, type SidecarAddresses } from "../scripts/LocalFleet.ts";
import type { FaultMode } from "../src/standin/FaultMode.ts";
import { STOP_GRACE_MS } from "./checks/stopsEndInTime.ts";
import type { FleetRetryBudget } from "./checks/retryBudget.ts";
import type { TargetRecord, ResourceSample } from "./History.ts";
import { LinkProxy } from "./LinkProxy.ts";
import { vmNames } from "./planSoak.ts";
import { createRng, type Rng } from "./createRng.ts";
import type { SoakPlan } from "./SoakPlan.ts";

/** The fleet's retry budget: a short window, so that a run holds many. */
export const SOAK_BUDGET: FleetRetryBudget = { ratio: 0.2, windowMs: 5000, slack: 20 };

/** Callers are sent elsewhere once two looks, half a second apart, have missed. */
const CALLERS_DRAIN_MS = 1300;

/** Share of the desk's runs that call the ledger. */
const NESTED_CALL_SHARE = "0.7";

/** Long enough for a clean end after the longest run. */
const EXIT_WAIT_MS = 500;

/** The processes of a run, and what can be done to them from outside. */
export class SoakFleet {
  readonly #plan: SoakPlan;
  readonly #rng: Rng;
  readonly #fleet: LocalFleet;
  readonly #links = new Map<string, LinkProxy[]>();
  /** Lives of each process so far. */
  readonly #incarnations = new Map<string, number>();
  #startedAt = 0;

  constructor(plan: SoakPlan) {
    this.#plan = plan;
    this.#rng = createRng(plan.seed + 1);
    const { ratio, windowMs, slack } = SOAK_BUDGET;
    this.#fleet = new LocalFleet({
      controls: plan.controls,
      advertise: (id, addresses) => this.#openLinks(id, addresses),
      sidecarSettings: {
        retryBudget: { ratio, windowMs, slack },
        stop: { callersMs: CALLERS_DRAIN_MS, graceMs: STOP_GRACE_MS },
        gossipIntervalMs: 500,
      },
      standInArgs: (id, ports) => this.#standInArgs(id, ports),
    });
  }

  get dir(): string {
    return this.#fleet.dir;
  }

  get vms(): string[] {
    return this.#plan.services.flatMap((s) => vmNames(s));
  }

  get controlAddresses(): string[] {
    return this.#fleet.controlAddresses;
  }

  /** Ms since the load began. */
  get now(): number {
    return Date.now() - this.#startedAt;
  }

  async start(): Promise<void> {
    const { services, zones } = this.#plan;
    const targets = services.flatMap((service) =>
      vmNames(service).map((id, n) => ({
        id,
        service: service.name,
        zone: `zone-${"abcd"[n % zones] ?? "a"}`,
        slots: service.slots,
        workMs: service.workMs,
      })),
    );
    await this.#fleet.start(targets);
  }

  /** Waits until every sidecar knows every target; the load begins now. */
  async startLoad(version: number): Promise<void> {
    await this.#fleet.waitForVersion(version);
    await this.#fleet.waitForTargets(this.vms.length);
    this.#startedAt = Date.now();
  }

  callerPort(vm: string): number {
    return this.#fleet.sidecars.get(vm)?.ports.caller ?? 0;
  }

  adminPort(vm: string): number {
    return this.#fleet.sidecars.get(vm)?.ports.admin ?? 0;
  }

  incarnation(vm: string): number {
    return this.#incarnations.get(vm) ?? 1;
  }

  links(vm: string): readonly LinkProxy[] {
    return this.#links.get(vm) ?? [];
  }

  signal(name: string, signal: NodeJS.Signals): void {
    this.#process(name)?.kill(signal);
  }

  /** Whether the process has not ended. */
  isRunning(name: string): boolean {
    const proc = this.#process(name);
    return proc?.exitCode === null && proc.signalCode === null;
  }

  /** Resolves with the exit code once the process has ended. */
  async waitForExit(name: string): Promise<number | null> {
    const proc = this.#process(name);
    if (!proc || !this.isRunning(name)) {
      return proc?.exitCode ?? null;
    }
    return new Promise((resolve) => proc.once("exit", resolve));
  }

  /** Starts a process again, as it was set up. */
  async restart(name: string, isWiped: boolean): Promise<void> {
    if (isWiped) {
      rmSync(join(this.dir, this.isControl(name) ? name : `sidecar-${name}`), {
        recursive: true,
        force: true,
      });
    }
    this.#incarnations.set(name, this.incarnation(name) + 1);
    await (this.isControl(name)
      ? this.#fleet.restartControl(name)
      : this.#fleet.restartSidecar(name));
  }

  isControl(name: string): boolean {
    return this.#fleet.controls.has(name);
  }

  /** Has a stand-in misbehave, or not any more. */
  async setFault(vm: string, mode: FaultMode): Promise<void> {
    await this.#postToStandIn(vm, "fault", { mode, lies: true });
  }

  /** Has a stand-in say that it leaves. */
  async drain(vm: string): Promise<void> {
    await this.#postToStandIn(vm, "drain", {});
  }

  /** What the stand-ins wrote down. */
  async targetRecords(): Promise<TargetRecord[]> {
    const records: TargetRecord[] = [];
    const files = readdirSync(this.dir).filter((f) => f.endsWith(".journal"));
    for (const file of files) {
      for await (const line of createInterface({ input: createReadStream(join(this.dir, file)) })) {
        const record = JSON.parse(line) as TargetRecord;
        records.push({ ...record, at: record.at - this.#startedAt });
      }
    }
    return records;
  }

  /** What each process of the product uses now. */
  sampleResources(): ResourceSample[] {
    const names = [...this.vms, ...this.#fleet.controls.keys()];
    return names.flatMap((name) => {
      const pid = this.#process(name)?.pid;
      const proc = `/proc/${pid ?? 0}`;
      if (!this.isRunning(name) || !existsSync(proc)) {
        return [];
      }
      try {
        const pages = Number(readFileSync(`${proc}/statm`, "utf8").split(" ")[1]);
        const rssMb = Math.round((pages * 4096) / 2 ** 20);
        const descriptors = readdirSync(`${proc}/fd`).length;
        return [{ at: this.now, name, life: this.incarnation(name), rssMb, descriptors }];
      } catch {
        return []; // It has ended in between.
      }
    });
  }

  async stop(): Promise<void> {
    for (const name of [...this.vms, ...this.#fleet.controls.keys()]) {
      this.signal(name, "SIGCONT");
    }
    await this.#fleet.stop();
    await new Promise((resolve) => setTimeout(resolve, EXIT_WAIT_MS));
    await Promise.all([...this.#links.values()].flat().map((link) => link.close()));
  }

  async #openLinks(id: string, { peer, hop }: SidecarAddresses): Promise<SidecarAddresses> {
    const open = async (address: string) => {
      const link = new LinkProxy(Number(address.split(":").at(-1)), this.#rng);
      const port = await freePort();
      await link.listen(port);
      return { link, address: `127.0.0.1:${port}` };
    };
    const [toPeer, toHop] = await Promise.all([open(peer), open(hop)]);
    this.#links.set(id, [toPeer.link, toHop.link]);
    return { peer: toPeer.address, hop: toHop.address };
  }

  #standInArgs(id: string, ports: Record<string, number>): string[] {
    const journal = `--journal=${join(this.dir, `${id}.journal`)}`;
    const calls = [
      "--call-path=/ledger/entry",
      `--call-port=${ports.caller ?? 0}`,
      `--call-share=${NESTED_CALL_SHARE}`,
    ];
    return id.startsWith("desk") ? [journal, ...calls] : [journal];
  }

  async #postToStandIn(vm: string, path: string, body: object): Promise<void> {
    const port = this.#fleet.targets.get(vm)?.ports.http ?? 0;
    const init = { method: "POST", body: JSON.stringify(body) };
    await fetch(`http://127.0.0.1:${port}/_standin/${path}`, init).catch(() => undefined);
  }

  #process(name: string) {
    return (this.#fleet.sidecars.get(name) ?? this.#fleet.controls.get(name))?.proc;
  }
}
