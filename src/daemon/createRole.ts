import type bunyan from "bunyan";
import type { IDisposable } from "../common/lifecycle/IDisposable.ts";
import type { DaemonSettings } from "../common/settings/DaemonSettings.ts";
import { ControlRole } from "../control/ControlRole.ts";
import { SidecarRole } from "../sidecar/SidecarRole.ts";

/** The part that a daemon runs, a sidecar or a control replica, from start to stop. */
interface Role extends IDisposable {
  start(): Promise<void>;
  /** Applies changed settings, except those that can only change at a restart. */
  reload(cfg: DaemonSettings): void;
}

/** Creates the role that the settings name. */
export function createRole(cfg: DaemonSettings, log: bunyan): Role {
  return cfg.role === "sidecar"
    ? withReload(new SidecarRole(cfg, log), (role, next) => {
        if (next.role === "sidecar") {
          role.reload(next);
        }
      })
    : withReload(new ControlRole(cfg, log), (role, next) => {
        if (next.role === "control") {
          role.reload(next);
        }
      });
}

function withReload<T extends IDisposable & { start(): Promise<void> }>(
  role: T,
  reload: (role: T, next: DaemonSettings) => void,
): Role {
  return {
    start: () => role.start(),
    dispose: () => role.dispose(),
    reload: (next) => {
      reload(role, next);
    },
  };
}
