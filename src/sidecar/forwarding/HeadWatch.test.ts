import type { Socket } from "node:net";
import test from "ava";
import { makeTarget } from "../../../test/fixtures/makeTarget.ts";
import { RawTarget } from "../../../test/fixtures/RawTarget.ts";
import { AttemptId } from "../../common/ids/AttemptId.ts";
import { SystemClock } from "../../common/lifecycle/SystemClock.ts";
import { ownDialect } from "../dialect/ownDialect.ts";
import { TargetSender } from "./TargetSender.ts";

/** Writes `unit` again and again, as fast as the other side reads, until it closes the connection. */
function flood(socket: Socket, unit: string): void {
  const block = unit.repeat(Math.ceil(20_000 / unit.length));
  const next = () => {
    if (!socket.destroyed) {
      socket.write(block, () => setImmediate(next));
    }
  };
  next();
}

/** Writes `text` one byte at a time. */
function trickle(socket: Socket, text: string): void {
  text.split("").forEach((byte, n) => setTimeout(() => socket.write(byte), n * 30));
}

/** Time that the target is given, ms. */
const DEADLINE_MS = 8000;

const OK = "HTTP/1.1 200 OK\r\n";

/** What the target sends, whether the request may be repeated, and what becomes of it. */
const cases: readonly {
  name: string;
  send: (socket: Socket) => void;
  idempotent?: boolean;
  verdict: "done" | "may-have-run";
  /** Part of the limit that is named; undefined if none is exceeded. */
  limit?: string;
}[] = [
  {
    name: "endless interim responses",
    send: (s) => {
      flood(s, "HTTP/1.1 103 Early Hints\r\n\r\n");
    },
    verdict: "may-have-run",
    limit: "interim responses",
  },
  {
    name: "endless empty lines",
    send: (s) => {
      flood(s, "\r\n");
    },
    verdict: "may-have-run",
    limit: "bytes before the response",
  },
  {
    name: "endless headers",
    send: (s) => {
      s.write(OK);
      flood(s, "x-a: b\r\n");
    },
    verdict: "may-have-run",
    limit: "64 KB",
  },
  {
    name: "a head that arrives one byte at a time",
    send: (s) => {
      trickle(s, OK + "x-a: b\r\n".repeat(100));
    },
    verdict: "may-have-run",
    limit: "ms for a head",
  },
  {
    // Closing the connection early would only leave the outcome of the run unknown.
    name: "a slow head of a request that must not be repeated",
    send: (s) => {
      trickle(s, `${OK}content-length: 0\r\n\r\n`);
    },
    idempotent: false,
    verdict: "done",
  },
  {
    name: "fifty interim responses before a response",
    send: (s) => {
      s.write(`${"HTTP/1.1 103 Early Hints\r\n\r\n".repeat(50)}${OK}content-length: 0\r\n\r\n`);
    },
    verdict: "done",
  },
];

for (const { name, send, idempotent = true, verdict, limit } of cases) {
  test(`head watch: ${name}`, async (t) => {
    const raw = new RawTarget(send);
    const target = makeTarget("t", { url: await raw.start() });
    let exceeded: string | undefined;
    const sender = new TargetSender({
      dialect: ownDialect,
      clock: SystemClock,
      via: "",
      onLimitExceeded: (_target, _req, named) => (exceeded = named),
    });
    const startedAt = SystemClock.now();
    const result = await sender.send(target, {
      method: "GET",
      path: "/",
      headers: [],
      body: undefined,
      metadata: {
        attempt: AttemptId("a"),
        target: target.id,
        callerService: "",
        echoHeader: undefined,
      },
      deadlineAt: startedAt + DEADLINE_MS,
      idempotent,
    });
    t.is(result.verdict.kind, verdict);
    t.true(limit === undefined ? exceeded === undefined : exceeded?.includes(limit));
    // Guards against a limit that takes effect only at the deadline.
    t.true(SystemClock.now() < startedAt + DEADLINE_MS);
    sender.dispose();
    raw.stop();
  });
}
