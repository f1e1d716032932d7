import { fork } from "node:child_process";
import { once } from "node:events";
import { createServer, type RequestListener } from "node:http";
import { fileURLToPath } from "node:url";
import test from "ava";
import { blockEventLoop } from "../../../test/fixtures/blockEventLoop.ts";
import type { CallerScript } from "../../../test/fixtures/scriptedCaller.ts";
import { startHttpServer } from "./startHttpServer.ts";

const requestFor = (path: string) => `GET ${path} HTTP/1.1\r\nhost: a\r\n\r\n`;

/** Duration of a caller's script, ms. */
const END_MS = 2500;

type StartedServer = Awaited<ReturnType<typeof startHttpServer>>;

/** Starts a server, and a caller that plays `steps` once `begin` has been called; resolves with what its connections got. */
async function serve(
  steps: CallerScript["steps"],
  listener: (server: StartedServer) => RequestListener,
  options: { keepAliveTimeout?: number; begin?: () => void } = {},
): Promise<Record<string, string>> {
  const { keepAliveTimeout = 60_000, begin } = options;
  const handler: { listener?: RequestListener } = {};
  const httpServer = createServer({ keepAliveTimeout }, (req, res) => {
    handler.listener?.(req, res);
  });
  const server = await startHttpServer(httpServer, "127.0.0.1:0");
  handler.listener = listener(server);
  const path = fileURLToPath(new URL("../../../test/fixtures/scriptedCaller.ts", import.meta.url));
  const caller = fork(path, { execArgv: ["--import=tsx"] });
  await once(caller, "message");
  caller.send({ port: server.port, steps, endMs: END_MS });
  begin?.();
  const [outcomes] = (await once(caller, "message")) as [Record<string, string>];
  await server.dispose();
  return outcomes;
}

const stop = (server: StartedServer) => {
  void server.dispose();
};

test.serial("stop: a connection opened while the event loop is blocked is not reset", async (t) => {
  // Guards against requests without a response: closing the listening socket resets the connections that the kernel has
  // accepted and the process has not.
  const late = [0, 1, 2, 3, 4].map((n) => `late-${n}`);
  const steps = [
    { atMs: 0, connection: "first", data: requestFor("/stop") },
    ...late.map((connection) => ({ atMs: 200, connection, data: requestFor("/") })),
  ];
  const outcomes = await serve(steps, (server) => (req, res) => {
    if (req.url === "/stop") {
      stop(server);
      blockEventLoop(400);
    }
    res.end("ok");
  });
  t.deepEqual(
    late.map((name) => outcomes[name]?.slice(0, 12)),
    late.map(() => "HTTP/1.1 200"),
  );
});

test.serial(
  "stop: a request on a kept connection that arrives during a block is answered",
  async (t) => {
    // Guards against closing an idle connection whose next request has arrived and has not been read.
    const blocking = [0, 1, 2, 3].map((n) => ({
      connection: `blocking-${n}`,
      data: requestFor("/"),
    }));
    const steps = [
      ...[{ connection: "kept", data: requestFor("/") }, ...blocking].map((step) => ({
        ...step,
        atMs: 0,
      })),
      { atMs: 100, connection: "other", data: requestFor("/stop") },
      ...blocking.map(({ connection }, n) => ({
        atMs: 150 + 100 * n,
        connection,
        data: requestFor("/block"),
      })),
      { atMs: 500, connection: "kept", data: requestFor("/second") },
    ];
    const served: (string | undefined)[] = [];
    await serve(steps, (server) => (req, res) => {
      served.push(req.url);
      if (req.url === "/stop") {
        stop(server);
      }
      if (req.url === "/block") {
        blockEventLoop(150);
      }
      setTimeout(() => res.end("ok"), req.url === "/stop" ? 1200 : 0);
    });
    t.true(served.includes("/second"), served.join());
  },
);

test.serial(
  "a request on a kept connection that arrives before its idle timeout is answered",
  async (t) => {
    // Guards against closing a connection as idle because the event loop was blocked when its next request arrived. Node
    // closes idle connections a second after the timeout that it announces.
    const steps = [
      { atMs: 0, connection: "kept", data: requestFor("/") },
      { atMs: 1250, connection: "kept", data: requestFor("/second") },
    ];
    const served: (string | undefined)[] = [];
    const outcomes = await serve(
      steps,
      () => (req, res) => {
        served.push(req.url);
        res.end("ok");
        if (req.url === "/") {
          setTimeout(() => {
            setImmediate(() => {
              blockEventLoop(600);
            });
          }, 1100);
        }
      },
      { keepAliveTimeout: 400 },
    );
    t.deepEqual(served, ["/", "/second"], outcomes.kept);
  },
);
