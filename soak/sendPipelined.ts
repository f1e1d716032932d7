import { connect } from "node:net";

/** A GET request to be pipelined. */
interface PipelinedRequest {
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
}

/** A response, in the order of the requests. */
interface PipelinedResponse {
  readonly status: number;
  readonly headers: ReadonlyMap<string, string>;
  readonly body: string;
}

/** How pipelined requests are written and their responses read. */
interface PipeliningOptions {
  /** Interval between the requests, ms; 0 to write all at once. */
  readonly gapMs?: number;
  /** Time for which nothing is read once the first response has begun, ms. */
  readonly pauseMs?: number;
}

/** What became of pipelined requests. */
interface PipelinedResult {
  /** When the requests were written to the open connection; undefined if none was opened. */
  readonly sentAt: number | undefined;
  /** The responses received whole, one each for the first requests. */
  readonly responses: readonly PipelinedResponse[];
  /** A further response had begun to arrive. */
  readonly hadBegun: boolean;
  /** The caller gave up. */
  readonly hasTimedOut: boolean;
}

const END_OF_HEAD = "\r\n\r\n";

/**
 * Writes all requests to a new connection without waiting for responses (RFC 9112, section 9.3.2), and reads these until there is one for
 * each, one closes the connection, the connection ends or `timeoutMs` has passed. Every response has a length or is
 * chunked (section 7.1).
 */
export function sendPipelined(
  port: number,
  requests: readonly PipelinedRequest[],
  timeoutMs: number,
  now: () => number,
  { gapMs = 0, pauseMs = 0 }: PipeliningOptions = {},
): Promise<PipelinedResult> {
  return new Promise((resolve) => {
    const responses: PipelinedResponse[] = [];
    let sentAt: number | undefined;
    let received = "";
    const timers: NodeJS.Timeout[] = [];
    const socket = connect(port, "127.0.0.1", () => {
      sentAt = now();
      if (gapMs === 0) {
        socket.write(requests.map(toText).join(""));
      } else {
        requests.forEach((req, n) =>
          timers.push(setTimeout(() => socket.write(toText(req)), n * gapMs)),
        );
      }
    });
    const end = (hasTimedOut = false) => {
      [timer, ...timers].forEach(clearTimeout);
      socket.destroy();
      resolve({ sentAt, responses, hadBegun: received !== "", hasTimedOut });
    };
    const timer = setTimeout(end, timeoutMs, true);
    socket.once("data", () => {
      if (pauseMs > 0) {
        socket.pause();
        timers.push(setTimeout(() => socket.resume(), pauseMs));
      }
    });
    socket.on("data", (chunk: Buffer) => {
      received += chunk.toString("latin1");
      for (let next = takeResponse(received); next; next = takeResponse(received)) {
        received = next.rest;
        responses.push(next.response);
        if (responses.length === requests.length || closesConnection(next.response)) {
          end();
          return;
        }
      }
    });
    // An error is followed by "close".
    socket.on("error", () => undefined);
    socket.on("close", () => {
      end();
    });
  });
}

function toText({ path, headers }: PipelinedRequest): string {
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
  return `GET ${path} HTTP/1.1\r\nhost: 127.0.0.1\r\n${lines.join("")}\r\n`;
}

/** The first response in `received` and the text after it; undefined until the response is whole. */
function takeResponse(received: string): { response: PipelinedResponse; rest: string } | undefined {
  const headEnd = received.indexOf(END_OF_HEAD);
  if (headEnd < 0) {
    return undefined;
  }
  const [statusLine = "", ...lines] = received.slice(0, headEnd).split("\r\n");
  const headers = new Map(
    lines.map((line) => {
      const [name = "", ...value] = line.split(":");
      return [name.toLowerCase(), value.join(":").trim()];
    }),
  );
  const afterHead = received.slice(headEnd + END_OF_HEAD.length);
  const isChunked = headers.get("transfer-encoding") === "chunked";
  const taken = isChunked
    ? takeChunks(afterHead)
    : takeBody(afterHead, Number(headers.get("content-length")));
  const status = Number(statusLine.split(" ")[1]);
  return taken && { response: { status, headers, body: taken.body }, rest: taken.rest };
}

function takeBody(received: string, length: number): { body: string; rest: string } | undefined {
  return received.length < length
    ? undefined
    : { body: received.slice(0, length), rest: received.slice(length) };
}

/** As `takeBody`, for a chunked body without trailers. */
function takeChunks(received: string): { body: string; rest: string } | undefined {
  const chunks: string[] = [];
  for (let at = 0; ;) {
    const sizeEnd = received.indexOf("\r\n", at);
    const size = parseInt(received.slice(at, sizeEnd), 16);
    const start = sizeEnd + 2;
    const end = start + size + 2;
    if (sizeEnd < 0 || received.length < end) {
      return undefined;
    }
    if (size === 0) {
      return { body: chunks.join(""), rest: received.slice(end) };
    }
    chunks.push(received.slice(start, start + size));
    at = end;
  }
}

function closesConnection({ headers }: PipelinedResponse): boolean {
  return headers.get("connection") === "close";
}
