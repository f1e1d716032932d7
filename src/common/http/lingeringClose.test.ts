import { once } from "node:events";
import { createServer, type RequestListener } from "node:http";
import { connect, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import test, { type ExecutionContext } from "ava";
import { blockEventLoop } from "../../../test/fixtures/blockEventLoop.ts";
import { eventually } from "../../../test/fixtures/eventually.ts";
import { startHttpServer } from "./startHttpServer.ts";

/** Fits into the kernel's send buffer, and not into the receive buffer of a caller that does not read. */
const RESPONSE_BYTES = 540_000;

/** More than the kernel buffers between two loopback sockets can hold. */
const LARGE_BYTES = 24 << 20;

/** Time in which a stop has to close idle connections whose callers keep them open, ms; the linger time is 1 s. */
const MAX_STOP_MS = 2500;

const GET = "GET / HTTP/1.1\r\nhost: a\r\n\r\n";

/** What a caller got: bytes, and the code of the error that ended its connection. */
interface Received {
  text: string;
  error: string | undefined;
}

/** Starts a server with `listener`, and opens a connection whose caller does not read yet. */
async function startAndConnect(t: ExecutionContext, listener: RequestListener) {
  const httpServer = createServer(listener);
  const server = await startHttpServer(httpServer, "127.0.0.1:0");
  const accepted = once(httpServer, "connection") as Promise<[Socket]>;
  const socket = connect(server.port, "127.0.0.1");
  const received: Received = { text: "", error: undefined };
  socket.on("error", (err: NodeJS.ErrnoException) => (received.error = err.code));
  socket.on("data", (chunk: Buffer) => (received.text += chunk.toString("latin1")));
  socket.pause();
  t.teardown(() => {
    socket.destroy();
    return server.dispose();
  });
  const [serverSocket] = await accepted;
  return { server, socket, serverSocket, received };
}

const bodyOf = ({ text }: Received) => text.slice(text.indexOf("\r\n\r\n") + 4);

const closes: readonly {
  name: string;
  headers: Record<string, string>;
  isStop: boolean;
  /** Time for which the event loop is blocked when the other request has been sent, ms. */
  blockMs: number;
}[] = [
  {
    name: "a response with Connection: close",
    headers: { connection: "close" },
    isStop: false,
    blockMs: 0,
  },
  {
    name: "a response with Connection: close, the event loop blocked for the linger time",
    headers: { connection: "close" },
    isStop: false,
    blockMs: 1200,
  },
  { name: "a stop that closes its idle connection", headers: {}, isStop: true, blockMs: 0 },
];

for (const { name, headers, isStop, blockMs } of closes) {
  // Guards against a reset that discards the part of a response that the kernel has not sent yet.
  test.serial(
    `${name}: the response reaches a slow reader that has sent another request`,
    async (t) => {
      let requests = 0;
      const { server, socket, serverSocket, received } = await startAndConnect(t, (_req, res) => {
        requests += 1;
        res.writeHead(200, { ...headers, "content-length": RESPONSE_BYTES });
        res.end(Buffer.alloc(RESPONSE_BYTES, "x"));
      });
      socket.write(GET);
      await eventually(() => requests === 1);
      const stopped = isStop ? server.dispose() : undefined;
      await eventually(() => serverSocket.writableFinished || serverSocket.destroyed);
      socket.write(GET);
      blockEventLoop(blockMs);
      await sleep(100);
      socket.resume();
      await eventually(() => socket.readableEnded || socket.closed);
      t.deepEqual([bodyOf(received).length, received.error], [RESPONSE_BYTES, undefined]);
      t.is(requests, 1);
      await stopped;
    },
  );
}

// Guards against a reset, or a wait for the linger time, because Node stops reading a connection with much pending output.
test("a response with Connection: close reaches a caller that pipelines requests while it is being sent", async (t) => {
  let requests = 0;
  const { socket, serverSocket, received } = await startAndConnect(t, (_req, res) => {
    requests += 1;
    if (requests === 1) {
      res.writeHead(200, { connection: "close", "content-length": LARGE_BYTES });
      res.end(Buffer.alloc(LARGE_BYTES, "x"));
    }
  });
  socket.write(GET);
  await eventually(() => requests === 1);
  for (let behind = 0; behind < 3; behind += 1) {
    socket.write(GET);
    await sleep(50);
  }
  socket.resume();
  await eventually(() => socket.readableEnded || socket.closed);
  const endedAt = performance.now();
  t.deepEqual([bodyOf(received).length, received.error], [LARGE_BYTES, undefined]);
  await eventually(() => serverSocket.closed);
  t.true(performance.now() - endedAt < 500);
});

// Guards against a reset that discards the response to an upload which is refused before all of it has arrived.
test("a response with Connection: close reaches a caller that reads it after its upload", async (t) => {
  const { socket, received } = await startAndConnect(t, (_req, res) => {
    res.writeHead(413, { connection: "close" }).end();
  });
  socket.write(`POST / HTTP/1.1\r\nhost: a\r\ncontent-length: ${LARGE_BYTES}\r\n\r\n`);
  socket.write(Buffer.alloc(LARGE_BYTES), () => {
    socket.resume();
  });
  await eventually(() => socket.readableEnded || socket.closed);
  t.is(received.error, undefined);
  t.is(received.text.slice(0, 12), "HTTP/1.1 413");
});

// Guards against a process that exits, and so resets callers' connections, while they still read their responses.
test("stop: waits until the caller of a recent response has closed its connection", async (t) => {
  const { server, socket, serverSocket } = await startAndConnect(t, (_req, res) => {
    res.end("ok");
  });
  socket.write(GET);
  await eventually(() => serverSocket.bytesWritten > 0);
  let isStopped = false;
  const stopped = Promise.resolve(server.dispose()).then(() => (isStopped = true));
  await sleep(500);
  t.false(isStopped);
  const closingAt = performance.now();
  socket.resume();
  await stopped;
  t.true(performance.now() - closingAt < 400);
});

// Guards against a stop that is held up by callers that do not close their connections.
test("stop: does not wait longer than the linger time for a caller that keeps its connection open", async (t) => {
  const { server, socket, serverSocket } = await startAndConnect(t, (_req, res) => {
    res.end("ok");
  });
  socket.write(GET);
  await eventually(() => serverSocket.bytesWritten > 0);
  const startedAt = performance.now();
  await server.dispose();
  t.true(performance.now() - startedAt < MAX_STOP_MS);
});
