import { connect, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import { PassThrough, type Readable } from "node:stream";
import test, { type ExecutionContext } from "ava";
import bunyan from "bunyan";
import { eventually } from "../../../test/fixtures/eventually.ts";
import { makeRoute } from "../../../test/fixtures/makeRoute.ts";
import { Limits } from "../../common/document/Limits.ts";
import { TargetId } from "../../common/ids/TargetId.ts";
import { SystemClock } from "../../common/lifecycle/SystemClock.ts";
import { noTracing } from "../../common/telemetry/noTracing.ts";
import { SidecarMetrics } from "../admin/SidecarMetrics.ts";
import { AttemptOutcome } from "../detection/AttemptOutcome.ts";
import { ownDialect } from "../dialect/ownDialect.ts";
import type { ForwardResult } from "../forwarding/ForwardResult.ts";
import type { CallerRequest } from "../routing/CallerRequest.ts";
import type { RouteIndex } from "../routing/RouteIndex.ts";
import { RequestOrigin } from "../routing/RequestOrigin.ts";
import { CallerServer } from "./CallerServer.ts";

const sleep = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms));

const done = (text: string): ForwardResult => ({
  verdict: { kind: "done", target: TargetId("x"), status: 200 },
  outcome: AttemptOutcome.Ok,
  headers: {},
  body: Buffer.from(text),
});

const notRun: ForwardResult = {
  verdict: { kind: "not-run", reason: "full", retryAfterMs: 400 },
  outcome: AttemptOutcome.Shed,
};

/** A caller server whose requests are settled by the test, by their paths, and one connection to it. */
async function open(t: ExecutionContext, limits: Partial<Limits> = {}) {
  const courses = new Map<string, { req: CallerRequest; settle: (out: ForwardResult) => void }>();
  const route = makeRoute();
  const server = new CallerServer({
    originOf: () => RequestOrigin.Unknown,
    config: () => ({
      version: 1,
      routes: { match: () => route } as unknown as RouteIndex,
      limits: Limits.parse(limits),
    }),
    waitForConfig: () => Promise.resolve(),
    dispatcher: {
      dispatch: (_route, req) =>
        new Promise((settle) => {
          courses.set(req.path, { req, settle });
        }),
    },
    dialect: ownDialect,
    draw: () => 0,
    metrics: new SidecarMetrics(),
    tracing: noTracing,
    clock: SystemClock,
    log: bunyan.createLogger({ name: "test", level: "fatal" }),
  });
  await new Promise<void>((resolve) => server.server.listen(0, "127.0.0.1", resolve));
  const socket = connect((server.server.address() as AddressInfo).port, "127.0.0.1");
  t.teardown(() => {
    socket.destroy();
    server.server.close();
    server.server.closeAllConnections();
  });
  let seen = "";
  socket.on("data", (chunk: Buffer) => (seen += chunk.toString("latin1")));
  socket.on("error", () => undefined);
  return { server, socket, courses, seen: () => seen };
}

/** Sends several requests without waiting for an answer; resolves once all have been taken. */
async function pipeline(
  socket: Socket,
  courses: ReadonlyMap<string, unknown>,
  paths: readonly string[],
): Promise<void> {
  socket.write(paths.map((path) => `GET ${path} HTTP/1.1\r\nhost: a\r\n\r\n`).join(""));
  await eventually(() => paths.every((path) => courses.has(path)));
}

/** The bodies of the answers in `seen`, in order; refusals by their status. */
const answers = (seen: string) =>
  seen
    .split(/(?=HTTP\/1\.1 )/)
    .filter((part) => part !== "")
    .map((part) =>
      part.startsWith("HTTP/1.1 200") ? part.split("\r\n\r\n")[1] : part.slice(9, 12),
    );

const orders: readonly {
  name: string;
  settled: readonly [path: string, out: ForwardResult][];
  want: readonly string[];
}[] = [
  {
    name: "the first one slow, the ones behind it ready before",
    settled: [
      ["/c", done("third")],
      ["/b", done("second")],
      ["/a", done("first")],
    ],
    want: ["first", "second", "third"],
  },
  {
    name: "one in the middle refused",
    settled: [
      ["/b", notRun],
      ["/c", done("third")],
      ["/a", done("first")],
    ],
    want: ["first", "503", "third"],
  },
];

for (const { name, settled, want } of orders) {
  test(`pipelined requests are answered in their order, each with its own answer: ${name}`, async (t) => {
    const { socket, courses, seen } = await open(t);
    await pipeline(socket, courses, ["/a", "/b", "/c"]);
    for (const [path, out] of settled) {
      courses.get(path)?.settle(out);
      await sleep(10);
    }
    await eventually(() => answers(seen()).length >= want.length);
    t.deepEqual(answers(seen()), [...want]);
  });
}

// Story: a farmer's phone asks for three parcels at once and loses its connection. Node tells only
// of the first answer that its connection is gone, so the other two went on: targets worked for
// nobody, and their slots were missing elsewhere.
test("a caller that leaves has left with every request that it pipelined", async (t) => {
  const { socket, courses } = await open(t);
  await pipeline(socket, courses, ["/a", "/b", "/c"]);
  socket.destroy();
  const left = () => ["/a", "/b", "/c"].map((path) => courses.get(path)?.req.left.aborted);
  await eventually(() => left().every((aborted) => aborted));
  t.deepEqual(left(), [true, true, true]);
});

