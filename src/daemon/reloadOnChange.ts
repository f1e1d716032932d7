import { statSync } from "node:fs";
import type bunyan from "bunyan";

/** Interval between checks of the settings file, ms: it may change without a signal. */
const POLL_INTERVAL_MS = 2000;

/**
 * Calls `reload` on SIGHUP and whenever the settings file has changed. If `reload` throws,
 * such as for invalid settings, the error is logged and the current settings stay in force.
 * Call this early at startup: until then, SIGHUP ends the process.
 */
export function reloadOnChange(path: string, log: bunyan, reload: () => void): void {
  let lastVersion = fileVersionOf(path);
  const attempt = (cause: string) => {
    lastVersion = fileVersionOf(path);
    try {
      reload();
      log.info({ cause }, "settings reloaded");
    } catch (err) {
      log.error({ cause, err: err instanceof Error ? err.message : err }, "settings not reloaded");
    }
  };
  process.on("SIGHUP", () => {
    attempt("SIGHUP");
  });
  setInterval(() => {
    if (fileVersionOf(path) !== lastVersion) {
      attempt("the file has changed");
    }
  }, POLL_INTERVAL_MS).unref();
}

/** Identifies one version of a file's content by its metadata; empty while the file does not exist. */
function fileVersionOf(path: string): string {
  try {
    const { mtimeMs, size, ino } = statSync(path);
    return `${mtimeMs}/${size}/${ino}`;
  } catch {
    return ""; // The file is being replaced; the next check finds it.
  }
}
