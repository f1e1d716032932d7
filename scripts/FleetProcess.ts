import type { ChildProcess } from "node:child_process";

/** A process of a local fleet, and its ports by their use. */
export interface FleetProcess {
  readonly name: string;
  readonly proc: ChildProcess;
  readonly ports: Record<string, number>;
}
