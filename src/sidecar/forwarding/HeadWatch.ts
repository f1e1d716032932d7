import type { ClientRequest } from "node:http";
import type { Socket } from "node:net";
import type { Clock } from "../../common/lifecycle/Clock.ts";
import type { Timer } from "../../common/lifecycle/Timer.ts";
import { InterimLimit } from "./InterimLimit.ts";
import { LimitExceededError } from "./LimitExceededError.ts";

/**
 * Maximum number of bytes before the end of a response's head, interim responses and empty lines included. The parser
 * limits one head to 64 KB, but neither the number of interim responses nor the empty lines before a status line.
 */
const MAX_BYTES_BEFORE_HEAD = 256 * 1024;

/**
 * Maximum time from the first byte of a head to its end, ms. A target writes a head at once, so that longer gaps come
 * from a lost packet (a few hundred ms) or a stopped process. It applies only to requests that may be sent to another
 * target: closing the connection of any other would only leave its outcome unknown.
 */
const MAX_HEAD_MS = 1000;

interface HeadWatchDeps {
  readonly clock: Clock;
  /** Whether the request may be sent to another target if this one does not complete its head. */
  readonly isRepeatable: boolean;
  /** Called at most once, when a limit is exceeded. */
  readonly onExceeded: (err: LimitExceededError) => void;
}

/**
 * Enforces the limits on what a target sends before its response's head is complete: bytes, interim responses, and the
 * time of a head that has begun. How long a head takes to begin is limited by the request's deadline. These limits are
 * always on, as no legitimate response reaches them.
 */
export class HeadWatch {
  readonly #deps: HeadWatchDeps;
  readonly #interim: InterimLimit;
  #socket: Socket | undefined;
  #timer: Timer | undefined;
  #bytes = 0;
  #isOver = false;

  constructor(req: ClientRequest, deps: HeadWatchDeps) {
    this.#deps = deps;
    this.#interim = new InterimLimit(deps.clock);
    req.once("socket", (socket) => {
      this.#socket = socket;
      socket.on("data", this.#onData);
    });
    req.on("information", () => {
      this.#timer?.cancel();
      this.#timer = undefined;
      this.#fail(this.#interim.count());
    });
    req.once("response", () => {
      this.#end();
    });
    req.once("close", () => {
      this.#end();
    });
  }

  readonly #onData = (chunk: Buffer): void => {
    // Node's own listener has parsed the chunk before, so that a head which is complete by now has ended the watch.
    if (this.#isOver) {
      return;
    }
    this.#bytes += chunk.length;
    if (this.#bytes > MAX_BYTES_BEFORE_HEAD) {
      this.#fail(new LimitExceededError(`${MAX_BYTES_BEFORE_HEAD} bytes before the response`));
    } else if (this.#deps.isRepeatable) {
      this.#timer ??= this.#deps.clock.timeout(MAX_HEAD_MS, () => {
        this.#fail(new LimitExceededError(`${MAX_HEAD_MS} ms for a head that has begun`));
      });
    }
  };

  #fail(err: LimitExceededError | undefined): void {
    if (err && !this.#isOver) {
      this.#end();
      this.#deps.onExceeded(err);
    }
  }

  #end(): void {
    this.#isOver = true;
    this.#timer?.cancel();
    this.#socket?.off("data", this.#onData);
  }
}
