import { spawn, type ChildProcess } from "node:child_process";
import { createWriteStream, mkdtempSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { bundle } from "./bundle.ts";
import type { FleetProcess } from "./FleetProcess.ts";

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

/** How long a process may take to stop after SIGTERM before it is killed, ms. */
const STOP_GRACE_MS = 5000;

/** How long a process may take to report that it is ready, ms: one of 70 took over 20 s on a machine with a load of 65. */
const READY_TIMEOUT_MS = 60_000;

/** Starts, kills and stops the processes of a local fleet, and saves their output. */
export class FleetProcesses {
  /** Folder with the settings and logs of the processes. */
  readonly dir = mkdtempSync(join(tmpdir(), "burdockpass-fleet-"));
  readonly #processes: FleetProcess[] = [];
  readonly #nodeArgs: (name: string) => readonly string[];

  /** @param nodeArgs additional arguments of Node for the daemon with a name */
  constructor(nodeArgs: (name: string) => readonly string[] = () => []) {
    this.#nodeArgs = nodeArgs;
  }

  /** Starts the daemon on the settings file `NAME.yaml` of {@link dir}; resolves once it has started. */
  async startDaemon(name: string, ports: Record<string, number>): Promise<FleetProcess> {
    const file = join(this.dir, `${name}.yaml`);
    const args = [...this.#nodeArgs(name), await compiledProgram("burdockpassd"), file];
    const proc = spawn(process.execPath, args, {
      cwd: ROOT,
      env: { ...process.env, BURDOCKPASS_LOG: process.env.BURDOCKPASS_LOG ?? "info" },
      stdio: ["ignore", "pipe", "inherit"],
    });
    return this.#waitUntilReady({ name, proc, ports }, /"msg":"(control|sidecar) started"/);
  }

  /** Starts a stand-in target with `args`; resolves once it is listening. */
  async startStandIn(
    name: string,
    args: readonly string[],
    ports: Record<string, number>,
  ): Promise<FleetProcess> {
    const allArgs = [await compiledProgram("standin"), ...args];
    return this.#spawnStandIn(name, allArgs, ports);
  }

  /** Starts a stand-in target with the arguments of `previous`, which `change` may replace. */
  async restartStandIn(
    { name, proc, ports }: FleetProcess,
    change: (arg: string) => string,
  ): Promise<FleetProcess> {
    return this.#spawnStandIn(name, proc.spawnargs.slice(1).map(change), ports);
  }

  /** Runs the CLI with `args`; resolves with its exit code and output. */
  async runCli(args: readonly string[]): Promise<{ code: number; out: string; err: string }> {
    const proc = spawn(process.execPath, [await compiledProgram("burdockpass"), ...args], {
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

  /** Kills a process (SIGKILL), like a crash; resolves once it has ended. */
  async kill({ proc }: FleetProcess): Promise<void> {
    if (hasEnded(proc)) {
      return;
    }
    const exited = new Promise((resolve) => proc.once("exit", resolve));
    proc.kill("SIGKILL");
    await exited;
  }

  /** Sends SIGTERM to every process and waits for each to exit. */
  async stop(): Promise<void> {
    await Promise.all(this.#processes.reverse().map(({ proc }) => stopProcess(proc)));
  }

  async #spawnStandIn(
    name: string,
    args: readonly string[],
    ports: Record<string, number>,
  ): Promise<FleetProcess> {
    const proc = spawn(process.execPath, args, { cwd: ROOT, stdio: ["ignore", "pipe", "inherit"] });
    return this.#waitUntilReady({ name, proc, ports }, /standin ready/);
  }

  async #waitUntilReady(started: FleetProcess, pattern: RegExp): Promise<FleetProcess> {
    // Registered as soon as it is spawned, so that `stop` ends it even if the fleet fails to start.
    this.#processes.push(started);
    const { name, proc } = started;
    await waitForLine(proc, pattern, name, join(this.dir, `${name}.log`));
    return started;
  }
}

/** Path of a program, compiled from the current sources. */
async function compiledProgram(name: keyof typeof PROGRAMS): Promise<string> {
  compilation ??= bundle(BIN_DIR, PROGRAMS, { minify: process.env.BENCH_PROFILE === undefined });
  await compilation;
  return join(BIN_DIR, `${name}.cjs`);
}

function hasEnded({ exitCode, signalCode }: ChildProcess): boolean {
  return exitCode !== null || signalCode !== null;
}

function stopProcess(proc: ChildProcess): Promise<void> {
  return new Promise((resolve) => {
    if (hasEnded(proc)) {
      resolve();
      return;
    }
    // Not unref'd: otherwise this process could exit first and orphan a child that ignores SIGTERM.
    const killTimer = setTimeout(() => proc.kill("SIGKILL"), STOP_GRACE_MS);
    proc.once("exit", () => {
      clearTimeout(killTimer);
      resolve();
    });
    proc.kill("SIGTERM");
  });
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
