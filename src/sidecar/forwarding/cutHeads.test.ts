import type { Socket } from "node:net";
import test from "ava";
import { makeTarget } from "../../../test/fixtures/makeTarget.ts";
import { RawTarget } from "../../../test/fixtures/RawTarget.ts";
import { AttemptId } from "../../common/ids/AttemptId.ts";
import { SystemClock } from "../../common/lifecycle/SystemClock.ts";
import { ownDialect } from "../dialect/ownDialect.ts";
import { TargetSender } from "./TargetSender.ts";

/** Targets echo the attempt id in this header, so that a response can be matched to its request. */
const ECHO = "x-echo";

const framed = (id: string) => `${ECHO}: ${id}\r\ncontent-length: 12\r\n`;

const heads: readonly { name: string; head: (id: string) => string; method?: string }[] = [
  { name: "with a length", head: (id) => `HTTP/1.1 200 OK\r\n${framed(id)}\r\n` },
  {
    name: "with the length first",
    head: (id) => `HTTP/1.1 200 OK\r\nContent-Length: 0\r\n${ECHO}: ${id}\r\n\r\n`,
  },
  {
    name: "of a chunked body",
    head: (id) => `HTTP/1.1 200 OK\r\n${ECHO}: ${id}\r\ntransfer-encoding: chunked\r\n\r\n`,
  },
  {
    name: "of a body without a length",
    head: (id) => `HTTP/1.1 200 OK\r\n${ECHO}: ${id}\r\nconnection: close\r\n\r\n`,
  },
  {
    name: "after an interim response",
    head: (id) => `HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\n${framed(id)}\r\n`,
  },
  {
    name: "after an interim response with headers",
    head: (id) =>
      `HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\nHTTP/1.1 200 OK\r\n${framed(id)}\r\n`,
  },
  {
    name: "with trailers announced",
    head: (id) => `HTTP/1.1 200 OK\r\ntrailer: x-t\r\n${framed(id)}\r\n`,
  },
  {
    name: "of a download",
    head: (id) => `HTTP/1.1 200 OK\r\n${ECHO}: ${id}\r\ncontent-length: 2000000\r\n\r\n`,
  },
  {
    name: "with bare line feeds",
    head: (id) => `HTTP/1.1 200 OK\n${ECHO}: ${id}\ncontent-length: 12\n\n`,
  },
  {
    name: "with a folded line",
    head: (id) => `HTTP/1.1 200 OK\r\nx-long: a\r\n b\r\n${framed(id)}\r\n`,
  },
  { name: "of HTTP/1.0", head: (id) => `HTTP/1.0 200 OK\r\n${framed(id)}\r\n` },
  {
    name: "of a response to HEAD",
    head: (id) => `HTTP/1.1 200 OK\r\n${framed(id)}\r\n`,
    method: "HEAD",
  },
  { name: "with status 204", head: (id) => `HTTP/1.1 204 No Content\r\n${ECHO}: ${id}\r\n\r\n` },
  { name: "with status 304", head: (id) => `HTTP/1.1 304 Not Modified\r\n${framed(id)}\r\n` },
];

/** How a target ends a connection after a part of a head. */
const ends: Readonly<Record<string, (socket: Socket, part: string) => void>> = {
  "closed at once": (socket, part) => {
    socket.end(part);
  },
  "closed after a pause": (socket, part) => {
    socket.write(part);
    setTimeout(() => socket.end(), 20);
  },
  reset: (socket, part) => {
    socket.write(part, () => {
      socket.resetAndDestroy();
    });
  },
};

for (const { name, head, method = "GET" } of heads) {
  for (const [how, end] of Object.entries(ends)) {
    for (const isReused of [false, true]) {
      const connection = isReused ? "a reused" : "a new";
      test(`target sender: a head ${name}, cut off at any byte and ${how} on ${connection} connection: no response`, async (t) => {
        // Guards against responses that are framed as whole although their target has not completed their head.
        const length = head("a1").length;
        const cuts = Array.from({ length: length - 1 }, (_, n) => n + 1);
        const verdicts = await Promise.all(
          cuts.map(async (cut) => {
            const target = new RawTarget((socket, sent, n) => {
              const id = /x-echo: (\S+)/i.exec(sent)?.[1] ?? "none";
              if (isReused && n === 1) {
                socket.write(`HTTP/1.1 200 OK\r\n${ECHO}: ${id}\r\ncontent-length: 2\r\n\r\nok`);
              } else {
                end(socket, head(id).slice(0, cut));
              }
            });
            const url = await target.start();
            const sender = new TargetSender({ dialect: ownDialect, clock: SystemClock, via: "s1" });
            const send = (attempt: string, sentMethod: string) =>
              sender.send(makeTarget("t", { url }), {
                method: sentMethod,
                path: "/x",
                headers: ["Host", "desk.example"],
                body: undefined,
                metadata: {
                  attempt: AttemptId(attempt),
                  target: makeTarget("t").id,
                  callerService: "",
                  echoHeader: ECHO,
                },
                deadlineAt: SystemClock.now() + 20_000,
                idempotent: false,
              });
            if (isReused) {
              await send("a0", "GET");
            }
            const { verdict } = await send("a1", method);
            sender.dispose();
            target.stop();
            return { cut, kind: verdict.kind };
          }),
        );
        t.deepEqual(
          verdicts.filter(({ kind }) => kind !== "may-have-run"),
          [],
        );
      });
    }
  }
}
