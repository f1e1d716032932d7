import { createServer, type RequestListener } from "node:http";
import { connect, type Socket } from "node:net";
import test from "ava";
import { startHttpServer } from "./startHttpServer.ts";

/** More than the kernel buffers between two loopback sockets can hold. */
const LARGE_BYTES = 24 << 20;

const sleep = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms));

/** Starts a server with `listener` and opens a connection to it. */
async function startAndConnect(listener: RequestListener) {
  const server = await startHttpServer(createServer(listener), "127.0.0.1:0");
  const socket = connect(server.port, "127.0.0.1");
  await new Promise((resolve) => socket.once("connect", resolve));
  const closed = new Promise<string>((resolve) => {
    socket.once("error", (err) => {
      resolve(err.message);
    });
    socket.once("close", () => {
      resolve("closed");
    });
  });
  return { server, socket, closed };
}

function countBytes(socket: Socket): () => number {
  let bytes = 0;
  socket.on("data", (chunk: Buffer) => (bytes += chunk.length));
  return () => bytes;
}

const GET = "GET / HTTP/1.1\r\nhost: a\r\n\r\n";

// Guards against truncated responses on a planned stop: once a process has written a whole
// response, Node treats the connection as idle and closes it, even while data is still being
// sent to a client on a slow link, which then receives only part of the response.
test("stop: a response that is still being sent is completed", async (t) => {
  const { server, socket, closed } = await startAndConnect((_req, res) => {
    res.end(Buffer.alloc(LARGE_BYTES));
  });
  socket.pause();
  socket.write(GET);
  await sleep(100);
  const stopped = server.dispose();
  await sleep(300);
  const bytes = countBytes(socket);
  socket.resume();
  t.is(await closed, "closed");
  t.true(bytes() > LARGE_BYTES, `${bytes()} bytes`);
  await stopped;
});

test("stop: an idle keep-alive connection is closed", async (t) => {
  const { server, socket, closed } = await startAndConnect((_req, res) => {
    res.end("ok");
  });
  socket.write(GET);
  await new Promise((resolve) => socket.once("data", resolve));
  await server.dispose();
  t.is(await closed, "closed");
});

test("stop: a request whose headers are still arriving gets its response", async (t) => {
  const { server, socket, closed } = await startAndConnect((_req, res) => {
    setTimeout(() => res.end("ok"), 150);
  });
  const bytes = countBytes(socket);
  socket.write(GET.slice(0, 20));
  await sleep(50);
  const stopped = server.dispose();
  await sleep(250);
  socket.write(GET.slice(20));
  t.is(await closed, "closed");
  t.true(bytes() > 0);
  await stopped;
});

// Guards against resetting connections after a stall: a process that was not scheduled for
// 300 ms runs its shutdown timer before it reads its sockets, so connections with unread
// requests looked idle and were reset.
test("stop: a request that has arrived but has not been read yet gets its response", async (t) => {
  const { server, socket, closed } = await startAndConnect((_req, res) => {
    res.end("ok");
  });
  const bytes = countBytes(socket);
  socket.write(GET);
  while (bytes() === 0) {
    await sleep(10);
  }
  const before = bytes();
  socket.write(GET);
  const stopped = server.dispose();
  t.is(await closed, "closed");
  t.true(bytes() > before);
  await stopped;
});
