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
 * Writes all requests at once to a new connection (RFC 9112, section 9.3.2), and reads responses until there is one for
 * each, one closes the connection, the connection ends or `timeoutMs` has passed. Every response has a length.
 */
export function sendPipelined(
  port: number,
  requests: readonly PipelinedRequest[],
  timeoutMs: number,
  now: () => number,
): Promise<PipelinedResult> {
  return new Promise((resolve) => {
    const responses: PipelinedResponse[] = [];
    let sentAt: number | undefined;
    let received = "";
    const socket = connect(port, "127.0.0.1", () => {
      sentAt = now();
      socket.write(requests.map(toText).join(""));
    });
    const end = (hasTimedOut = false) => {
      clearTimeout(timer);
      socket.destroy();
      resolve({ sentAt, responses, hadBegun: received !== "", hasTimedOut });
    };
    const timer = setTimeout(end, timeoutMs, true);
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
  const bodyStart = headEnd + END_OF_HEAD.length;
  const bodyEnd = bodyStart + Number(headers.get("content-length"));
  if (received.length < bodyEnd) {
    return undefined;
  }
  const status = Number(statusLine.split(" ")[1]);
  const body = received.slice(bodyStart, bodyEnd);
  return { response: { status, headers, body }, rest: received.slice(bodyEnd) };
}

function closesConnection({ headers }: PipelinedResponse): boolean {
  return headers.get("connection") === "close";
}
