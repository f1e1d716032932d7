import { spawn, type ChildProcess } from "node:child_process";
import { createWriteStream, mkdtempSync, readFileSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { parse, stringify } from "yaml";
import { bundle } from "./bundle.ts";
import { freePort } from "./freePort.ts";

const ROOT = fileURLToPath(new URL("..", import.meta.url));

/** What a fleet runs. */
const PROGRAMS = {
  burdockpassd: "src/daemon/main.ts",
  burdockpass: "src/cli/main.ts",
  standin: "src/standin/main.ts",
} as const;

/** Compiled once for all the fleets of this process: starting from the sources costs each process 2 s of processor time. */
const BIN_DIR = mkdtempSync(join(tmpdir(), "burdockpass-bin-"));
let compiled: Promise<void> | undefined;

/** One stand-in target and the sidecar beside it. */
export interface FleetTarget {
  readonly id: string;
  readonly service: string;
  readonly zone: string;
  readonly slots: number;
  readonly workMs?: number;
  /** More arguments for the stand-in, such as `--net-ms=1.5`. */
  readonly standInArgs?: readonly string[];
}

/** A process of the fleet and its ports. */
interface Member {
  readonly name: string;
  readonly proc: ChildProcess;
  readonly ports: Record<string, number>;
}

/** What kind of fleet to start. */
interface FleetOptions {
  /** Every sidecar's routing policy; `naive` is the bench's baseline. */
  readonly policy: "adaptive" | "naive";
  /** Control replicas: 1, 3 or 5. */
  readonly controls: number;
  /** Where others are to reach a sidecar that listens at `addresses`; left out, there. */
  readonly advertise?: (id: string, addresses: SidecarAddresses) => Promise<SidecarAddresses>;
  /** Settings of every sidecar besides; see SidecarSettings. */
  readonly sidecarSettings?: object;
  /** More arguments for a stand-in, once its sidecar is known. */
  readonly standInArgs?: (id: string, sidecarPorts: Record<string, number>) => readonly string[];
}

/** Where other members reach a sidecar, host:port. */
export interface SidecarAddresses {
  readonly peer: string;
  readonly hop: string;
}

/** What a control replica says of itself. */
interface ControlStatus {
  readonly replica: string;
  readonly leader: string;
  readonly inTouch: boolean;
  readonly version: number;
}

/** How long a process may take to stop after SIGTERM before it is killed, ms. */
const STOP_GRACE_MS = 5000;

/** How long a process may take to say it is ready, ms. */
const READY_TIMEOUT_MS = 20_000;

/**
 * A small fleet on loopback for the demo, the end-to-end tests and the bench:
 * one control replica, and for each target a stand-in and a sidecar, every
 * one a separate process. Only this tool starts processes; the daemon never does.
 */
export class LocalFleet {
  readonly dir = mkdtempSync(join(tmpdir(), "burdockpass-fleet-"));
  readonly #members: Member[] = [];
  readonly #opts: FleetOptions;
  #controlPorts: number[] = [];

  constructor(opts: Partial<FleetOptions> = {}) {
    this.#opts = { policy: "adaptive", controls: 1, ...opts };
  }

  /** Control replicas by id, `control-1` and so on. */
  readonly controls = new Map<string, Member>();
  /** Sidecars by target id. */
  readonly sidecars = new Map<string, Member>();
  /** Stand-in targets by id. */
  readonly targets = new Map<string, Member>();

  /** Starts control, then every sidecar and its stand-in; resolves once all are listening. */
  async start(targets: readonly FleetTarget[]): Promise<void> {
    await this.#startControl();
    const peerPorts = await Promise.all(targets.map(() => freePort()));
    await Promise.all(
      targets.map(async (t, i) => {
        const sidecar = await this.#startSidecar(t.id, t.zone, peerPorts, i);
        const target = await this.#standIn(t, sidecar.ports);
        this.targets.set(t.id, target);
      }),
    );
  }

  /** Starts control and sidecars with no stand-ins beside them: the capacity bench announces for them. */
  async startSidecarsOnly(sidecars: readonly { id: string; zone: string }[]): Promise<void> {
    await this.#startControl();
    const peerPorts = await Promise.all(sidecars.map(() => freePort()));
    await Promise.all(sidecars.map((s, i) => this.#startSidecar(s.id, s.zone, peerPorts, i)));
  }

  /** Kills the sidecar beside target `id` at once (SIGKILL), as a crash would. */
  async killSidecar(id: string): Promise<void> {
    await kill(this.#sidecar(id));
  }

  /** Stops the sidecar beside target `id` as planned work does (SIGTERM); resolves with its exit code. */
  async stopSidecar(id: string): Promise<number | null> {
    const { proc } = this.#sidecar(id);
    const exited = new Promise<number | null>((resolve) => proc.once("exit", resolve));
    proc.kill("SIGTERM");
    return exited;
  }

  /** Starts the sidecar beside target `id` again, with the same settings and ports. */
  async restartSidecar(id: string): Promise<void> {
    const { name, ports } = this.#sidecar(id);
    this.sidecars.set(id, await this.#launch(name, ports));
  }

  /** Kills control replica `id` at once (SIGKILL). */
  async killControl(id: string): Promise<void> {
    await kill(this.#control(id));
  }

  /** Starts control replica `id` again; never as the first start of all. */
  async restartControl(id: string): Promise<void> {
    const { name, ports } = this.#control(id);
    const file = join(this.dir, `${name}.yaml`);
    const settings = parse(readFileSync(file, "utf8")) as object;
    writeFileSync(file, stringify({ ...settings, bootstrap: false }));
    this.controls.set(id, await this.#launch(name, ports));
  }

  /** A control replica's `/status`; undefined when it does not answer. */
  async controlStatus(id: string): Promise<ControlStatus | undefined> {
    try {
      const res = await fetch(`http://127.0.0.1:${this.#control(id).ports.admin}/status`, {
        signal: AbortSignal.timeout(1000),
      });
      return (await res.json()) as ControlStatus;
    } catch {
      return undefined;
    }
  }

  /** Waits until some replica leads, and returns its id. */
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
    throw new Error(`no control replica leads after ${timeoutMs} ms`);
  }

  /** The data folder of the sidecar beside target `id`. */
  sidecarDataDir(id: string): string {
    return join(this.dir, `sidecar-${id}`);
  }

  /** Runs the CLI with `args`; resolves with its exit code and output. */
  async cli(args: readonly string[]): Promise<{ code: number; out: string; err: string }> {
    const proc = spawn(process.execPath, [await this.#program("burdockpass"), ...args], {
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

  /** Applies the operators' document `file` through the CLI, at this fleet's control. */
  apply(file: string): Promise<{ code: number; out: string; err: string }> {
    return this.cli(["config", "apply", file, "--control", this.controlAddresses.join(",")]);
  }

  /** Polls every sidecar's status until each sees `count` ready targets, or throws after `timeoutMs`. */
  async waitForTargets(count: number, timeoutMs = 15_000): Promise<void> {
    const until = Date.now() + timeoutMs;
    while (Date.now() < until) {
      const seen = await Promise.all([...this.sidecars.values()].map((s) => this.readyTargets(s)));
      if (seen.every((n) => n >= count)) {
        return;
      }
      await new Promise((r) => setTimeout(r, 100));
    }
    throw new Error(`sidecars did not all see ${count} ready targets within ${timeoutMs} ms`);
  }

  /** Polls until every sidecar has config `version` in force. */
  async waitForVersion(version: number, timeoutMs = 15_000): Promise<void> {
    const until = Date.now() + timeoutMs;
    while (Date.now() < until) {
      const seen = await Promise.all([...this.sidecars.values()].map((s) => this.status(s)));
      if (seen.every((st) => st.configVersion >= version)) {
        return;
      }
      await new Promise((r) => setTimeout(r, 50));
    }
    throw new Error(`version ${version} not in force everywhere within ${timeoutMs} ms`);
  }

  /** A sidecar's `/status`. */
  async status(
    s: Member,
  ): Promise<{ configVersion: number; members: number; targets: { state: string }[] }> {
    const res = await fetch(`http://127.0.0.1:${s.ports.admin}/status`);
    return (await res.json()) as {
      configVersion: number;
      members: number;
      targets: { state: string }[];
    };
  }

  async readyTargets(s: Member): Promise<number> {
    try {
      return (await this.status(s)).targets.filter((t) => t.state === "ready").length;
    } catch {
      return 0;
    }
  }

  /** Sends SIGTERM to every process and waits for each to exit. */
  async stop(): Promise<void> {
    await Promise.all(
      this.#members.reverse().map(
        (m) =>
          new Promise<void>((resolve) => {
            if (m.proc.exitCode !== null || m.proc.signalCode !== null) {
              resolve();
              return;
            }
            // Not unref'd: if this process ended first, a child that ignored SIGTERM would be orphaned.
            const kill = setTimeout(() => m.proc.kill("SIGKILL"), STOP_GRACE_MS);
            m.proc.once("exit", () => {
              clearTimeout(kill);
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

  /** One of the programs, compiled from the sources as they are now. */
  async #program(name: keyof typeof PROGRAMS): Promise<string> {
    compiled ??= bundle(BIN_DIR, PROGRAMS);
    await compiled;
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
        this.controls.set(id, await this.#daemon(id, settings, { admin }));
      }),
    );
  }

  /** Starts the sidecar for target `id`; the first two sidecars' peer ports are everyone's seeds. */
  async #startSidecar(
    id: string,
    zone: string,
    peerPorts: readonly number[],
    i: number,
  ): Promise<Member> {
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
      traceFile: join(this.dir, `trace-${id}.jsonl`),
    };
    const sidecar = await this.#daemon(`sidecar-${id}`, settings, ports);
    this.sidecars.set(id, sidecar);
    return sidecar;
  }

  async #daemon(name: string, settings: object, ports: Record<string, number>): Promise<Member> {
    writeFileSync(join(this.dir, `${name}.yaml`), stringify(settings));
    return this.#launch(name, ports);
  }

  #control(id: string): Member {
    const member = this.controls.get(id);
    if (!member) {
      throw new Error(`no control replica ${id}`);
    }
    return member;
  }

  #sidecar(id: string): Member {
    const member = this.sidecars.get(id);
    if (!member) {
      throw new Error(`no sidecar beside ${id}`);
    }
    return member;
  }

  /** Starts the daemon on the settings file written for `name`. */
  async #launch(name: string, ports: Record<string, number>): Promise<Member> {
    const file = join(this.dir, `${name}.yaml`);
    const proc = spawn(process.execPath, [await this.#program("burdockpassd"), file], {
      cwd: ROOT,
      env: { ...process.env, BURDOCKPASS_LOG: process.env.BURDOCKPASS_LOG ?? "info" },
      stdio: ["ignore", "pipe", "inherit"],
    });
    const member = this.#own({ name, proc, ports });
    await waitForLine(
      proc,
      /"msg":"(control|sidecar) started"/,
      name,
      join(this.dir, `${name}.log`),
    );
    return member;
  }

  async #standIn(t: FleetTarget, sidecarPorts: Record<string, number>): Promise<Member> {
    const port = await freePort();
    const args = [
      await this.#program("standin"),
      `--id=${t.id}`,
      `--service=${t.service}`,
      `--port=${port}`,
      `--sidecar=127.0.0.1:${sidecarPorts.admin ?? 0}`,
      `--slots=${t.slots}`,
      `--work-ms=${t.workMs ?? 2}`,
      ...(t.standInArgs ?? []),
      ...(this.#opts.standInArgs?.(t.id, sidecarPorts) ?? []),
    ];
    const proc = spawn(process.execPath, args, { cwd: ROOT, stdio: ["ignore", "pipe", "inherit"] });
    const member = this.#own({ name: t.id, proc, ports: { http: port } });
    await waitForLine(proc, /standin ready/, t.id, join(this.dir, `${t.id}.log`));
    return member;
  }

  /** Takes charge of a process as it is spawned: one of a fleet that fails to start must end with it too. */
  #own(member: Member): Member {
    this.#members.push(member);
    return member;
  }
}

async function kill(member: Member): Promise<void> {
  const gone = new Promise((resolve) => member.proc.once("exit", resolve));
  member.proc.kill("SIGKILL");
  await gone;
}

/**
 * Copies `proc`'s stdout to `logFile` and resolves once it prints a line
 * matching `pattern`; rejects if it exits first or takes too long.
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
    let seen = "";
    const timer = setTimeout(() => {
      reject(new Error(`${name} not ready in ${READY_TIMEOUT_MS} ms`));
    }, READY_TIMEOUT_MS);
    const watch = (d: Buffer) => {
      seen += d.toString();
      if (pattern.test(seen)) {
        clearTimeout(timer);
        proc.stdout?.off("data", watch);
        resolve();
      }
    };
    proc.stdout?.on("data", watch);
    proc.once("exit", (code) => {
      reject(new Error(`${name} exited with ${code}`));
    });
  });
}
