import { statSync } from "node:fs";
import type bunyan from "bunyan";

/** How often the settings file is looked at, ms: it may change without a signal. */
const LOOK_MS = 2000;

/**
 * Calls `reload` on SIGHUP and whenever the settings file has changed. Settings that
 * cannot be used are logged, and those in force stay. To be called before anything
 * else takes time: until then, SIGHUP ends the process.
 */
export function reloadOnChange(path: string, log: bunyan, reload: () => void): void {
  let seen = stampOf(path);
  const attempt = (cause: string) => {
    seen = stampOf(path);
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
    if (stampOf(path) !== seen) {
      attempt("the file has changed");
    }
  }, LOOK_MS).unref();
}

/** Tells one state of a file from another; empty while there is none. */
function stampOf(path: string): string {
  try {
    const { mtimeMs, size, ino } = statSync(path);
    return `${mtimeMs}/${size}/${ino}`;
  } catch {
    return ""; // In the midst of being replaced; the next look finds it.
  }
}
