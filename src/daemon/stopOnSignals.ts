import type bunyan from "bunyan";
import type { IDisposable } from "../common/lifecycle/IDisposable.ts";

/** A planned stop that takes longer than this is cut short, ms: a role bounds its own stop below it. */
const STOP_DEADLINE_MS = 15_000;

/** Stops `role` as planned on SIGTERM or SIGINT, and ends the process: 0 when all went well. */
export function stopOnSignals(role: IDisposable, log: bunyan): void {
  const stop = (signal: string) => {
    log.info({ signal }, "stopping");
    setTimeout(() => process.exit(1), STOP_DEADLINE_MS).unref();
    Promise.resolve(role.dispose()).then(
      () => {
        log.info("stopped");
        process.exit(0);
      },
      (err: unknown) => {
        log.error({ err }, "stop failed");
        process.exit(1);
      },
    );
  };
  process.once("SIGTERM", () => {
    stop("SIGTERM");
  });
  process.once("SIGINT", () => {
    stop("SIGINT");
  });
}
