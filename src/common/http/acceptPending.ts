import type { Server } from "node:net";
import { afterPendingInput } from "../lifecycle/afterPendingInput.ts";

/** Maximum number of rounds; under a constant load there is always another connection. */
const MAX_ROUNDS = 200;

/**
 * Calls `callback` once `server` has accepted the connections in its accept queue, which closing it would reset. The
 * event loop accepts one connection in a turn.
 */
export function acceptPending(server: Server, callback: () => void): void {
  let accepted = 0;
  const onConnection = () => (accepted += 1);
  server.on("connection", onConnection);
  const runRound = (round: number) => {
    const before = accepted;
    afterPendingInput(() => {
      if (accepted > before && round < MAX_ROUNDS) {
        runRound(round + 1);
        return;
      }
      server.off("connection", onConnection);
      callback();
    });
  };
  runRound(1);
}
