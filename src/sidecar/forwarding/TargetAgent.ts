import { Agent } from "node:http";
import { connect, type NetConnectOpts, type Socket } from "node:net";
import type { Duplex } from "node:stream";

/**
 * Written when the other side has ended a connection. A server that is still reading
 * takes it for an empty line before a request, which it has to skip (RFC 9112, 2.2).
 */
const EMPTY_LINE = "\r\n";

/**
 * Connections to targets that can tell a reset from an end. When a reset arrives
 * together with the last bytes, libuv reports the end of the stream and drops the
 * reset; an answer without a length would then look whole. A connection that was reset
 * refuses a write at once, one that has ended takes it.
 */
export class TargetAgent extends Agent {
  readonly #endings = new WeakMap<Duplex, Promise<boolean>>();

  override createConnection(options: NetConnectOpts): Socket {
    const socket = connect({ ...options, allowHalfOpen: true });
    socket.once("end", () => {
      this.#endings.set(socket, refusesWrite(socket));
      socket.end();
    });
    return socket;
  }

  /** Whether the connection, which has come to its end, was reset. */
  async wasReset(socket: Duplex): Promise<boolean> {
    return (await this.#endings.get(socket)) ?? false;
  }
}

function refusesWrite(socket: Socket): Promise<boolean> {
  return new Promise((resolve) => {
    socket.write(EMPTY_LINE, (err) => {
      resolve(err !== undefined && err !== null);
    });
  });
}
