import type bunyan from "bunyan";
import type { IDisposable } from "../common/lifecycle/IDisposable.ts";

/** A planned stop that takes longer than this is cut short, ms: a role bounds its own stop below it. */
const STOP_DEADLINE_MS = 15_000;

/**
 * Stops `role` as planned on SIGTERM or SIGINT, and ends the process: 0 when all went
 * well. The handlers stay: without one, a second signal would end the process at once,
 * with whatever is still in flight.
 */
export function stopOnSignals(role: IDisposable, log: bunyan): void {
  let isStopping = false;
  const stop = (signal: string) => {
    log.info({ signal, isStopping }, isStopping ? "already stopping" : "stopping");
    if (isStopping) {
      return;
    }
    isStopping = true;
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
  process.on("SIGTERM", () => {
    stop("SIGTERM");
  });
  process.on("SIGINT", () => {
    stop("SIGINT");
  });
}
