import { Agent } from "node:http";
import { connect, type NetConnectOpts, type Socket } from "node:net";
import type { Duplex } from "node:stream";

/**
 * Written when the other side has ended a connection. A server that is still reading sees an empty line before a
 * request, which it has to ignore (RFC 9112, section 2.2).
 */
const EMPTY_LINE = "\r\n";

/**
 * Agent for connections to targets that distinguishes a reset from a normal end. When a reset arrives together with the
 * last bytes, libuv reports the end of the stream and drops the reset, so a response without a length would look
 * complete. A write fails at once on a connection that was reset, and succeeds on one that has ended normally.
 */
export class TargetAgent extends Agent {
  readonly #resetChecks = new WeakMap<Duplex, Promise<boolean>>();

  override createConnection(options: NetConnectOpts): Socket {
    const socket = connect({ ...options, allowHalfOpen: true });
    socket.once("end", () => {
      this.#resetChecks.set(socket, failsOnWrite(socket));
      socket.end();
    });
    return socket;
  }

  /** Returns whether a connection that has ended was reset. */
  async wasReset(socket: Duplex): Promise<boolean> {
    return (await this.#resetChecks.get(socket)) ?? false;
  }
}

function failsOnWrite(socket: Socket): Promise<boolean> {
  return new Promise((resolve) => {
    socket.write(EMPTY_LINE, (err) => {
      resolve(err !== undefined && err !== null);
    });
  });
}
