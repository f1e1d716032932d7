import { join } from "node:path";

/** Interval of the sampling profiler, µs. */
const INTERVAL_US = 500;

/**
 * Node's arguments for a process of a fleet: those that make it write a CPU profile when it exits, into the folder named
 * after it in the folder BENCH_PROFILE, if that is set and `names` has the process.
 */
export function profileArgs(names: readonly string[]): (name: string) => readonly string[] {
  const folder = process.env.BENCH_PROFILE;
  return (name) =>
    folder !== undefined && names.includes(name)
      ? ["--cpu-prof", `--cpu-prof-dir=${join(folder, name)}`, `--cpu-prof-interval=${INTERVAL_US}`]
      : [];
}
