import { defineCommand, runMain } from "citty";
import { DaemonSettings } from "../common/settings/DaemonSettings.ts";
import { loadSettings } from "../common/settings/loadSettings.ts";
import { SettingsError } from "../common/settings/SettingsError.ts";
import { createLogger } from "../common/telemetry/createLogger.ts";
import { createRole } from "./createRole.ts";
import { reloadOnChange } from "./reloadOnChange.ts";
import { stopOnSignals } from "./stopOnSignals.ts";

const main = defineCommand({
  meta: {
    name: "burdockpassd",
    description: "The burdockpass daemon: a sidecar or a control replica.",
  },
  args: {
    settings: { type: "positional", description: "Path of the YAML settings file", required: true },
  },
  async run({ args }) {
    const cfg = loadOrExit(args.settings);
    const log = createLogger("burdockpassd", { role: cfg.role, id: cfg.id });
    const role = createRole(cfg, log);
    stopOnSignals(role, log);
    reloadOnChange(args.settings, log, () => {
      role.reload(loadSettings(args.settings, DaemonSettings));
    });
    await role.start();
  },
});

/** Loads the settings; exits with a list of their problems, for the operator to fix, and no stack trace if invalid. */
function loadOrExit(path: string): DaemonSettings {
  try {
    return loadSettings(path, DaemonSettings);
  } catch (err) {
    if (!(err instanceof SettingsError)) {
      throw err;
    }
    process.stderr.write(`${err.message}\n`);
    process.exit(1);
  }
}

void runMain(main);
