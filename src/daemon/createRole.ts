import type bunyan from "bunyan";
import type { IDisposable } from "../common/lifecycle/IDisposable.ts";
import type { DaemonSettings } from "../common/settings/DaemonSettings.ts";
import { ControlRole } from "../control/ControlRole.ts";
import { SidecarRole } from "../sidecar/SidecarRole.ts";

/** What a daemon does, from its start to its stop. */
interface Role extends IDisposable {
  start(): Promise<void>;
  /** Takes on settings that have changed, as far as they can change while it runs. */
  reload(cfg: DaemonSettings): void;
}

/** What a daemon does, by its settings. */
export function createRole(cfg: DaemonSettings, log: bunyan): Role {
  return cfg.role === "sidecar"
    ? reloading(new SidecarRole(cfg, log), (role, next) => {
        if (next.role === "sidecar") {
          role.reload(next);
        }
      })
    : reloading(new ControlRole(cfg, log), (role, next) => {
        if (next.role === "control") {
          role.reload(next);
        }
      });
}

function reloading<T extends IDisposable & { start(): Promise<void> }>(
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
