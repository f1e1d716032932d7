import { spawn, type ChildProcess } from "node:child_process";
import { createWriteStream, mkdtempSync, readFileSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { parse, stringify } from "yaml";
import { bundle } from "./bundle.ts";
import { freePort } from "./freePort.ts";

const ROOT = fileURLToPath(new URL("..", import.meta.url));

/** The programs of a fleet, by name, with their sources. */
const PROGRAMS = {
  burdockpassd: "src/daemon/main.ts",
  burdockpass: "src/cli/main.ts",
  standin: "src/standin/main.ts",
} as const;

/** Programs are compiled once for all fleets of this process: a start from the sources costs 2 s of CPU time. */
const BIN_DIR = mkdtempSync(join(tmpdir(), "burdockpass-bin-"));
let compilation: Promise<void> | undefined;

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

/** A process of the fleet, and its ports by their use. */
interface FleetProcess {
  readonly name: string;
  readonly proc: ChildProcess;
  readonly ports: Record<string, number>;
}

/** Options of a fleet. */
interface FleetOptions {
  /** Routing policy of all sidecars; `naive` is the baseline of the detection benchmark. */
  readonly policy: "adaptive" | "naive";
  /** Number of control replicas: 1, 3 or 5. */
  readonly controls: number;
  /** Addresses that a sidecar which listens at `addresses` advertises to other members; by default `addresses`. */
  readonly advertise?: (id: string, addresses: SidecarAddresses) => Promise<SidecarAddresses>;
  /** Whether the sidecars write trace spans. */
  readonly traces: boolean;
  /** Additional settings of every sidecar; see SidecarSettings. */
  readonly sidecarSettings?: object;
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

/** How long a process may take to stop after SIGTERM before it is killed, ms. */
const STOP_GRACE_MS = 5000;

/** How long a process may take to report that it is ready, ms. */
const READY_TIMEOUT_MS = 20_000;

/**
 * A small fleet on loopback for the demo, the end-to-end tests and the benchmarks: one or more control replicas, and for
 * each target a stand-in and a sidecar, each in a separate process. Only this tool starts processes; the daemon never
 * does.
 */
export class LocalFleet {
  readonly dir = mkdtempSync(join(tmpdir(), "burdockpass-fleet-"));
  readonly #processes: FleetProcess[] = [];
  readonly #opts: FleetOptions;
  #controlPorts: number[] = [];

  constructor(opts: Partial<FleetOptions> = {}) {
    this.#opts = { policy: "adaptive", controls: 1, traces: true, ...opts };
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
    await kill(this.#sidecarById(id));
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
    this.sidecars.set(id, await this.#launchDaemon(name, ports));
  }

  /** Kills stand-in target `id` (SIGKILL), like a crash. */
  async killTarget(id: string): Promise<void> {
    await kill(this.#targetById(id));
  }

  /**
   * Starts stand-in target `id` again, with the same port and options.
   *
   * @param announcedId the id that it announces; by default the same as before
   */
  async restartTarget(id: string, announcedId = id): Promise<void> {
    const { proc, ports } = this.#targetById(id);
    const args = proc.spawnargs
      .slice(1)
      .map((arg) => (arg.startsWith("--id=") ? `--id=${announcedId}` : arg));
    this.targets.set(id, await this.#launchStandIn(id, args, ports));
  }

  /** Kills control replica `id` (SIGKILL). */
  async killControl(id: string): Promise<void> {
    await kill(this.#controlById(id));
  }

  /** Starts control replica `id` again, with `bootstrap: false`, as its group already exists. */
  async restartControl(id: string): Promise<void> {
    const { name, ports } = this.#controlById(id);
    this.#endBootstrap(name);
    this.controls.set(id, await this.#launchDaemon(name, ports));
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

  /** Runs the CLI with `args`; resolves with its exit code and output. */
  async cli(args: readonly string[]): Promise<{ code: number; out: string; err: string }> {
    const proc = spawn(process.execPath, [await this.#compiledProgram("burdockpass"), ...args], {
      cwd: ROOT,
    });
    let out = "";
    let err = "";
    proc.stdout.on("data", (d: Buffer) => (out += d.toString()));
    proc.stderr.on("data", (d: Buffer) => (err += d.toString()));
    return new Promise((resolve) =>
      proc.on("exit", (code) => {
        resolve({ code: code ?? -1, out, err });
      }),
    );
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
  async stop(): Promise<void> {
    await Promise.all(
      this.#processes.reverse().map(
        (m) =>
          new Promise<void>((resolve) => {
            if (m.proc.exitCode !== null || m.proc.signalCode !== null) {
              resolve();
              return;
            }
            // Not unref'd: otherwise this process could exit first and orphan a child that ignores SIGTERM.
            const killTimer = setTimeout(() => m.proc.kill("SIGKILL"), STOP_GRACE_MS);
            m.proc.once("exit", () => {
              clearTimeout(killTimer);
              resolve();
            });
            m.proc.kill("SIGTERM");
          }),
      ),
    );
  }

  /** Every control replica's address. */
  get controlAddresses(): string[] {
    return this.#controlPorts.map((port) => `127.0.0.1:${port}`);
  }

  /** Address of control replica `id`. */
  controlAddress(id: string): string {
    return this.controlAddresses[Number(id.replace("control-", "")) - 1] ?? "";
  }

  /** Path of a program, compiled from the current sources. */
  async #compiledProgram(name: keyof typeof PROGRAMS): Promise<string> {
    compilation ??= bundle(BIN_DIR, PROGRAMS);
    await compilation;
    return join(BIN_DIR, `${name}.cjs`);
  }

  async #startControl(): Promise<void> {
    const { controls } = this.#opts;
    const ids = Array.from({ length: controls }, (_, n) => `control-${n + 1}`);
    this.#controlPorts = await Promise.all(ids.map(() => freePort()));
    await Promise.all(
      ids.map(async (id, n) => {
        const address = this.controlAddress(id);
        const admin = await freePort();
        const settings = {
          role: "control",
          id,
          zone: `zone-${"abcde"[n] ?? "a"}`,
          listen: address,
          admin: `127.0.0.1:${admin}`,
          dataDir: join(this.dir, id),
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
    const seeds = peerPorts
      .slice(0, 2)
      .filter((p) => p !== ports.peer)
      .map((p) => `127.0.0.1:${p}`);
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
      dataDir: join(this.dir, `sidecar-${id}`),
      bootstrap: true,
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
    return this.#launchDaemon(name, ports);
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

  /** Starts the daemon on the settings file `NAME.yaml`, and waits until it has started. */
  async #launchDaemon(name: string, ports: Record<string, number>): Promise<FleetProcess> {
    const file = join(this.dir, `${name}.yaml`);
    const proc = spawn(process.execPath, [await this.#compiledProgram("burdockpassd"), file], {
      cwd: ROOT,
      env: { ...process.env, BURDOCKPASS_LOG: process.env.BURDOCKPASS_LOG ?? "info" },
      stdio: ["ignore", "pipe", "inherit"],
    });
    const started = this.#track({ name, proc, ports });
    await waitForLine(
      proc,
      /"msg":"(control|sidecar) started"/,
      name,
      join(this.dir, `${name}.log`),
    );
    return started;
  }

  async #startStandIn(t: FleetTarget, sidecarPorts: Record<string, number>): Promise<FleetProcess> {
    const port = await freePort();
    const args = [
      await this.#compiledProgram("standin"),
      `--id=${t.id}`,
      `--service=${t.service}`,
      `--port=${port}`,
      `--sidecar=127.0.0.1:${sidecarPorts.admin ?? 0}`,
      `--slots=${t.slots}`,
      `--work-ms=${t.workMs ?? 2}`,
      ...(t.standInArgs ?? []),
      ...(this.#opts.standInArgs?.(t.id, sidecarPorts) ?? []),
    ];
    return this.#launchStandIn(t.id, args, { http: port });
  }

  async #launchStandIn(
    id: string,
    args: readonly string[],
    ports: Record<string, number>,
  ): Promise<FleetProcess> {
    const proc = spawn(process.execPath, args, { cwd: ROOT, stdio: ["ignore", "pipe", "inherit"] });
    const started = this.#track({ name: id, proc, ports });
    await waitForLine(proc, /standin ready/, id, join(this.dir, `${id}.log`));
    return started;
  }

  /** Registers a process as soon as it is spawned, so that `stop` ends it even if the fleet fails to start. */
  #track(started: FleetProcess): FleetProcess {
    this.#processes.push(started);
    return started;
  }
}

async function kill(fleetProcess: FleetProcess): Promise<void> {
  const exited = new Promise((resolve) => fleetProcess.proc.once("exit", resolve));
  fleetProcess.proc.kill("SIGKILL");
  await exited;
}

/**
 * Copies the stdout of `proc` to `logFile`, and resolves once the output matches `pattern`; rejects if the process exits
 * first, or after {@link READY_TIMEOUT_MS}.
 */
function waitForLine(
  proc: ChildProcess,
  pattern: RegExp,
  name: string,
  logFile: string,
): Promise<void> {
  const log = createWriteStream(logFile, { flags: "a" });
  proc.stdout?.pipe(log);
  return new Promise((resolve, reject) => {
    let output = "";
    const timer = setTimeout(() => {
      reject(new Error(`${name} not ready in ${READY_TIMEOUT_MS} ms`));
    }, READY_TIMEOUT_MS);
    const onData = (d: Buffer) => {
      output += d.toString();
      if (pattern.test(output)) {
        clearTimeout(timer);
        proc.stdout?.off("data", onData);
        resolve();
      }
    };
    proc.stdout?.on("data", onData);
    proc.once("exit", (code) => {
      reject(new Error(`${name} exited with ${code}`));
    });
  });
}
