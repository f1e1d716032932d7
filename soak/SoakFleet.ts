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

/** The fleet's retry budget. Its window is short, so that a soak run covers many windows. */
export const SOAK_BUDGET: FleetRetryBudget = { ratio: 0.2, windowMs: 5000, slack: 20 };

/**
 * Time for which a stopping sidecar still accepts connections, ms: callers are sent elsewhere after two failed readiness
 * probes, half a second apart.
 */
const CALLERS_DRAIN_MS = 1300;

/** Share of the desk service's runs that make a nested call to the ledger service. */
const NESTED_CALL_SHARE = "0.7";

/** Time until a target whose process has ended is started again, ms. */
const TARGET_RESTART_MS = 1500;

/** Beginning of the last part of the path of a request that ends its target. */
export const FATAL_REQUEST = "fatal-";

/** Wait before the links are closed, ms: long enough for the processes to exit cleanly after the longest run. */
const EXIT_WAIT_MS = 500;

/** The processes of a soak run, with the operations that control and observe them from outside. */
export class SoakFleet {
  readonly #plan: SoakPlan;
  readonly #rng: Rng;
  readonly #fleet: LocalFleet;
  /** By process: the proxies in front of its peer address and its hop address. */
  readonly #links = new Map<string, LinkProxy[]>();
  /** By process: its current incarnation; 1 until its first restart. */
  readonly #incarnations = new Map<string, number>();
  readonly #targetRestarts = new Set<Promise<void>>();
  #startedAt = 0;
  #isStopping = false;

  constructor(plan: SoakPlan) {
    this.#plan = plan;
    this.#rng = createRng(plan.seed + 1);
    const { ratio, windowMs, slack } = SOAK_BUDGET;
    this.#fleet = new LocalFleet({
      controls: plan.controls,
      sidecarDisks: plan.sidecarDisks ?? true,
      advertise: (id, addresses) => this.#openLinks(id, addresses),
      sidecarSettings: {
        retryBudget: { ratio, windowMs, slack },
        stop: plan.stop ?? { callersMs: CALLERS_DRAIN_MS, graceMs: STOP_GRACE_MS },
        gossipIntervalMs: 500,
        memory: { maxHeldBytes: 64 << 20 },
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

  /** Time since the start of the load, ms. */
  get now(): number {
    return Date.now() - this.#startedAt;
  }

  /** Starts all processes. */
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
    this.vms.forEach((vm) => {
      this.#keepTargetRunning(vm, 1);
    });
  }

  /** Waits until every sidecar has the document version and knows every target; the load's clock starts then. */
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

  /** Incarnation of the VM's sidecar, from 1. */
  incarnation(vm: string): number {
    return this.#incarnations.get(vm) ?? 1;
  }

  links(vm: string): readonly LinkProxy[] {
    return this.#links.get(vm) ?? [];
  }

  signal(name: string, signal: NodeJS.Signals): void {
    this.#process(name)?.kill(signal);
  }

  /** Names of all control replicas and sidecars. */
  get daemons(): string[] {
    return [...this.#fleet.controls.keys(), ...this.vms];
  }

  /** Whether the process has not exited. A frozen process counts as running. */
  isRunning(name: string): boolean {
    const proc = this.#process(name);
    return proc?.exitCode === null && proc.signalCode === null;
  }

  /** Resolves with the exit code once the process has exited; null if a signal ended it. */
  async waitForExit(name: string): Promise<number | null> {
    const proc = this.#process(name);
    if (!proc || !this.isRunning(name)) {
      return proc?.exitCode ?? null;
    }
    return new Promise((resolve) => proc.once("exit", resolve));
  }

  /**
   * Starts a process again with its original settings.
   *
   * @param isWiped whether its data directory is deleted first
   */
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

  /** Sets the fault mode of a stand-in target; its health endpoint reports it as healthy meanwhile. */
  async setFault(vm: string, mode: FaultMode): Promise<void> {
    await this.#postToStandIn(vm, "fault", { mode, lies: true });
  }

  /** Kills a stand-in target, which is then started again as a new incarnation. */
  killTarget(vm: string): void {
    this.#fleet.targets.get(vm)?.proc.kill("SIGKILL");
  }

  /** Called when the process of a stand-in target ends, with a promise of its restart. */
  onTargetEnded: (vm: string, restarted: Promise<void>) => void = () => undefined;

  /** Makes a stand-in target report that it is draining. */
  async drain(vm: string): Promise<void> {
    await this.#postToStandIn(vm, "drain", {});
  }

  /** Sets headers that a stand-in target adds to its responses; resolves with whether it did. */
  setHeaders(vm: string, headers: Readonly<Record<string, string | undefined>>): Promise<boolean> {
    return this.#postToStandIn(vm, "headers", headers);
  }

  /** Reads the journals of all stand-in targets. */
  async targetRecords(): Promise<TargetRecord[]> {
    const records: TargetRecord[] = [];
    const files = readdirSync(this.dir).filter((f) => f.endsWith(".journal"));
    for (const file of files) {
      for await (const line of createInterface({ input: createReadStream(join(this.dir, file)) })) {
        const record = JSON.parse(line) as TargetRecord;
        // All incarnations of a target count as one.
        const [target = ""] = record.target.split(".");
        records.push({ ...record, target, at: record.at - this.#startedAt });
      }
    }
    return records;
  }

  /** Samples the resource use of each running sidecar and control replica. */
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
        return []; // It has exited in the meantime.
      }
    });
  }

