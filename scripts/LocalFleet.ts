import { readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { parse, stringify } from "yaml";
import type { FleetProcess } from "./FleetProcess.ts";
import { FleetProcesses } from "./FleetProcesses.ts";
import { freePort } from "./freePort.ts";

/** A stand-in target and its local sidecar. */
export interface FleetTarget {
  readonly id: string;
  readonly service: string;
  readonly zone: string;
  readonly slots: number;
  readonly workMs?: number;
  /** Additional arguments for the stand-in, such as `--net-ms=1.5`. */
  readonly standInArgs?: readonly string[];
}

/** Options of a fleet. */
interface FleetOptions {
  /** Routing policy of all sidecars; `naive` is the baseline of the detection benchmark. */
  readonly policy: "adaptive" | "naive";
  /** Number of control replicas: 1, 3 or 5. */
  readonly controls: number;
  /** Number of zones among which the control replicas are divided; by default one for each. */
  readonly controlZones?: number;
  /** Addresses that a sidecar which listens at `addresses` advertises to other members; by default `addresses`. */
  readonly advertise?: (id: string, addresses: SidecarAddresses) => Promise<SidecarAddresses>;
  /** Whether the sidecars write trace spans. */
  readonly traces: boolean;
  /** Whether sidecars have a data folder. */
  readonly sidecarDisks: boolean;
  /** Whether sidecars join the fleet through the control replicas instead of the first two sidecars. */
  readonly joinsThroughControl: boolean;
  /** Additional arguments of Node for a daemon, such as `--cpu-prof`. */
  readonly nodeArgs?: (name: string) => readonly string[];
  /** Additional settings of every sidecar; see SidecarSettings. */
  readonly sidecarSettings?: object;
  /** Additional settings of every control replica; see ControlSettings. */
  readonly controlSettings?: object;
  /** Additional arguments for a stand-in that depend on its sidecar's ports. */
  readonly standInArgs?: (id: string, sidecarPorts: Record<string, number>) => readonly string[];
}

/** Addresses at which other members reach a sidecar, host:port. */
export interface SidecarAddresses {
  readonly peer: string;
  readonly hop: string;
}

/** The part of a control replica's `/status` that is used here. */
interface ControlStatus {
  readonly replica: string;
  readonly leader: string;
  readonly inTouch: boolean;
  readonly version: number;
}

/**
 * A small fleet on loopback for the demo, the end-to-end tests and the benchmarks: one or more control replicas, and for
 * each target a stand-in and a sidecar, each in a separate process. Only this tool starts processes; the daemon never
 * does.
 */
export class LocalFleet {
  readonly #processes: FleetProcesses;
  readonly #opts: FleetOptions;
  #controlPorts: number[] = [];

  constructor(opts: Partial<FleetOptions> = {}) {
    this.#opts = {
      policy: "adaptive",
      controls: 1,
      traces: true,
      sidecarDisks: true,
      joinsThroughControl: false,
      ...opts,
    };
    this.#processes = new FleetProcesses(opts.nodeArgs);
  }

  /** Folder with the settings, logs and data folders of the processes. */
  get dir(): string {
    return this.#processes.dir;
  }

  /** Control replicas by id, `control-1` and so on. */
  readonly controls = new Map<string, FleetProcess>();
  /** Sidecars by target id. */
  readonly sidecars = new Map<string, FleetProcess>();
  /** Stand-in targets by id. */
  readonly targets = new Map<string, FleetProcess>();

  /** Starts the control replicas, then every sidecar and its stand-in; resolves once all are listening. */
  async start(targets: readonly FleetTarget[]): Promise<void> {
    await this.#startControl();
    const peerPorts = await Promise.all(targets.map(() => freePort()));
    await Promise.all(
      targets.map(async (t, i) => {
        const sidecar = await this.#startSidecar(t.id, t.zone, peerPorts, i);
        const target = await this.#startStandIn(t, sidecar.ports);
        this.targets.set(t.id, target);
      }),
    );
  }

  /** Starts control replicas and sidecars without stand-ins: the caller announces targets itself. */
  async startSidecarsOnly(sidecars: readonly { id: string; zone: string }[]): Promise<void> {
    await this.#startControl();
    const peerPorts = await Promise.all(sidecars.map(() => freePort()));
    await Promise.all(sidecars.map((s, i) => this.#startSidecar(s.id, s.zone, peerPorts, i)));
  }

  /** Kills the sidecar of target `id` (SIGKILL), like a crash. */
  async killSidecar(id: string): Promise<void> {
    await this.#processes.kill(this.#sidecarById(id));
  }

  /** Stops the sidecar of target `id` as in a planned stop (SIGTERM); resolves with its exit code. */
  async stopSidecar(id: string): Promise<number | null> {
    const { proc } = this.#sidecarById(id);
    const exited = new Promise<number | null>((resolve) => proc.once("exit", resolve));
    proc.kill("SIGTERM");
    return exited;
  }

  /** Starts the sidecar of target `id` again, with the same settings and ports but `bootstrap: false`. */
  async restartSidecar(id: string): Promise<void> {
    const { name, ports } = this.#sidecarById(id);
    this.#endBootstrap(name);
    this.sidecars.set(id, await this.#processes.startDaemon(name, ports));
  }

  /** Kills stand-in target `id` (SIGKILL), like a crash. */
  async killTarget(id: string): Promise<void> {
    await this.#processes.kill(this.#targetById(id));
  }

  /**
   * Starts stand-in target `id` again, with the same port and options.
   *
   * @param announcedId the id that it announces; by default the same as before
   */
  async restartTarget(id: string, announcedId = id): Promise<void> {
    const restarted = await this.#processes.restartStandIn(this.#targetById(id), (arg) =>
      arg.startsWith("--id=") ? `--id=${announcedId}` : arg,
    );
    this.targets.set(id, restarted);
  }

  /** Kills control replica `id` (SIGKILL). */
  async killControl(id: string): Promise<void> {
    await this.#processes.kill(this.#controlById(id));
  }

  /** Starts control replica `id` again, with `bootstrap: false`, as its group already exists. */
  async restartControl(id: string): Promise<void> {
    const { name, ports } = this.#controlById(id);
    this.#endBootstrap(name);
    this.controls.set(id, await this.#processes.startDaemon(name, ports));
  }

  /** Sets `bootstrap: false` in a process's settings file: its fleet has been started before. */
  #endBootstrap(name: string): void {
    const file = join(this.dir, `${name}.yaml`);
    const settings = parse(readFileSync(file, "utf8")) as object;
    writeFileSync(file, stringify({ ...settings, bootstrap: false }));
  }

  /** A control replica's `/status`; undefined if it does not respond. */
  async controlStatus(id: string): Promise<ControlStatus | undefined> {
    try {
      const res = await fetch(`http://127.0.0.1:${this.#controlById(id).ports.admin}/status`, {
        signal: AbortSignal.timeout(1000),
      });
      return (await res.json()) as ControlStatus;
    } catch {
      return undefined;
    }
  }

  /** Waits until a control replica is the leader, and returns its id. */
  async waitForLeader(timeoutMs = 15_000): Promise<string> {
    const until = Date.now() + timeoutMs;
    while (Date.now() < until) {
      for (const id of this.controls.keys()) {
        const status = await this.controlStatus(id);
        if (status?.replica === "leader" && status.inTouch) {
          return id;
        }
      }
      await new Promise((r) => setTimeout(r, 50));
    }
    throw new Error(`no control replica became the leader within ${timeoutMs} ms`);
  }

  /** The data directory of the sidecar of target `id`. */
  sidecarDataDir(id: string): string {
    return join(this.dir, `sidecar-${id}`);
  }

  /** The data directory of control replica `id`. */
  controlDataDir(id: string): string {
    return join(this.dir, id);
  }

  /** Runs the CLI with `args`; resolves with its exit code and output. */
  cli(args: readonly string[]): Promise<{ code: number; out: string; err: string }> {
    return this.#processes.runCli(args);
  }

  /** Applies the operators' document `file` through the CLI, at this fleet's control replicas. */
  apply(file: string): Promise<{ code: number; out: string; err: string }> {
    return this.cli(["config", "apply", file, "--control", this.controlAddresses.join(",")]);
  }

  /** Polls until every sidecar sees `count` ready targets; throws after `timeoutMs`. */
  async waitForTargets(count: number, timeoutMs = 15_000): Promise<void> {
    const until = Date.now() + timeoutMs;
    while (Date.now() < until) {
      const seen = await Promise.all([...this.sidecars.values()].map((s) => this.readyTargets(s)));
      if (seen.every((n) => n >= count)) {
        return;
      }
      await new Promise((r) => setTimeout(r, 100));
    }
    throw new Error(`not all sidecars saw ${count} ready targets within ${timeoutMs} ms`);
  }

  /** Polls until every sidecar has configuration `version` in force; throws after `timeoutMs`. */
  async waitForVersion(version: number, timeoutMs = 15_000): Promise<void> {
    const until = Date.now() + timeoutMs;
    while (Date.now() < until) {
      const seen = await Promise.all([...this.sidecars.values()].map((s) => this.status(s)));
      if (seen.every((st) => st.configVersion >= version)) {
        return;
      }
      await new Promise((r) => setTimeout(r, 50));
    }
    throw new Error(`version ${version} not in force at every sidecar within ${timeoutMs} ms`);
  }

  /** A sidecar's `/status`. */
  async status(
    s: FleetProcess,
  ): Promise<{ configVersion: number; members: number; targets: { state: string }[] }> {
    const res = await fetch(`http://127.0.0.1:${s.ports.admin}/status`);
    return (await res.json()) as {
      configVersion: number;
      members: number;
      targets: { state: string }[];
    };
  }

  /** Number of ready targets that a sidecar sees; 0 if it does not respond. */
  async readyTargets(s: FleetProcess): Promise<number> {
    try {
      return (await this.status(s)).targets.filter((t) => t.state === "ready").length;
    } catch {
      return 0;
    }
  }

  /** Sends SIGTERM to every process and waits for each to exit. */
  stop(): Promise<void> {
    return this.#processes.stop();
  }

  /** Every control replica's address. */
  get controlAddresses(): string[] {
    return this.#controlPorts.map((port) => `127.0.0.1:${port}`);
  }

  /** Address of control replica `id`. */
  controlAddress(id: string): string {
    return this.controlAddresses[Number(id.replace("control-", "")) - 1] ?? "";
  }

  async #startControl(): Promise<void> {
    const { controls, controlZones = controls } = this.#opts;
    const ids = Array.from({ length: controls }, (_, n) => `control-${n + 1}`);
    this.#controlPorts = await Promise.all(ids.map(() => freePort()));
    await Promise.all(
      ids.map(async (id, n) => {
        const address = this.controlAddress(id);
        const admin = await freePort();
        const settings = {
          ...this.#opts.controlSettings,
          role: "control",
          id,
          zone: `zone-${"abcde"[n % controlZones] ?? "a"}`,
          listen: address,
          admin: `127.0.0.1:${admin}`,
          dataDir: this.controlDataDir(id),
          seeds: this.controlAddresses,
          bootstrap: true,
        };
        this.controls.set(id, await this.#startDaemon(id, settings, { admin }));
      }),
    );
  }

  /** Starts the sidecar of target `id`; the peer ports of the first two sidecars are the seeds of all. */
  async #startSidecar(
    id: string,
    zone: string,
    peerPorts: readonly number[],
    i: number,
  ): Promise<FleetProcess> {
    const ports = {
      caller: await freePort(),
      admin: await freePort(),
      peer: peerPorts[i] ?? 0,
      hop: await freePort(),
    };
    const sidecarSeeds = peerPorts
      .slice(0, 2)
      .filter((p) => p !== ports.peer)
      .map((p) => `127.0.0.1:${p}`);
    const seeds = this.#opts.joinsThroughControl ? this.controlAddresses : sidecarSeeds;
    const addresses = { peer: `127.0.0.1:${ports.peer}`, hop: `127.0.0.1:${ports.hop}` };
    const settings = {
      ...this.#opts.sidecarSettings,
      role: "sidecar",
      id: `sidecar-${id}`,
      zone,
      listen: `127.0.0.1:${ports.caller}`,
      admin: `127.0.0.1:${ports.admin}`,
      ...addresses,
      advertise: (await this.#opts.advertise?.(id, addresses)) ?? {},
      seeds,
      policy: this.#opts.policy,
      control: this.controlAddresses,
      bootstrap: true,
      ...(this.#opts.sidecarDisks ? { dataDir: this.sidecarDataDir(id) } : {}),
      ...(this.#opts.traces ? { traceFile: join(this.dir, `trace-${id}.jsonl`) } : {}),
    };
    const sidecar = await this.#startDaemon(`sidecar-${id}`, settings, ports);
    this.sidecars.set(id, sidecar);
    return sidecar;
  }

  /** Writes the settings file `NAME.yaml`, and starts the daemon on it. */
  async #startDaemon(
    name: string,
    settings: object,
    ports: Record<string, number>,
  ): Promise<FleetProcess> {
    writeFileSync(join(this.dir, `${name}.yaml`), stringify(settings));
    return this.#processes.startDaemon(name, ports);
  }

  #controlById(id: string): FleetProcess {
    const replica = this.controls.get(id);
    if (!replica) {
      throw new Error(`there is no control replica ${id}`);
    }
    return replica;
  }

  #targetById(id: string): FleetProcess {
    const target = this.targets.get(id);
    if (!target) {
      throw new Error(`there is no target ${id}`);
    }
    return target;
  }

  #sidecarById(id: string): FleetProcess {
    const sidecar = this.sidecars.get(id);
    if (!sidecar) {
      throw new Error(`target ${id} has no sidecar`);
    }
    return sidecar;
  }

  async #startStandIn(t: FleetTarget, sidecarPorts: Record<string, number>): Promise<FleetProcess> {
    const port = await freePort();
    const args = [
      `--id=${t.id}`,
      `--service=${t.service}`,
      `--port=${port}`,
      `--sidecar=127.0.0.1:${sidecarPorts.admin ?? 0}`,
      `--slots=${t.slots}`,
      `--work-ms=${t.workMs ?? 2}`,
      ...(t.standInArgs ?? []),
      ...(this.#opts.standInArgs?.(t.id, sidecarPorts) ?? []),
    ];
    return this.#processes.startStandIn(t.id, args, { http: port });
  }
}
