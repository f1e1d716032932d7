import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** One request on its caller's connection. */
interface OpenRequest {
  /** Aborted when the connection has closed before the answer was written. */
  readonly left: AbortSignal;
  /** No other request on this connection is still to be answered. */
  readonly isLast: () => boolean;
}

/** Requests on one connection that are not answered yet. */
type OpenRequests = Map<AbortController, ServerResponse>;

/**
 * Callers' connections, and the requests on each that are not answered yet. A caller
 * may send further requests before the first one is answered; Node then tells only the
 * first of them when the connection closes, and the others would be worked on for nobody.
 */
export class CallerConnections {
  readonly #open = new WeakMap<Socket, OpenRequests>();
  /** Connections that end with the answer to the last request that was read. */
  readonly #ending = new WeakSet<Socket>();

  /** Notes a request that has arrived. */
  enter(res: ServerResponse): OpenRequest {
    const { socket } = res.req;
    const requests = this.#requestsOn(socket);
    const left = new AbortController();
    requests.set(left, res);
    res.once("finish", () => {
      requests.delete(left);
      if (this.#ending.has(socket) && !this.isBusy(socket)) {
        socket.destroySoon();
      }
    });
    return { left: left.signal, isLast: () => requests.size === 1 && requests.has(left) };
  }

  /** Whether a request on `socket` that was read whole is still to be answered. */
  isBusy(socket: Socket): boolean {
    return this.#answersOn(socket).some((res) => res.req.complete);
  }

  /** Whether a part of an answer was written on `socket`, and not the whole. */
  isAnswering(socket: Socket): boolean {
    return this.#answersOn(socket).some((res) => res.headersSent);
  }

  /** Ends `socket` once every request on it that was read whole has been answered. */
  endWhenAnswered(socket: Socket): void {
    this.#ending.add(socket);
  }

  #answersOn(socket: Socket): readonly ServerResponse[] {
    return [...(this.#open.get(socket)?.values() ?? [])];
  }

  #requestsOn(socket: Socket): OpenRequests {
    const known = this.#open.get(socket);
    if (known) {
      return known;
    }
    const requests: OpenRequests = new Map();
    this.#open.set(socket, requests);
    socket.once("close", () => {
      for (const left of requests.keys()) {
        left.abort();
      }
      requests.clear();
    });
    return requests;
  }
}
