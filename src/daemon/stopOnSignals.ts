import type bunyan from "bunyan";
import type { IDisposable } from "../common/lifecycle/IDisposable.ts";

/** Time limit for a graceful stop, ms, after which the process exits with 1; roles limit their own stop to less. */
const STOP_DEADLINE_MS = 15_000;

/**
 * Stops `role` gracefully on SIGTERM or SIGINT, then exits: with 0 if the stop succeeded,
 * else with 1. The handlers stay installed: without one, a second signal would end the
 * process at once, along with the requests still in flight.
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
