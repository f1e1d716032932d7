import { request, type ClientRequest, type IncomingMessage } from "node:http";
import { pipeline } from "node:stream";
import type { HeaderList } from "./HeaderList.ts";
import type { TargetAgent } from "./TargetAgent.ts";
import type { TargetRequest } from "./TargetRequest.ts";

/** Headers of an answer, at most, bytes. */
const MAX_HEADER_BYTES = 64 * 1024;

/** Methods whose requests have no body unless they say so. */
const BODILESS = new Set(["GET", "HEAD", "DELETE", "OPTIONS"]);

/** Where and how a request goes. */
interface Destination {
  /** Base URL of the target. */
  readonly url: string;
  readonly agent: TargetAgent;
  readonly headers: HeaderList;
}

/**
 * One request on one connection to a target, by Node's own client. It tells an answer
 * that was reset on the way from one that ended, also where the answer has no length
 * and ends with its connection; undici takes both for whole.
 */
export class TargetExchange {
  readonly #agent: TargetAgent;
  readonly #req: ClientRequest;
  #failure: Error | undefined;

  /** Resolves with the head of the answer, whose body is still to be read. */
  readonly answer: Promise<IncomingMessage>;

  constructor({ url, agent, headers }: Destination, req: TargetRequest) {
    const { hostname, port } = new URL(url);
    this.#agent = agent;
    this.#req = request({
      host: hostname,
      port,
      method: req.method,
      path: req.path,
      headers: [...headers, ...framing(req)],
      agent,
      maxHeaderSize: MAX_HEADER_BYTES,
    });
    this.answer = new Promise((resolve, reject) => {
      this.#req.once("response", (res) => {
        this.#watch(res);
        resolve(res);
      });
      this.#req.on("error", (err) => {
        this.#failure ??= err;
        reject(err);
      });
    });
    this.#send(req);
  }

  /**
   * Checks an answer whose body has come to its end: rejects when it has no length, and
   * its connection was reset rather than ended.
   */
  async checkEnd(res: IncomingMessage): Promise<void> {
    const isFramed =
      res.headers["content-length"] !== undefined || res.headers["transfer-encoding"] !== undefined;
    if (!isFramed && (await this.#agent.wasReset(res.socket))) {
      throw new Error("the connection was reset in the midst of an answer");
    }
  }

  /** Closes the connection, with whatever is still on it. */
  abort(): void {
    this.#req.destroy();
  }

  #send(req: TargetRequest): void {
    if (req.body === undefined || Buffer.isBuffer(req.body)) {
      this.#req.end(req.body);
      return;
    }
    // A body that breaks off breaks the request off, whose own error tells of it.
    pipeline(req.body, this.#req, () => undefined);
  }

  #watch(res: IncomingMessage): void {
    // The parser takes what came before a reset for the whole of an answer without a
    // length; the request's error, which comes first, says that it is not.
    this.#req.once("error", (err) => res.destroy(err));
    if (this.#failure) {
      res.destroy(this.#failure);
    }
    res.once("end", () => {
      if (!this.#req.writableFinished) {
        // It was answered before it was sent to its end. The target may read on, and
        // must not take anything else for the rest of it.
        this.#req.destroy();
      }
    });
  }
}

/** Each hop frames the body anew. */
function framing({ method, body, bodyLength }: TargetRequest): string[] {
  if (Buffer.isBuffer(body)) {
    return ["content-length", String(body.length)];
  }
  if (body === undefined) {
    return BODILESS.has(method) ? [] : ["content-length", "0"];
  }
  return bodyLength === undefined
    ? ["transfer-encoding", "chunked"]
    : ["content-length", String(bodyLength)];
}
