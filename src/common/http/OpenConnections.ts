import type { Server } from "node:http";
import type { Socket } from "node:net";

/** What is known of one connection. */
interface Connection {
  /** Requests whose answers have not been handed over to the kernel to their end. */
  open: number;
  /** Bytes that had been read when the last answer ended: more since then are the next request. */
  readBefore: number;
  /** It was idle when it was looked at last. */
  wasIdle: boolean;
}

/**
 * The connections of an HTTP server, and which of them are idle, for its stop. Node's
 * own `closeIdleConnections`, which its `close` calls too, takes a connection for
 * idle as soon as its answer was written by the program, though megabytes of it may
 * still wait to be sent, and also when a request has arrived that was not read yet.
 */
export class OpenConnections {
  readonly #connections = new Map<Socket, Connection>();

  constructor(server: Server) {
    server.on("connection", (socket) => {
      this.#connections.set(socket, { open: 0, readBefore: 0, wasIdle: false });
      socket.once("close", () => {
        this.#connections.delete(socket);
      });
    });
    server.on("request", ({ socket }, res) => {
      const connection = this.#connections.get(socket);
      if (!connection) {
        return;
      }
      connection.open += 1;
      res.once("close", () => {
        connection.open -= 1;
        connection.readBefore = socket.bytesRead;
      });
    });
    server.closeIdleConnections = () => {
      this.closeIdle();
    };
  }

  /**
   * Closes connections on which there is neither a request, nor a part of one, nor an
   * answer, now and the last time that this was called: in between, whatever had
   * arrived was read. To be called again and again.
   */
  closeIdle(): void {
    // Timers run before sockets are read: after a stall, what arrived meanwhile is read first.
    setImmediate(() => {
      for (const [socket, connection] of this.#connections) {
        this.#look(socket, connection);
      }
    });
  }

  #look(socket: Socket, connection: Connection): void {
    const { open, readBefore, wasIdle } = connection;
    const isIdle = open === 0 && socket.bytesRead === readBefore && socket.writableLength === 0;
    if (isIdle && wasIdle) {
      socket.destroy();
    }
    connection.wasIdle = isIdle;
  }
}
