import { defineCommand, runMain } from "citty";
import { createLogger } from "../common/telemetry/createLogger.ts";
import type { Disposable } from "../common/lifecycle/Disposable.ts";
import { loadDaemonSettings } from "../common/settings/loadDaemonSettings.ts";
import { ControlRole } from "../control/ControlRole.ts";
import { SidecarRole } from "../sidecar/SidecarRole.ts";

/** A planned stop that takes longer than this is cut short, ms. */
const STOP_DEADLINE_MS = 10_000;

const main = defineCommand({
  meta: {
    name: "burdockpassd",
    description: "The burdockpass daemon: a sidecar or a control replica.",
  },
  args: {
    settings: { type: "positional", description: "Path of the YAML settings file", required: true },
  },
  async run({ args }) {
    const cfg = loadDaemonSettings(args.settings);
    const log = createLogger("burdockpassd", { role: cfg.role, id: cfg.id });
    const role: Disposable & { start(): Promise<void> } =
      cfg.role === "sidecar" ? new SidecarRole(cfg, log) : new ControlRole(cfg, log);
    await role.start();
    // A planned stop: stop taking new work, finish what is in flight, exit.
    const stop = (signal: string) => {
      log.info({ signal }, "stopping");
      setTimeout(() => process.exit(1), STOP_DEADLINE_MS).unref();
      void role.dispose().then(() => {
        log.info("stopped");
        process.exit(0);
      });
    };
    process.once("SIGTERM", () => {
      stop("SIGTERM");
    });
    process.once("SIGINT", () => {
      stop("SIGINT");
    });
  },
});

void runMain(main);