  /** Stops all processes, frozen ones too, and closes the links. */
  async stop(): Promise<void> {
    this.#isStopping = true;
    await Promise.all(this.#targetRestarts);
    for (const name of [...this.vms, ...this.#fleet.controls.keys()]) {
      this.signal(name, "SIGCONT");
    }
    await this.#fleet.stop();
    await new Promise((resolve) => setTimeout(resolve, EXIT_WAIT_MS));
    await Promise.all([...this.#links.values()].flat().map((link) => link.close()));
  }

  /** Opens proxies in front of a process's addresses; resolves with the proxies' addresses, which are advertised instead. */
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

  /** Starts a target again whenever its process ends. */
  #keepTargetRunning(vm: string, incarnation: number): void {
    this.#fleet.targets.get(vm)?.proc.once("exit", () => {
      if (this.#isStopping) {
        return;
      }
      const restarted = this.#restartTarget(vm, incarnation);
      this.#targetRestarts.add(restarted);
      void restarted.finally(() => this.#targetRestarts.delete(restarted));
      this.onTargetEnded(vm, restarted);
    });
  }

  async #restartTarget(vm: string, incarnation: number): Promise<void> {
    await new Promise((resolve) => setTimeout(resolve, TARGET_RESTART_MS));
    await this.#fleet.restartTarget(vm, `${vm}.${incarnation}`);
    this.#keepTargetRunning(vm, incarnation + 1);
  }

  #standInArgs(id: string, ports: Record<string, number>): string[] {
    const journal = `--journal=${join(this.dir, `${id}.journal`)}`;
    const tail = `--work-tail=${this.#plan.workTail ?? 1}`;
    const fatal = `--crash-path=/${id.split("-")[0] ?? ""}/${FATAL_REQUEST}`;
    const calls = [
      "--call-path=/ledger/entry",
      `--call-port=${ports.caller ?? 0}`,
      `--call-share=${NESTED_CALL_SHARE}`,
    ];
    return id.startsWith("desk") ? [journal, fatal, tail, ...calls] : [journal, fatal, tail];
  }

  /** Resolves with whether the stand-in has responded. */
  async #postToStandIn(vm: string, path: string, body: object): Promise<boolean> {
    const port = this.#fleet.targets.get(vm)?.ports.http ?? 0;
    const init = { method: "POST", body: JSON.stringify(body) };
    return fetch(`http://127.0.0.1:${port}/_standin/${path}`, init).then(
      (res) => res.ok,
      () => false,
    );
  }

  #process(name: string) {
    return (this.#fleet.sidecars.get(name) ?? this.#fleet.controls.get(name))?.proc;
  }
}
