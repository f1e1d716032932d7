import type { Socket } from "node:net";
import test from "ava";
import { RawTarget } from "../test/fixtures/RawTarget.ts";
import { sendPipelined } from "./sendPipelined.ts";

const response = (body: string, extra = "") =>
  `HTTP/1.1 200 OK\r\ncontent-length: ${body.length}\r\n${extra}\r\n${body}`;

const requests = ["/a", "/b", "/c"].map((path) => ({ path, headers: {} }));

const cases: readonly {
  name: string;
  behave: (socket: Socket, n: number) => void;
  bodies: readonly string[];
  gapMs?: number;
  hadBegun?: boolean;
  hasTimedOut?: boolean;
}[] = [
  {
    name: "every request is answered, whatever the pieces",
    behave: (s, n) => {
      for (const piece of response(`body ${n}`).match(/[^]{1,7}/g) ?? []) {
        s.write(piece);
      }
    },
    bodies: ["body 1", "body 2", "body 3"],
  },
  {
    name: "chunked responses are answered whole, whatever the pieces",
    behave: (s, n) => {
      const text = `HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nbody \r\n1\r\n${n}\r\n0\r\n\r\n`;
      for (const piece of text.match(/[^]{1,7}/g) ?? []) {
        s.write(piece);
      }
    },
    bodies: ["body 1", "body 2", "body 3"],
  },
  {
    name: "requests written at intervals are answered",
    behave: (s, n) => {
      s.write(response(`body ${n}`));
    },
    gapMs: 20,
    bodies: ["body 1", "body 2", "body 3"],
  },
  {
    name: "the second response closes the connection",
    behave: (s, n) => {
      if (n < 3) {
        s.write(response(`body ${n}`, n === 2 ? "connection: close\r\n" : ""));
      }
    },
    bodies: ["body 1", "body 2"],
  },
  {
    name: "the connection ends within the second response",
    behave: (s, n) => {
      if (n < 3) {
        s.write(response(`body ${n}`).slice(0, n === 2 ? 30 : undefined));
      } else {
        s.end();
      }
    },
    bodies: ["body 1"],
    hadBegun: true,
  },
  {
    name: "nothing is answered in time",
    behave: () => undefined,
    bodies: [],
    hasTimedOut: true,
  },
];

for (const { name, behave, gapMs, bodies, hadBegun = false, hasTimedOut = false } of cases) {
  test(`pipelined requests: ${name}`, async (t) => {
    const target = new RawTarget((socket, _head, n) => {
      behave(socket, n);
    });
    const port = Number(new URL(await target.start()).port);
    const result = await sendPipelined(port, requests, 300, () => 7, { gapMs, pauseMs: gapMs });
    target.stop();
    t.deepEqual(
      result.responses.map((r) => r.body),
      bodies,
    );
    t.deepEqual([result.sentAt, result.hadBegun, result.hasTimedOut], [7, hadBegun, hasTimedOut]);
    t.is(target.heads.length, 3, "all requests are sent without waiting for responses");
  });
}

test("pipelined requests: without a connection none is sent", async (t) => {
  const result = await sendPipelined(9, requests, 300, () => 7);
  t.deepEqual([result.sentAt, result.responses], [undefined, []]);
});
