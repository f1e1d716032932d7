import { request, type Agent } from "node:http";

/** How a client's request ended. */
export interface ClientResult {
  /** Status of the response; 0 if there was none. */
  readonly status: number;
  /** Whether the whole response has arrived. */
  readonly isComplete: boolean;
  readonly bytes: number;
  /** Time from sending to the end of the response or the connection, ms. */
  readonly ms: number;
  readonly error?: string;
  /** Whether it was sent on a connection that had been used before. */
  readonly isKept: boolean;
}

interface ClientRequestOptions {
  readonly ip: string;
  readonly port: number;
  readonly method: string;
  readonly host: string;
  readonly path: string;
  readonly attempt: string;
  readonly deadlineMs: number;
  readonly body?: string;
  readonly agent?: Agent;
}

/** Sends one attempt of a client, which leaves at its deadline. */
export function sendRequest(opts: ClientRequestOptions): Promise<ClientResult> {
  const { ip, port, method, host, path, attempt, deadlineMs, body, agent } = opts;
  const sentAt = performance.now();
  return new Promise((resolve) => {
    let status = 0;
    let bytes = 0;
    const end = (isComplete: boolean, error?: string) => {
      clearTimeout(timer);
      const ms = performance.now() - sentAt;
      resolve({ status, isComplete, bytes, ms, error, isKept: req.reusedSocket });
    };
    const headers = { host, "x-attempt-id": attempt, "x-deadline-ms": String(deadlineMs) };
    const req = request({ host: ip, port, method, path, headers, agent: agent ?? false });
    const timer = setTimeout(() => {
      end(false, "the client's deadline has passed");
      req.destroy();
    }, deadlineMs);
    req.once("response", (res) => {
      status = res.statusCode ?? 0;
      res.on("data", (chunk: Buffer) => {
        bytes += chunk.length;
      });
      res.once("end", () => {
        end(res.complete);
      });
      res.once("error", (err) => {
        end(false, err.message);
      });
    });
    req.on("error", (err) => {
      end(false, err.message);
    });
    req.end(body);
  });
}
