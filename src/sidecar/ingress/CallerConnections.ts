import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** A request, in relation to its caller's connection. */
interface TrackedRequest {
  /** Aborted when the connection closes before the response has been written. */
  readonly disconnected: AbortSignal;
  /** Whether this is the only request on its connection that is still without a whole response. */
  readonly isLast: () => boolean;
}

/** Requests on one connection whose responses have not been written whole. */
type PendingRequests = Map<AbortController, ServerResponse>;

/**
 * Tracks the pending requests on each caller's connection. A caller may pipeline requests. When
 * its connection closes, Node reports that only on the response to the first of them, and the
 * others would be processed although nobody receives their responses.
 */
export class CallerConnections {
  readonly #pending = new WeakMap<Socket, PendingRequests>();
  /** Connections that are closed after the response to the last request that was read whole. */
  readonly #closing = new WeakSet<Socket>();
  /** Connections on which the response that closes them has begun. */
  readonly #endedByResponse = new WeakSet<Socket>();

  /** Adds a request that has arrived; it stays until its response is written or the connection closes. */
  track(res: ServerResponse): TrackedRequest {
    const { socket } = res.req;
    const requests = this.#requestsOn(socket);
    const controller = new AbortController();
    requests.set(controller, res);
    res.once("finish", () => {
      requests.delete(controller);
      if (this.#closing.has(socket) && !this.hasPendingRequest(socket)) {
        socket.destroySoon();
      }
    });
    return {
      disconnected: controller.signal,
      isLast: () => requests.size === 1 && requests.has(controller),
    };
  }

  /** Whether a request on `socket` that was read whole is still without a whole response. */
  hasPendingRequest(socket: Socket): boolean {
    return this.#responsesOn(socket).some((res) => res.req.complete);
  }

  /** Whether a response on `socket` has been started but not finished. */
  hasStartedResponse(socket: Socket): boolean {
    return this.#responsesOn(socket).some((res) => res.headersSent);
  }

  /** Closes `socket` once the responses to all requests on it that were read whole have been written. */
  closeAfterResponses(socket: Socket): void {
    this.#closing.add(socket);
  }

  /** Makes `res`, of which nothing has been sent yet, the last response on its connection. */
  closeWith(res: ServerResponse): void {
    res.setHeader("connection", "close");
    this.#endedByResponse.add(res.req.socket);
  }

  /**
   * Stops reading the connection that `res` closes until it has been sent: the requests behind it remain unread. Not for
   * a response that its target is still sending, as the caller's disconnect would not be noticed either.
   */
  pauseBehind({ req }: ServerResponse): void {
    if (req.complete && this.#endedByResponse.has(req.socket)) {
      req.socket.pause();
    }
  }

  /** Whether a request that arrives on `socket` now would get no response. */
  isClosing(socket: Socket): boolean {
    return this.#closing.has(socket) || this.#endedByResponse.has(socket);
  }

  #responsesOn(socket: Socket): readonly ServerResponse[] {
    return [...(this.#pending.get(socket)?.values() ?? [])];
  }

  #requestsOn(socket: Socket): PendingRequests {
    const known = this.#pending.get(socket);
    if (known) {
      return known;
    }
    const requests: PendingRequests = new Map();
    this.#pending.set(socket, requests);
    socket.once("close", () => {
      for (const [controller, res] of requests) {
        controller.abort();
        closeUnsent(res);
      }
      requests.clear();
    });
    return requests;
  }
}

/** Closes a response of a closed connection that is still behind another one: Node closes only the first of them. */
function closeUnsent(res: ServerResponse): void {
  if (!res.socket) {
    res.destroy();
    res.emit("close");
  }
}
