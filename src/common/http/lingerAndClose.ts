import type { Socket } from "node:net";
import { afterPendingInput } from "../lifecycle/afterPendingInput.ts";

/**
 * Maximum time for which a connection's input is still read after its last output has been handed to the kernel, ms. A
 * caller that does not close its connection holds up a stop for as long.
 */
const LINGER_MS = 1000;

/**
 * Closes a connection of an HTTP server after its pending output, in stages (RFC 9112, section 9.6): ends the output, and
 * discards the input until the other side closes or {@link LINGER_MS} have passed since the last output. Closing the
 * socket at once would reset the connection when input is unread or still arrives, and a reset discards output that has
 * not been delivered.
 *
 * @param idleMs time since the last output was handed to the kernel, ms; 0 if some is pending
 */
export function lingerAndClose(socket: Socket, idleMs = 0): void {
  if (socket.writableEnded) {
    return;
  }
  if (idleMs >= LINGER_MS) {
    socket.destroy();
    return;
  }
  discardInput(socket);
  socket.end(() => {
    const timer = setTimeout(() => {
      // After a pause of the process, the timer is due before the input that has arrived meanwhile is read.
      afterPendingInput(() => socket.destroy());
    }, LINGER_MS - idleMs);
    socket.once("close", () => {
      clearTimeout(timer);
    });
  });
}

/** Reads and discards what arrives from now on, so that no further request on the connection is served. */
function discardInput(socket: Socket): void {
  socket.resume();
  // Node's HTTP server starts to read again in a listener that it removes once its parser no longer reads the socket.
  process.nextTick(() => {
    socket.removeAllListeners("data");
    socket.on("data", () => undefined);
  });
}
