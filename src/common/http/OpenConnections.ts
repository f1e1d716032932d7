import type { Server } from "node:http";
import type { Socket } from "node:net";

/** What is known of one connection. */
interface Connection {
  /** Requests whose answers have not been handed over to the kernel to their end. */
  open: number;
  /** Bytes that had been read when the last answer ended: more since then are the next request. */
  readBefore: number;
}

/**
 * The connections of an HTTP server, and which of them are idle. Node's own
 * `closeIdleConnections`, which its `close` calls too, takes a connection for idle as
 * soon as its answer was written by the program, though megabytes of it may still
 * wait to be sent: a caller on a slow link then gets half an answer.
 */
export class OpenConnections {
  readonly #connections = new Map<Socket, Connection>();

  constructor(server: Server) {
    server.on("connection", (socket) => {
      this.#connections.set(socket, { open: 0, readBefore: 0 });
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

  /** Closes connections on which there is neither a request, nor a part of one, nor an answer. */
  closeIdle(): void {
    for (const [socket, { open, readBefore }] of this.#connections) {
      if (open === 0 && socket.bytesRead === readBefore && socket.writableLength === 0) {
        socket.destroy();
      }
    }
  }
}
