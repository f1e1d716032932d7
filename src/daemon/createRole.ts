import type bunyan from "bunyan";
import type { Disposable } from "../common/lifecycle/Disposable.ts";
import type { DaemonSettings } from "../common/settings/DaemonSettings.ts";
import { ControlRole } from "../control/ControlRole.ts";
import { SidecarRole } from "../sidecar/SidecarRole.ts";

/** What a daemon does, by its settings. */
export function createRole(
  cfg: DaemonSettings,
  log: bunyan,
): Disposable & { start(): Promise<void> } {
  return cfg.role === "sidecar" ? new SidecarRole(cfg, log) : new ControlRole(cfg, log);
}
