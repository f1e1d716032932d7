import type { IncomingMessage } from "node:http";
import type { Clock } from "../../common/lifecycle/Clock.ts";

/** Largest body of a refusal that is read to its end, bytes; targets send a short text. */
const MAX_DRAINED_BYTES = 64 * 1024;

/** Longest time for which it is read, ms. */
const MAX_DRAIN_MS = 1000;

/**
 * Reads and discards a response's body that is of no use, so that its connection can be used again. The connection is
 * closed if the body is larger, or takes longer, than that is worth.
 */
export function drainResponse(res: IncomingMessage, clock: Clock): void {
  let bytes = 0;
  const timer = clock.timeout(MAX_DRAIN_MS, () => {
    res.destroy();
  });
  res.on("data", (chunk: Buffer) => {
    bytes += chunk.length;
    if (bytes > MAX_DRAINED_BYTES) {
      res.destroy();
    }
  });
  res.on("error", () => undefined);
  res.once("close", () => {
    timer.cancel();
  });
}
