import type { Server } from "node:http";
import type { Socket } from "node:net";
import { afterPendingInput } from "../lifecycle/afterPendingInput.ts";
import { lingerAndClose } from "./lingerAndClose.ts";

/** State of one connection. */
interface Connection {
  /** Number of requests whose responses have not been handed over completely to the kernel. */
  pendingRequests: number;
  /** Bytes that had been read when the last response ended; any more belong to the next request. */
  bytesReadAtLastResponse: number;
  /** When the last response was handed over, ms on the clock of `performance.now`. */
  lastResponseAt: number;
  /** Whether the connection was idle at the previous check. */
  wasIdle: boolean;
}

/**
 * Tracks the connections of an HTTP server, to close idle ones during shutdown, and to
 * close each without a reset while its last response may still be on its way. It
 * replaces Node's `closeIdleConnections`, which `close` also calls: that one treats a
 * connection as idle as soon as the program has written the response, although
 * megabytes of it may still be buffered, and also when a request has arrived but has
 * not been read yet.
 */
export class OpenConnections {
  readonly #connections = new Map<Socket, Connection>();
  #isSweeping = false;

  constructor(server: Server) {
    server.on("connection", (socket) => {
      this.#connections.set(socket, {
        pendingRequests: 0,
        bytesReadAtLastResponse: 0,
        lastResponseAt: -Infinity,
        wasIdle: false,
      });
      socket.once("close", () => {
        this.#connections.delete(socket);
      });
      // Node calls this after a response with `Connection: close`.
      socket.destroySoon = () => {
        lingerAndClose(socket);
      };
    });
    server.on("request", ({ socket }, res) => {
      const connection = this.#connections.get(socket);
      if (!connection) {
        return;
      }
      connection.pendingRequests += 1;
      res.once("close", () => {
        connection.pendingRequests -= 1;
        connection.bytesReadAtLastResponse = socket.bytesRead;
        connection.lastResponseAt = performance.now();
      });
    });
    server.closeIdleConnections = () => {
      this.closeIdle();
    };
    // With this listener, Node leaves it to the server to close a connection whose keep-alive timeout has passed.
    server.on("timeout", closeUnlessInputArrives);
  }

  /**
   * Closes connections that had no request, partial request or unsent response both
   * now and at the previous call: between two calls, everything that had arrived is
   * read. Must be called repeatedly.
   */
  closeIdle(): void {
    if (this.#isSweeping) {
      return;
    }
    this.#isSweeping = true;
    // Closing a connection resets it if a request on it has arrived and has not been read.
    afterPendingInput(() => {
      this.#isSweeping = false;
      for (const [socket, connection] of this.#connections) {
        this.#closeIfIdle(socket, connection);
      }
    });
  }

  #closeIfIdle(socket: Socket, connection: Connection): void {
    const { pendingRequests, bytesReadAtLastResponse, lastResponseAt, wasIdle } = connection;
    if (socket.writableEnded) {
      return; // It is being closed.
    }
    const isIdle =
      pendingRequests === 0 &&
      socket.bytesRead === bytesReadAtLastResponse &&
      socket.writableLength === 0;
    if (isIdle && wasIdle) {
      lingerAndClose(socket, performance.now() - lastResponseAt);
    }
    connection.wasIdle = isIdle;
  }
}

function closeUnlessInputArrives(socket: Socket): void {
  const { bytesRead } = socket;
  afterPendingInput(() => {
    if (socket.bytesRead === bytesRead) {
      socket.destroy();
    }
  });
}
