import { request, type ClientRequest, type IncomingMessage } from "node:http";
import { pipeline } from "node:stream";
import type { Clock } from "../../common/lifecycle/Clock.ts";
import type { HeaderList } from "./HeaderList.ts";
import { HeadWatch } from "./HeadWatch.ts";
import type { TargetAgent } from "./TargetAgent.ts";
import type { TargetRequest } from "./TargetRequest.ts";

/** Maximum size of the status line and the headers, and of the trailers, bytes; targets send a few KB. */
const MAX_HEADER_BYTES = 64 * 1024;

/** Methods whose requests have no body by default. */
const BODYLESS_METHODS = new Set(["GET", "HEAD", "DELETE", "OPTIONS"]);

/** Target of an exchange, and how the request is sent to it. */
interface Destination {
  /** Base URL of the target. */
  readonly url: string;
  readonly agent: TargetAgent;
  readonly headers: HeaderList;
  readonly clock: Clock;
}

/**
 * One request and its response on one connection to a target, using Node's HTTP client. It distinguishes a response
 * that was truncated by a reset from a complete one, even if the response has no length and ends with its connection;
 * undici treats both as complete.
 */
export class TargetExchange {
  readonly #agent: TargetAgent;
  readonly #req: ClientRequest;
  #error: Error | undefined;

  /** Resolves with the head of the response, before its body is read. */
  readonly response: Promise<IncomingMessage>;

  constructor({ url, agent, headers, clock }: Destination, req: TargetRequest) {
    const { hostname, port } = new URL(url);
    this.#agent = agent;
    this.#req = request({
      host: hostname,
      port,
      method: req.method,
      path: req.path,
      headers: [...headers, ...framingHeaders(req)],
      agent,
      maxHeaderSize: MAX_HEADER_BYTES,
    });
    new HeadWatch(this.#req, {
      clock,
      isRepeatable: req.idempotent && (req.body === undefined || Buffer.isBuffer(req.body)),
      onExceeded: (err) => {
        this.#req.destroy(err);
      },
    });
    this.response = new Promise((resolve, reject) => {
      this.#req.once("response", (res) => {
        this.#watchResponse(res);
        resolve(res);
      });
      this.#req.on("error", (err) => {
        this.#error ??= err;
        reject(err);
      });
    });
    this.#send(req);
  }

  /**
   * Checks a response whose body has ended: rejects if the response has no length and its connection was reset rather
   * than closed normally.
   */
  async checkEnd(res: IncomingMessage): Promise<void> {
    const isFramed =
      res.headers["content-length"] !== undefined || res.headers["transfer-encoding"] !== undefined;
    if (!isFramed && (await this.#agent.wasReset(res.socket))) {
      throw new Error("the connection was reset in the midst of an answer");
    }
  }

  /** Closes the connection and discards any data still in transit on it. */
  abort(): void {
    this.#req.destroy();
  }

  #send(req: TargetRequest): void {
    if (req.body === undefined || Buffer.isBuffer(req.body)) {
      this.#req.end(req.body);
      return;
    }
    // An error of the body stream destroys the request, whose `error` event reports it.
    pipeline(req.body, this.#req, () => undefined);
  }

  #watchResponse(res: IncomingMessage): void {
    // The parser treats the bytes before a reset as the complete body of a response without a length; the request's
    // error, which is emitted first, shows that the body is truncated.
    this.#req.once("error", (err) => res.destroy(err));
    if (this.#error) {
      res.destroy(this.#error);
    }
    res.once("end", () => {
      if (!this.#req.writableFinished) {
        // The response ended before the request was fully sent. The target may continue to read, and must not receive
        // the next request as the rest of this one.
        this.#req.destroy();
      }
    });
  }
}

/** Headers that frame the body; each hop sets its own. */
function framingHeaders({ method, body, bodyLength }: TargetRequest): string[] {
  if (Buffer.isBuffer(body)) {
    return ["content-length", String(body.length)];
  }
  if (body === undefined) {
    return BODYLESS_METHODS.has(method) ? [] : ["content-length", "0"];
  }
  return bodyLength === undefined
    ? ["transfer-encoding", "chunked"]
    : ["content-length", String(bodyLength)];
}
