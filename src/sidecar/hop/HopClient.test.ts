import { createServer, type AddressInfo, type Server, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import test from "ava";
import { AttemptId } from "../../common/ids/AttemptId.ts";
import { GrantId } from "../../common/ids/GrantId.ts";
import { TargetId } from "../../common/ids/TargetId.ts";
import { GrantExpiredError } from "./GrantExpiredError.ts";
import { HOP } from "./HOP.ts";
import { HopClient } from "./HopClient.ts";
import type { HopRequest } from "./HopRequest.ts";
import { NotSentError } from "./NotSentError.ts";

const req: HopRequest = {
  attempt: AttemptId("a1"),
  target: TargetId("t1"),
  grant: GrantId("b.1"),
  method: "GET",
  path: "/",
  headers: [],
  body: undefined,
  bodyLength: undefined,
  remainingMs: 5000,
  callerService: "desk",
  idempotent: true,
  echoHeader: undefined,
};

/** Time within which a part that has arrived is signalled, also on a busy machine, ms. */
const SIGNAL_TIMEOUT_MS = 5000;

/** Starts a server that passes connections to `onConnection`; without it, nothing listens at the returned address. */
async function listen(onConnection?: (socket: Socket) => void): Promise<[string, Server]> {
  const server = createServer(onConnection ?? (() => undefined));
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  if (!onConnection) {
    await new Promise((resolve) => server.close(resolve));
  }
  return [address, server];
}

function closeOnFirstData(socket: Socket): void {
  socket.once("data", () => socket.destroy());
}

const cases = [
  {
    name: "a refused connection is reported as not sent, so that the request can go to another target",
    open: () => listen(),
    isSent: false,
  },
  {
    name: "a request whose connection is closed after it was read is not reported as not sent, as it may have run",
    open: () => listen(closeOnFirstData),
    isSent: true,
  },
];

for (const { name, open, isSent } of cases) {
  test(`hop client: ${name}`, async (t) => {
    const [address, server] = await open();
    const client = new HopClient({
      requestSlot: () => ({ result: new Promise(() => undefined), cancel: () => undefined }),
    });
    const err = await t.throwsAsync(client.run(address, req, () => undefined).result);
    t.is(err instanceof NotSentError, !isSent, err.message);
    await client.dispose();
    server.close();
  });
}

const grantCases = [
  // Guards against a booking with an unknown outcome: written to a connection whose other end has gone meanwhile.
  { name: "that expires while its connection is opened", ttlMs: 50, isSent: false },
  { name: "that is valid when its connection is open", ttlMs: 5000, isSent: true },
];

for (const { name, ttlMs, isSent } of grantCases) {
  test(`hop client: a request with a grant ${name} is ${isSent ? "" : "not "}sent`, async (t) => {
    let received = "";
    const [address, server] = await listen((socket) => {
      socket.on("data", (chunk: Buffer) => (received += chunk.toString()));
    });
    const client = new HopClient({
      requestSlot: () => ({ result: new Promise(() => undefined), cancel: () => undefined }),
    });
    const usableUntil = performance.now() + ttlMs;
    const isGrantExpired = () => performance.now() >= usableUntil;
    const call = client.run(address, { ...req, isGrantExpired }, () => undefined);
    const outcome = call.result.catch((err: unknown) => err);
    const blockedUntil = performance.now() + 100;
    while (performance.now() < blockedUntil) {
      // The kernel opens the connection meanwhile.
    }
    const waited = new Promise((resolve) => setTimeout(resolve, 200, "sent"));
    const first = await Promise.race([outcome, waited]);
    t.is(first instanceof GrantExpiredError, !isSent);
    t.is(received !== "", isSent);
    call.cancel();
    await client.dispose();
    server.close();
  });
}

test("hop client: signals that a response is alive while its body arrives", async (t) => {
  // Guards against lookups that are abandoned, and bookings that are fetched again, as their responses take long to arrive.
  const parts = 5;
  let sendPart: () => void = () => undefined;
  const [address, server] = await listen((socket) => {
    socket.on("error", () => undefined);
    sendPart = () => socket.write("x");
    socket.once("data", () => {
      const verdict = `${HOP.verdict}: done\r\n${HOP.outcome}: ok\r\n`;
      socket.write(`HTTP/1.1 200 OK\r\n${verdict}content-length: ${parts}\r\n\r\n`);
      sendPart();
    });
  });
  const client = new HopClient({
    requestSlot: () => ({ result: new Promise(() => undefined), cancel: () => undefined }),
  });
  t.teardown(async () => {
    await client.dispose();
    server.close();
  });
  let signals = 0;
  const call = client.run(address, req, () => {
    signals += 1;
    if (signals < parts) {
      sendPart();
    }
  });
  const result = await Promise.race([call.result, sleep(SIGNAL_TIMEOUT_MS, undefined)]);
  t.is(result?.verdict.kind, "done", `${signals} signals`);
});
