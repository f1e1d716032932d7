import type { ServerResponse } from "node:http";

/** Maximum number of requests that are described in one log line. */
const MAX_DESCRIBED = 20;

/** Tracks the requests of a server whose responses have not been handed over whole to the kernel. */
export class OpenRequests {
  readonly #open = new Map<ServerResponse, () => object>();

  /**
   * Adds a request until its response has been handed over or its connection is closed.
   *
   * @param describe returns the request's fields for a log line
   */
  track(res: ServerResponse, describe: () => object): void {
    this.#open.set(res, describe);
    res.once("close", () => {
      this.#open.delete(res);
    });
  }

  /** Number of open requests. */
  get count(): number {
    return this.#open.size;
  }

  /** The number of open requests, and the oldest ones, for a log line. */
  describe(): { count: number; oldest: object[] } {
    const oldest = [...this.#open].slice(0, MAX_DESCRIBED).map(([res, describe]) => ({
      ...describe(),
      hasStarted: res.headersSent,
      unsentBytes: res.writableLength,
    }));
    return { count: this.count, oldest };
  }
}