// Story: a sidecar is stopped as planned while a phone waits for three parcels on one connection.
// With the first answer it was told that the connection closes, and the work on the other two was
// thrown away, though they would have been ready within the grace.
test("a stop ends a connection with the last of the requests that were pipelined on it", async (t) => {
  const { server, socket, courses, seen } = await open(t);
  await pipeline(socket, courses, ["/a", "/b", "/c"]);
  server.beginStop();
  for (const path of ["/a", "/b", "/c"]) {
    courses.get(path)?.settle(done(path));
    await sleep(20);
  }
  await eventually(() => socket.readableEnded);
  t.deepEqual(answers(seen()), ["/a", "/b", "/c"]);
  t.is(seen().match(/connection: close/gi)?.length, 1);
  t.true(socket.readableEnded);
});

// Story: the first answer of three breaks off, and its connection is closed so that it is seen to be
// incomplete. What was sent behind it counts as not read and will be sent again.
test("what is pipelined behind an answer that breaks off is given up", async (t) => {
  const { socket, courses, seen } = await open(t);
  await pipeline(socket, courses, ["/a", "/b"]);
  const body = new PassThrough();
  courses.get("/a")?.settle({ ...done(""), body, ended: Promise.resolve(AttemptOutcome.Failed) });
  body.write("half of");
  await eventually(() => seen().includes("half of"));
  body.destroy(new Error("cut short"));
  await eventually(() => courses.get("/b")?.req.left.aborted === true);
  t.true(seen().includes("half of"));
  t.true(courses.get("/b")?.req.left.aborted);
});

const bodies: readonly {
  name: string;
  head: string;
  body: string;
  kind: "buffer" | "stream" | "none";
}[] = [
  {
    name: "of some hundred KB",
    head: `content-length: 300000`,
    body: "x".repeat(300_000),
    kind: "buffer",
  },
  {
    name: "in chunks, of untold length",
    head: "transfer-encoding: chunked",
    body: `7d0\r\n${"x".repeat(2000)}\r\n0\r\n\r\n`,
    kind: "buffer",
  },
  {
    name: "larger than what is held",
    head: `content-length: ${2 << 20}`,
    body: "x".repeat(2 << 20),
    kind: "stream",
  },
  {
    name: "in chunks, larger than what is held",
    head: "transfer-encoding: chunked",
    body: `200000\r\n${"x".repeat(0x20_0000)}\r\n0\r\n\r\n`,
    kind: "stream",
  },
  { name: "left out", head: "content-length: 0", body: "", kind: "none" },
];

// Story: a surveyor uploads a field map of 300 KB. The first target asked turns it away for want of
// room, unrun; the body had been passed on as it came and was gone, so the upload failed though
// other targets had room.
for (const { name, head, body, kind } of bodies) {
  test(`a body ${name} is ${kind === "buffer" ? "held, to be sent again" : kind === "stream" ? "passed on as it comes" : "none"}`, async (t) => {
    const { socket, courses, seen } = await open(t);
    socket.write(`POST /a HTTP/1.1\r\nhost: a\r\n${head}\r\n\r\n${body}`);
    await eventually(() => courses.has("/a"));
    const request = courses.get("/a");
    const sent = request?.req.body;
    t.is(sent === undefined ? "none" : Buffer.isBuffer(sent) ? "buffer" : "stream", kind);
    const bytes = sent === undefined ? 0 : await byteCount(sent);
    t.is(bytes, body.replace(/^[0-9a-f]+\r\n|\r\n0\r\n\r\n$/g, "").length);
    request?.settle(done("taken"));
    await eventually(() => answers(seen()).length > 0);
    t.deepEqual(answers(seen()), ["taken"]);
  });
}

async function byteCount(body: Buffer | Readable): Promise<number> {
  if (Buffer.isBuffer(body)) {
    return body.length;
  }
  let bytes = 0;
  for await (const chunk of body as AsyncIterable<Buffer>) {
    bytes += chunk.length;
  }
  return bytes;
}

test("a body in chunks that is larger than allowed is refused", async (t) => {
  const { socket, seen } = await open(t, { maxBodyBytes: 1000 });
  socket.write("POST /a HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n");
  socket.write(`7d0\r\n${"x".repeat(2000)}\r\n0\r\n\r\n`);
  await eventually(() => answers(seen()).length > 0);
  t.deepEqual(answers(seen()), ["413"]);
});

const malformed: readonly { name: string; bytes: string; status: string }[] = [
  { name: "a head that does not come to its end in time", bytes: "GET /b HT", status: "408" },
  { name: "bytes that are no request", bytes: "what is this?\r\n\r\n", status: "400" },
];

for (const { name, bytes, status } of malformed) {
  test(`a request in progress is not answered for ${name} behind it`, async (t) => {
    const { server, socket, courses, seen } = await open(t);
    server.limit(Limits.parse({ headerTimeoutMs: 100 }));
    await pipeline(socket, courses, ["/a"]);
    socket.write(bytes);
    await sleep(2500);
    t.is(seen(), "", "nothing is said while it is in progress");
    courses.get("/a")?.settle(done("first"));
    await eventually(() => socket.closed);
    t.deepEqual(answers(seen()), ["first"]);
  });

  test(`${name} is refused with ${status} where no request is in progress`, async (t) => {
    const { server, socket, seen } = await open(t);
    server.limit(Limits.parse({ headerTimeoutMs: 100 }));
    socket.write(bytes);
    await eventually(() => socket.closed);
    t.deepEqual(answers(seen()), [status]);
  });
}

test("a request whose body breaks off the protocol ends with its connection, after the answers before it", async (t) => {
  const { socket, courses, seen } = await open(t);
  await pipeline(socket, courses, ["/a"]);
  socket.write("POST /b HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\nno length\r\n");
  await sleep(100);
  t.is(seen(), "");
  courses.get("/a")?.settle(done("first"));
  await eventually(() => socket.closed);
  t.deepEqual(answers(seen()), ["first"]);
});
