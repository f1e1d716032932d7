import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** One request on its caller's connection. */
interface OpenRequest {
  /** Aborted when the connection has closed before the answer was written. */
  readonly left: AbortSignal;
  /** No other request on this connection is still to be answered. */
  readonly isLast: () => boolean;
}

/**
 * Callers' connections, and the requests on each that are not answered yet. A caller
 * may send further requests before the first one is answered; Node then tells only the
 * first of them when the connection closes, and the others would be worked on for nobody.
 */
export class CallerConnections {
  readonly #open = new WeakMap<Socket, Set<AbortController>>();

  /** Notes a request that has arrived. */
  enter(res: ServerResponse): OpenRequest {
    const requests = this.#requestsOn(res.req.socket);
    const left = new AbortController();
    requests.add(left);
    res.once("finish", () => {
      requests.delete(left);
    });
    return { left: left.signal, isLast: () => requests.size === 1 && requests.has(left) };
  }

  #requestsOn(socket: Socket): Set<AbortController> {
    const known = this.#open.get(socket);
    if (known) {
      return known;
    }
    const requests = new Set<AbortController>();
    this.#open.set(socket, requests);
    socket.once("close", () => {
      requests.forEach((left) => {
        left.abort();
      });
      requests.clear();
    });
    return requests;
  }
}
