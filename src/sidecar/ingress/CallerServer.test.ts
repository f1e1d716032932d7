import { once } from "node:events";
import { connect, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import { PassThrough, type Readable } from "node:stream";
import test, { type ExecutionContext } from "ava";
import bunyan from "bunyan";
import { eventually } from "../../../test/fixtures/eventually.ts";
import { makeRoute } from "../../../test/fixtures/makeRoute.ts";
import { makeService } from "../../../test/fixtures/makeService.ts";
import { Limits } from "../../common/document/Limits.ts";
import { OpenConnections } from "../../common/http/OpenConnections.ts";
import { TargetId } from "../../common/ids/TargetId.ts";
import { WorkspaceName } from "../../common/ids/WorkspaceName.ts";
import { SystemClock } from "../../common/lifecycle/SystemClock.ts";
import { noTracing } from "../../common/telemetry/noTracing.ts";
import { SidecarMetrics } from "../admin/SidecarMetrics.ts";
import { AttemptOutcome } from "../detection/AttemptOutcome.ts";
import { ownDialect } from "../dialect/ownDialect.ts";
import type { ForwardResult } from "../forwarding/ForwardResult.ts";
import { MemoryAccount } from "../memory/MemoryAccount.ts";
import { MemoryHolder } from "../memory/MemoryHolder.ts";
import type { CallerRequest } from "../routing/CallerRequest.ts";
import { RequestOrigin } from "../routing/RequestOrigin.ts";
import type { Admission } from "../workspaces/Admission.ts";
import type { RequestAdmission } from "../workspaces/RequestAdmission.ts";
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

const admitted: Admission = {
  kind: "admitted",
  route: makeRoute(),
  workspace: undefined,
  hasWorkspaces: false,
  release: () => undefined,
};

/** Opens a caller server and a connection to it; the test settles each request, found by its path in `dispatched`. */
async function openConnection(
  t: ExecutionContext,
  limits: Partial<Limits> = {},
  hasConfig = true,
  admit: RequestAdmission["admit"] = () => Promise.resolve(admitted),
  memory = new MemoryAccount(),
) {
  const dispatched = new Map<
    string,
    { req: CallerRequest; settle: (out: ForwardResult) => void }
  >();
  const server = new CallerServer({
    originOf: () => RequestOrigin.Unknown,
    config: () =>
      hasConfig
        ? {
            version: 1,
            limits: Limits.parse(limits),
          }
        : undefined,
    waitForConfig: () => Promise.resolve(),
    admission: { admit },
    dispatcher: {
      dispatch: (_route, req) =>
        new Promise((settle) => {
          dispatched.set(req.path, { req, settle });
        }),
    },
    dialect: ownDialect,
    memory,
    metrics: new SidecarMetrics(),
    tracing: noTracing,
    clock: SystemClock,
    log: bunyan.createLogger({ name: "test", level: "fatal" }),
  });
  new OpenConnections(server.server);
  await new Promise<void>((resolve) => server.server.listen(0, "127.0.0.1", resolve));
  const socket = connect((server.server.address() as AddressInfo).port, "127.0.0.1");
  t.teardown(() => {
    socket.destroy();
    server.server.close();
    server.server.closeAllConnections();
  });
  let received = "";
  socket.on("data", (chunk: Buffer) => (received += chunk.toString("latin1")));
  socket.on("error", () => undefined);
  return { server, socket, dispatched, received: () => received };
}

/** Sends several requests without waiting for responses; resolves once all of them have been dispatched. */
async function pipeline(
  socket: Socket,
  dispatched: ReadonlyMap<string, unknown>,
  paths: readonly string[],
): Promise<void> {
  socket.write(paths.map((path) => `GET ${path} HTTP/1.1\r\nhost: a\r\n\r\n`).join(""));
  await eventually(() => paths.every((path) => dispatched.has(path)));
}

/** The bodies of the responses in `received`, in order; the status instead where it is not 200. */
const responsesIn = (received: string) =>
  received
    .split(/(?=HTTP\/1\.1 )/)
    .filter((part) => part !== "")
    .map((part) =>
      part.startsWith("HTTP/1.1 200") ? part.split("\r\n\r\n")[1] : part.slice(9, 12),
    );

const settlements: readonly {
  name: string;
  settled: readonly [path: string, out: ForwardResult][];
  want: readonly string[];
}[] = [
  {
    name: "the first one slower than those after it",
    settled: [
      ["/c", done("third")],
      ["/b", done("second")],
      ["/a", done("first")],
    ],
    want: ["first", "second", "third"],
  },
  {
    name: "the middle one refused",
    settled: [
      ["/b", notRun],
      ["/c", done("third")],
      ["/a", done("first")],
    ],
    want: ["first", "503", "third"],
  },
];

for (const { name, settled, want } of settlements) {
  test(`pipelined requests get their own responses, in the order of the requests: ${name}`, async (t) => {
    const { socket, dispatched, received } = await openConnection(t);
    await pipeline(socket, dispatched, ["/a", "/b", "/c"]);
    for (const [path, out] of settled) {
      dispatched.get(path)?.settle(out);
      await sleep(10);
    }
    await eventually(() => responsesIn(received()).length >= want.length);
    t.deepEqual(responsesIn(received()), [...want]);
  });
}

// A caller pipelines three requests and loses its connection. Node reports that only on the first
// response, so the other two requests continued and occupied slots although nobody could receive
// their responses.
test("a disconnect aborts every request that was pipelined on the connection", async (t) => {
  const { socket, dispatched } = await openConnection(t);
  await pipeline(socket, dispatched, ["/a", "/b", "/c"]);
  socket.destroy();
  const aborted = () =>
    ["/a", "/b", "/c"].map((path) => dispatched.get(path)?.req.disconnected.aborted);
  await eventually(() => aborted().every((isAborted) => isAborted));
  t.deepEqual(aborted(), [true, true, true]);
});

// A sidecar is stopped while a caller waits for three pipelined responses. The first response
// closed the connection, and the other two were lost although they were ready within the grace
// period of the stop.
test("a stop closes a connection only after the response to its last pipelined request", async (t) => {
  const { server, socket, dispatched, received } = await openConnection(t);
  await pipeline(socket, dispatched, ["/a", "/b", "/c"]);
  server.beginStop();
  for (const path of ["/a", "/b", "/c"]) {
    dispatched.get(path)?.settle(done(path));
    await sleep(20);
  }
  await eventually(() => socket.readableEnded);
  t.deepEqual(responsesIn(received()), ["/a", "/b", "/c"]);
  t.is(received().match(/connection: close/gi)?.length, 1);
  t.true(socket.readableEnded);
});

// Guards against downloads that were under way in a stop and are cut off by a request that their caller has sent later.
test("stop: a slow reader gets each of its pipelined downloads whole, also if it sends another request", async (t) => {
  const { server, socket, dispatched, received } = await openConnection(t);
  socket.pause();
  socket.write("GET /a HTTP/1.1\r\nhost: a\r\n\r\nHEAD /b HTTP/1.1\r\nhost: a\r\n\r\n");
  await pipeline(socket, dispatched, ["/c", "/d"]);
  server.beginStop();
  const download = done("x".repeat(DOWNLOAD_BYTES));
  const out = { ...download, headers: { "content-length": `${DOWNLOAD_BYTES}` } };
  for (const path of ["/c", "/b", "/a"]) {
    dispatched.get(path)?.settle(out);
    await sleep(20);
  }
  await eventually(() => server.openRequests.count === 1);
  dispatched.get("/d")?.settle(out);
  await eventually(() => server.openRequests.count === 0);
  socket.write("GET /e HTTP/1.1\r\nhost: a\r\n\r\n");
  await sleep(100);
  socket.resume();
  await eventually(() => socket.readableEnded || socket.closed);
  const lengths = responsesIn(received()).map((body) => body?.length);
  t.deepEqual(lengths, [DOWNLOAD_BYTES, 0, DOWNLOAD_BYTES, DOWNLOAD_BYTES]);
  t.false(dispatched.has("/e"));
});

/** Three of them fit into the kernel's send buffer, and not into the receive buffer of a caller that does not read. */
const DOWNLOAD_BYTES = 200_000;

/** More than the kernel buffers between two loopback sockets can hold: such a response takes as long as its caller reads. */
const LARGE_BYTES = 24 << 20;

/** Number of turns of the event loop in which pending input has been processed: more than `afterPendingInput` waits for. */
const PENDING_INPUT_TURNS = 20;

const largeResponses: readonly {
  name: string;
  body: () => Buffer | Readable;
  isUnread: boolean;
}[] = [
  { name: "buffered", body: () => Buffer.alloc(LARGE_BYTES, "x"), isUnread: true },
  {
    name: "streamed",
    body: () => new PassThrough().end(Buffer.alloc(LARGE_BYTES, "x")),
    isUnread: false,
  },
];

for (const { name, body, isUnread } of largeResponses) {
  // Guards against requests that are passed on to a target although their connection is closed before their responses.
  test(`stop: requests behind a large ${name} response that closes their connection are not dispatched`, async (t) => {
    const { server, socket, dispatched, received } = await openConnection(t);
    const connection = once(server.server, "connection") as Promise<[Socket]>;
    await pipeline(socket, dispatched, ["/a"]);
    const [serverSocket] = await connection;
    const bytesBefore = serverSocket.bytesRead;
    server.beginStop();
    socket.pause();
    const result = { ...done(""), body: body(), headers: { "content-length": `${LARGE_BYTES}` } };
    dispatched.get("/a")?.settle({ ...result, ended: Promise.resolve(AttemptOutcome.Ok) });
    await eventually(() => serverSocket.bytesWritten > 0);
    for (const path of ["/b", "/c"]) {
      socket.write(`GET ${path} HTTP/1.1\r\nhost: a\r\n\r\n`);
      await sleep(50);
    }
    const { bytesRead } = serverSocket;
    socket.resume();
    await eventually(() => socket.readableEnded || socket.closed);
    t.deepEqual([...dispatched.keys()], ["/a"]);
    t.is(responsesIn(received())[0]?.length, LARGE_BYTES);
    t.is(received().match(/connection: close/gi)?.length, 1);
    t.is(bytesRead === bytesBefore, isUnread, "not read while the response is being sent");
  });
}

// Guards against an upload that is passed on to a target and cut off by the close that a late head before it has caused.
test("a request after a head that was too late is not dispatched on the connection that is closed", async (t) => {
  const { server, socket, dispatched, received } = await openConnection(t);
  const connection = once(server.server, "connection") as Promise<[Socket]>;
  await pipeline(socket, dispatched, ["/a"]);
  const [serverSocket] = await connection;
  const err = Object.assign(new Error("timeout"), { code: "ERR_HTTP_REQUEST_TIMEOUT" });
  server.server.emit("clientError", err, serverSocket);
  for (let turn = 0; turn < PENDING_INPUT_TURNS; turn += 1) {
    await new Promise(setImmediate);
  }
  socket.write(`POST /b HTTP/1.1\r\nhost: a\r\ncontent-length: ${2 << 20}\r\n\r\nx`);
  await sleep(50);
  dispatched.get("/a")?.settle(done("first"));
  await eventually(() => socket.closed);
  t.deepEqual([...dispatched.keys()], ["/a"]);
  t.deepEqual(responsesIn(received()), ["first"]);
});

// The first of several pipelined responses is truncated, and the connection is closed so that the
// caller can see it. The caller treats the requests after it as not received and sends them again,
// so they must not continue here.
test("a truncated response aborts the requests that were pipelined after it", async (t) => {
  const { socket, dispatched, received } = await openConnection(t);
  await pipeline(socket, dispatched, ["/a", "/b"]);
  const body = new PassThrough();
  dispatched
    .get("/a")
    ?.settle({ ...done(""), body, ended: Promise.resolve(AttemptOutcome.Failed) });
  body.write("half of");
  await eventually(() => received().includes("half of"));
  body.destroy(new Error("cut short"));
  await eventually(() => dispatched.get("/b")?.req.disconnected.aborted === true);
  t.true(received().includes("half of"));
  t.true(dispatched.get("/b")?.req.disconnected.aborted);
});

const bodies: readonly {
  name: string;
  head: string;
  body: string;
  kind: "buffer" | "stream" | "none";
}[] = [
  {
    name: "of 300 KB",
    head: `content-length: 300000`,
    body: "x".repeat(300_000),
    kind: "buffer",
  },
  {
    name: "in chunks, without a declared length",
    head: "transfer-encoding: chunked",
    body: `7d0\r\n${"x".repeat(2000)}\r\n0\r\n\r\n`,
    kind: "buffer",
  },
  {
    name: "larger than the buffer limit",
    head: `content-length: ${2 << 20}`,
    body: "x".repeat(2 << 20),
    kind: "stream",
  },
  {
    name: "in chunks, larger than the buffer limit",
    head: "transfer-encoding: chunked",
    body: `200000\r\n${"x".repeat(0x20_0000)}\r\n0\r\n\r\n`,
    kind: "stream",
  },
  { name: "of length 0", head: "content-length: 0", body: "", kind: "none" },
];

// The first target refuses an upload of 300 KB without running it because it is full. The body had
// been streamed to that target and was lost, so the request failed although other targets had free
// slots.
for (const { name, head, body, kind } of bodies) {
  test(`a body ${name} is ${kind === "buffer" ? "buffered, so that it can be sent again" : kind === "stream" ? "streamed" : "absent"}`, async (t) => {
    const { socket, dispatched, received } = await openConnection(t);
    socket.write(`POST /a HTTP/1.1\r\nhost: a\r\n${head}\r\n\r\n${body}`);
    await eventually(() => dispatched.has("/a"));
    const request = dispatched.get("/a");
    const sent = request?.req.body;
    t.is(sent === undefined ? "none" : Buffer.isBuffer(sent) ? "buffer" : "stream", kind);
    const bytes = sent === undefined ? 0 : await byteCount(sent);
    t.is(bytes, body.replace(/^[0-9a-f]+\r\n|\r\n0\r\n\r\n$/g, "").length);
    request?.settle(done("taken"));
    await eventually(() => responsesIn(received()).length > 0);
    t.deepEqual(responsesIn(received()), ["taken"]);
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

test("a chunked body above the size limit is refused", async (t) => {
  const { socket, received } = await openConnection(t, { maxBodyBytes: 1000 });
  socket.write("POST /a HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n");
  socket.write(`7d0\r\n${"x".repeat(2000)}\r\n0\r\n\r\n`);
  await eventually(() => responsesIn(received()).length > 0);
  t.deepEqual(responsesIn(received()), ["413"]);
});

const malformed: readonly { name: string; bytes: string; status: string }[] = [
  { name: "a head that is not complete in time", bytes: "GET /b HT", status: "408" },
  { name: "bytes that are not HTTP", bytes: "what is this?\r\n\r\n", status: "400" },
];

for (const { name, bytes, status } of malformed) {
  test(`a request in progress does not get the refusal of ${name} after it`, async (t) => {
    const { server, socket, dispatched, received } = await openConnection(t);
    server.applyLimits(Limits.parse({ headerTimeoutMs: 100 }));
    await pipeline(socket, dispatched, ["/a"]);
    socket.write(bytes);
    await sleep(2500);
    t.is(received(), "", "nothing is written while the request is in progress");
    dispatched.get("/a")?.settle(done("first"));
    await eventually(() => socket.closed);
    t.deepEqual(responsesIn(received()), ["first"]);
  });

  test(`${name} gets status ${status} when no request is in progress`, async (t) => {
    const { server, socket, received } = await openConnection(t);
    server.applyLimits(Limits.parse({ headerTimeoutMs: 100 }));
    socket.write(bytes);
    await eventually(() => socket.closed);
    t.deepEqual(responsesIn(received()), [status]);
  });
}

test("a malformed chunked body closes the connection only after the responses to earlier requests", async (t) => {
  const { socket, dispatched, received } = await openConnection(t);
  await pipeline(socket, dispatched, ["/a"]);
  socket.write("POST /b HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\nno length\r\n");
  await sleep(100);
  t.is(received(), "");
  dispatched.get("/a")?.settle(done("first"));
  await eventually(() => socket.closed);
  t.deepEqual(responsesIn(received()), ["first"]);
});

const withoutConfig = [
  { name: "no key", headers: "", verdict: "not-run", status: "503" },
  // Guards against a resend that is refused as not run by a sidecar that cannot look up the earlier attempt.
  {
    name: "an idempotency key",
    headers: "idempotency-key: k\r\n",
    verdict: "may-have-run",
    status: "502",
  },
];

for (const { name, headers, verdict, status } of withoutConfig) {
  test(`caller server without a document, request with ${name}: ${verdict}`, async (t) => {
    const { socket, received } = await openConnection(t, {}, false);
    socket.write(`POST /a HTTP/1.1\r\nhost: a\r\n${headers}content-length: 0\r\n\r\n`);
    await eventually(() => received().includes("\r\n\r\n"));
    t.regex(received(), new RegExp(`^HTTP/1.1 ${status}`));
    t.regex(received(), new RegExp(`x-burdockpass-verdict: ${verdict}\r\n`));
  });
}

const lateHeads = [
  { name: "whose rest has arrived is served", rest: "\r\n", isServed: true },
  { name: "of which nothing more has arrived is refused", rest: "", isServed: false },
];

for (const { name, rest, isServed } of lateHeads) {
  // Guards against a 408 for a request that arrived in time, after a pause of the process.
  test(`caller server: a request head that is late and ${name}`, async (t) => {
    const { server, socket, dispatched, received } = await openConnection(t);
    const connection = once(server.server, "connection") as Promise<[Socket]>;
    socket.write("GET /late HTTP/1.1\r\nhost: a\r\n");
    const [serverSocket] = await connection;
    await eventually(() => serverSocket.bytesRead > 0);
    socket.write(rest);
    const err = Object.assign(new Error("timeout"), { code: "ERR_HTTP_REQUEST_TIMEOUT" });
    server.server.emit("clientError", err, serverSocket);
    await eventually(() => dispatched.has("/late") || received() !== "");
    t.deepEqual(
      [dispatched.has("/late"), received().slice(0, 12)],
      [isServed, isServed ? "" : "HTTP/1.1 408"],
    );
  });
}

const refusals: readonly { status: number; more: string; expected: readonly RegExp[] }[] = [
  { status: 401, more: "", expected: [/^HTTP\/1.1 401 /, /^www-authenticate: Bearer\r$/im] },
  { status: 429, more: "", expected: [/^HTTP\/1.1 429 /, /^retry-after: 2\r$/im] },
  // An earlier attempt with the key may have run, so "not run" is not known to be true.
  { status: 429, more: "idempotency-key: k\r\n", expected: [/^HTTP\/1.1 502 /, /may-have-run/] },
];

for (const { status, more, expected } of refusals) {
  test(`a refusal with ${status} ${more}leaves its connection usable while the body still arrives`, async (t) => {
    const refusal = {
      kind: "refused",
      status,
      reason: "x",
      retryAfterMs: 2000,
      documentAgeMs: 9,
    } as const;
    const { socket, dispatched, received } = await openConnection(t, {}, true, ({ path }) =>
      Promise.resolve(path === "/refused" ? { ...refusal, route: undefined } : admitted),
    );
    socket.write(`POST /refused HTTP/1.1\r\nhost: a\r\n${more}content-length: 90000\r\n\r\n`);
    socket.write("x".repeat(1000));
    await eventually(() => received().includes("HTTP/1.1"));
    socket.write("x".repeat(89_000));
    await pipeline(socket, dispatched, ["/next"]);
    dispatched.get("/next")?.settle(done("next"));
    await eventually(() => responsesIn(received()).length === 2);
    expected.forEach((part) => {
      t.regex(received(), part);
    });
    t.is(responsesIn(received())[1], "next");
  });
}

test("targets are sent neither the caller's credentials nor the workspace that it claims", async (t) => {
  const workspace = WorkspaceName("lab");
  const { socket, dispatched } = await openConnection(t, {}, true, () =>
    Promise.resolve({ ...admitted, workspace, hasWorkspaces: true }),
  );
  const claims = "Authorization: Bearer k\r\nX-Burdockpass-Workspace: other\r\nx-kept: 1\r\n";
  socket.write(`GET /a HTTP/1.1\r\nhost: a\r\n${claims}\r\n`);
  await eventually(() => dispatched.has("/a"));
  const req = dispatched.get("/a")?.req;
  t.deepEqual(req?.headers, ["host", "a", "x-kept", "1"]);
  t.is(req?.workspace, workspace);
});

const mayHaveRun: ForwardResult = {
  verdict: {
    kind: "may-have-run",
    target: TargetId("x"),
    reason: "lost",
    timedOut: false,
    retryAfterMs: 0,
  },
  outcome: AttemptOutcome.NoResponse,
};

const credits: readonly { name: string; body: string; out?: ForwardResult; released: number }[] = [
  { name: "has run", body: "", out: done("x"), released: 0 },
  { name: "may have run", body: "", out: mayHaveRun, released: 0 },
  { name: "has not run", body: "", out: notRun, released: 1 },
  { name: "is too large", body: "xx", released: 1 },
];

for (const { name, body, out, released } of credits) {
  test(`the credit of a request that ${name} is returned ${released} times`, async (t) => {
    let releases = 0;
    const release = () => (releases += 1);
    const { socket, dispatched, received } = await openConnection(
      t,
      { maxBodyBytes: 1 },
      true,
      () => Promise.resolve({ ...admitted, release }),
    );
    socket.write(`POST /a HTTP/1.1\r\nhost: a\r\ncontent-length: ${body.length}\r\n\r\n${body}`);
    if (out) {
      await eventually(() => dispatched.has("/a"));
      dispatched.get("/a")?.settle(out);
    }
    await eventually(() => received().includes("HTTP/1.1"));
    t.is(releases, released);
  });
}

/** Within the limit on buffered bodies. */
const LATE_UPLOAD_BYTES = 900_000;

const sized = (maxRequestBytes: number): Admission => ({
  ...admitted,
  route: makeRoute({ service: makeService({ maxRequestBytes }), timeoutMs: 300 }),
});

/** Requests that are refused before they are dispatched, each with the head and body that its caller has sent so far. */
const earlyRefusals: readonly { name: string; sent: string; heldBytes?: number; status: string }[] =
  [
    // Otherwise a caller could hold a buffer for as long as it sends one byte now and then.
    {
      name: "a body that has not arrived by the deadline",
      sent: "content-length: 9\r\n\r\nx",
      status: "408",
    },
    {
      name: "a body that no target can hold",
      sent: "content-length: 11\r\n\r\n01234567890",
      status: "413",
    },
    { name: "near the memory limit", sent: "\r\n", heldBytes: 76, status: "503" },
  ];

for (const { name, sent, heldBytes = 0, status } of earlyRefusals) {
  test(`caller server: refused as not run: ${name}`, async (t) => {
    const memory = new MemoryAccount({ maxHeldBytes: () => 100 });
    const held = memory.hold(MemoryHolder.SlowCallers, heldBytes);
    const admit = () => Promise.resolve(sized(10));
    const { socket, dispatched, received } = await openConnection(t, {}, true, admit, memory);
    socket.write(`POST /a HTTP/1.1\r\nhost: a\r\n${sent}`);
    await eventually(() => responsesIn(received()).length > 0);
    t.deepEqual(responsesIn(received()), [status]);
    t.true(received().includes('"not-run"'));
    t.is(dispatched.size, 0);
    held.release();
    await eventually(() => Object.values(memory.heldBytes).every((bytes) => bytes === 0));
    t.true(Object.values(memory.heldBytes).every((bytes) => bytes === 0));
  });
}

// Guards against a reset that discards the refusal of a late upload while its caller goes on sending.
test("caller server: a refusal of a late upload reaches a caller that reads it after its upload", async (t) => {
  const admit = () => Promise.resolve(sized(LATE_UPLOAD_BYTES));
  const { server, socket, received } = await openConnection(t, {}, true, admit);
  const connection = once(server.server, "connection") as Promise<[Socket]>;
  socket.pause();
  socket.write(`POST /a HTTP/1.1\r\nhost: a\r\ncontent-length: ${LATE_UPLOAD_BYTES}\r\n\r\n`);
  const [serverSocket] = await connection;
  await eventually(() => serverSocket.bytesWritten > 0);
  await sleep(50);
  for (let part = 0; part < 3; part += 1) {
    socket.write("x".repeat(LATE_UPLOAD_BYTES / 3));
    await sleep(20);
  }
  t.is(socket.errored, null);
  socket.resume();
  await eventually(() => socket.closed);
  t.deepEqual(responsesIn(received()), ["408"]);
});

test("caller server: a ready response is delivered over the memory limit, and counted until it is sent", async (t) => {
  const memory = new MemoryAccount({ maxHeldBytes: () => 100 });
  const { socket, dispatched, received } = await openConnection(t, {}, true, undefined, memory);
  await pipeline(socket, dispatched, ["/a"]);
  const others = memory.hold(MemoryHolder.SlowSidecars, 200);
  dispatched.get("/a")?.settle(done("ready"));
  await eventually(() => responsesIn(received()).length > 0);
  t.deepEqual(responsesIn(received()), ["ready"]);
  others.release();
  await eventually(() => memory.heldBytes[MemoryHolder.SlowCallers] === 0);
  t.is(memory.heldBytes[MemoryHolder.SlowCallers], 0);
});

// Guards against bytes of responses that are counted for good, until the sidecar refuses all requests at its memory limit.
test("caller server: a response behind an unfinished one isn't counted after its caller has disconnected", async (t) => {
  const memory = new MemoryAccount({ maxHeldBytes: () => 100 });
  const { server, socket, dispatched } = await openConnection(t, {}, true, undefined, memory);
  await pipeline(socket, dispatched, ["/a", "/b", "/c"]);
  dispatched.get("/b")?.settle(done("ready"));
  await eventually(() => memory.heldBytes[MemoryHolder.SlowCallers] === "ready".length);
  socket.destroy();
  await eventually(() => dispatched.get("/a")?.req.disconnected.aborted === true);
  dispatched.get("/a")?.settle(notRun);
  dispatched.get("/c")?.settle(done("late"));
  await sleep(50);
  t.deepEqual([memory.heldBytes[MemoryHolder.SlowCallers], server.openRequests.count], [0, 0]);
});

for (const { version, length } of [
  { version: "1.0", length: undefined },
  { version: "1.0", length: "100" },
  { version: "1.1", length: undefined },
  { version: "1.1", length: "100" },
]) {
  const framing = length === undefined ? "without a length" : "with a length";
  test(`caller server: a streamed body ${framing} that is cut short does not look whole to HTTP/${version}`, async (t) => {
    // Guards against bodies that end with their connection, whose orderly close reads as their end.
    const { socket, dispatched, received } = await openConnection(t);
    let isReset = false;
    socket.once("error", () => (isReset = true));
    socket.write(`GET /a HTTP/${version}\r\nhost: a\r\n\r\n`);
    await eventually(() => dispatched.has("/a"));
    const body = new PassThrough();
    const headers = length === undefined ? {} : { "content-length": length };
    dispatched
      .get("/a")
      ?.settle({ ...done(""), headers, body, ended: Promise.resolve(AttemptOutcome.Ok) });
    body.write("the first part");
    await eventually(() => received().includes("the first part"));
    body.destroy(new Error("cut short"));
    await eventually(() => socket.closed);
    const isFramed = length !== undefined || /transfer-encoding: chunked/i.test(received());
    t.false(received().endsWith("0\r\n\r\n"));
    t.true(isFramed || isReset);
  });
}
