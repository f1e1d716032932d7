import { PassThrough } from "node:stream";
import type { Socket } from "node:net";
import test from "ava";
import { blockEventLoop } from "../../../test/fixtures/blockEventLoop.ts";
import { eventually } from "../../../test/fixtures/eventually.ts";
import { makeTarget } from "../../../test/fixtures/makeTarget.ts";
import { RawTarget } from "../../../test/fixtures/RawTarget.ts";
import { AttemptId } from "../../common/ids/AttemptId.ts";
import { SystemClock } from "../../common/lifecycle/SystemClock.ts";
import { AttemptOutcome } from "../detection/AttemptOutcome.ts";
import { ownDialect } from "../dialect/ownDialect.ts";
import type { ForwardResult } from "./ForwardResult.ts";
import type { TargetRequest } from "./TargetRequest.ts";
import { TargetSender } from "./TargetSender.ts";

/** Targets echo the attempt id in this header, so that a response can be matched to its request. */
const ECHO = "x-echo";

const echoOf = (head: string) => /x-echo: (\S+)/i.exec(head)?.[1] ?? "none";

const response = (id: string, body: string, extraHeaders = "") =>
  `HTTP/1.1 200 OK\r\n${ECHO}: ${id}\r\ncontent-length: ${body.length}\r\n${extraHeaders}\r\n${body}`;

const request = (attempt: string, overrides: Partial<TargetRequest> = {}): TargetRequest => ({
  method: "GET",
  path: "/x",
  headers: ["Host", "desk.example"],
  body: undefined,
  metadata: {
    attempt: AttemptId(attempt),
    target: makeTarget("t").id,
    callerService: "",
    echoHeader: ECHO,
  },
  deadlineAt: SystemClock.now() + 500,
  idempotent: true,
  ...overrides,
});

async function withTarget<T>(
  behave: ConstructorParameters<typeof RawTarget>[0],
  body: (send: (req: TargetRequest) => Promise<ForwardResult>, target: RawTarget) => Promise<T>,
): Promise<T> {
  const raw = new RawTarget(behave);
  const target = makeTarget("t", { url: await raw.start() });
  const sender = new TargetSender({ dialect: ownDialect, clock: SystemClock, via: "s1" });
  try {
    return await body((req) => sender.send(target, req), raw);
  } finally {
    sender.dispose();
    raw.stop();
  }
}

const responseBodyOf = (result: ForwardResult) =>
  "body" in result && Buffer.isBuffer(result.body) ? result.body.toString() : undefined;

/** Closes a connection with a reset, as a crash of the target does. */
const reset = (socket: Socket) => {
  socket.resetAndDestroy();
};

const cases: readonly {
  name: string;
  behave: (socket: Socket, head: string) => void;
  verdict: ForwardResult["verdict"]["kind"];
  outcome: AttemptOutcome;
  body?: string;
  /** Time that the target is given, ms. */
  timeoutMs?: number;
}[] = [
  {
    name: "a complete response",
    behave: (s, head) => s.write(response(echoOf(head), "whole")),
    verdict: "done",
    outcome: AttemptOutcome.Ok,
    body: "whole",
  },
  {
    name: "a response without a length that ends with its connection",
    behave: (s, head) => s.end(`HTTP/1.1 200 OK\r\n${ECHO}: ${echoOf(head)}\r\n\r\nto the end`),
    verdict: "done",
    outcome: AttemptOutcome.Ok,
    body: "to the end",
  },
  {
    // The target crashes while it sends a response without a length. The bytes received so far look like a complete
    // response unless the reset is detected.
    name: "a response without a length whose connection is reset",
    behave: (s, head) => {
      s.write(`HTTP/1.1 200 OK\r\n${ECHO}: ${echoOf(head)}\r\n\r\nhalf of`);
      setTimeout(() => {
        reset(s);
      }, 30);
    },
    verdict: "may-have-run",
    outcome: AttemptOutcome.InvalidResponse,
  },
  {
    // The same, with the reset directly after the bytes: the event loop receives both at once, and reports only an end
    // of the stream.
    name: "a response without a length, immediately followed by a reset",
    behave: (s, head) => {
      s.write(`HTTP/1.1 200 OK\r\n${ECHO}: ${echoOf(head)}\r\n\r\nhalf of`, () => {
        reset(s);
      });
    },
    verdict: "may-have-run",
    outcome: AttemptOutcome.InvalidResponse,
  },
  {
    name: "a response truncated by a close",
    behave: (s, head) => s.end(response(echoOf(head), "whole").slice(0, -2)),
    verdict: "may-have-run",
    outcome: AttemptOutcome.InvalidResponse,
  },
  {
    name: "a reset before any response",
    behave: (s) => {
      reset(s);
    },
    verdict: "may-have-run",
    outcome: AttemptOutcome.NoResponse,
  },
  {
    name: "an immediate gateway timeout",
    behave: (s, head) => s.write(response(echoOf(head), "slow").replace("200 OK", "504 Late")),
    verdict: "done",
    outcome: AttemptOutcome.Failed,
    body: "slow",
  },
  {
    // A route allows less time than its runs take, and the target responds with 504 at the deadline. When such
    // responses counted as failures, healthy targets were ejected.
    name: "a gateway timeout at the deadline",
    behave: (s, head) => {
      setTimeout(() => s.write(response(echoOf(head), "late").replace("200 OK", "504 Late")), 1850);
    },
    timeoutMs: 2000,
    verdict: "done",
    outcome: AttemptOutcome.TimedOut,
    body: "late",
  },
  {
    name: "bytes that are not an HTTP response",
    behave: (s) => s.write("what is this?\r\n\r\n"),
    verdict: "may-have-run",
    outcome: AttemptOutcome.InvalidResponse,
  },
  {
    name: "the response to another request",
    behave: (s) => s.write(response("other", "not yours")),
    verdict: "may-have-run",
    outcome: AttemptOutcome.InvalidResponse,
  },
  {
    name: "a second response directly after the first",
    behave: (s, head) => s.write(response(echoOf(head), "first") + response("other", "second")),
    verdict: "done",
    outcome: AttemptOutcome.Ok,
    body: "first",
  },
  {
    name: "an error response of the target",
    behave: (s, head) => s.write(response(echoOf(head), "sorry").replace("200 OK", "500 No")),
    verdict: "done",
    outcome: AttemptOutcome.Failed,
    body: "sorry",
  },
  {
    name: "a response that says the request was not run",
    behave: (s) => s.write("HTTP/1.1 503 Full\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n"),
    verdict: "not-run",
    outcome: AttemptOutcome.Shed,
  },
  {
    name: "the refusal of another request",
    behave: (s) =>
      s.write(`HTTP/1.1 503 Full\r\n${ECHO}: other\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n`),
    verdict: "may-have-run",
    outcome: AttemptOutcome.InvalidResponse,
  },
  {
    name: "no response by the deadline",
    behave: () => undefined,
    verdict: "may-have-run",
    outcome: AttemptOutcome.TimedOut,
  },
];

for (const c of cases) {
  test(`target sender: ${c.name}: ${c.verdict}`, async (t) => {
    await withTarget(c.behave, async (send) => {
      const deadlineAt = SystemClock.now() + (c.timeoutMs ?? 500);
      const result = await send(request("a1", { deadlineAt }));
      t.is(result.verdict.kind, c.verdict);
      t.is(result.outcome, c.outcome);
      t.is(responseBodyOf(result), c.body);
    });
  });
}

test("target sender: a target that cannot be reached: not-run", async (t) => {
  const sender = new TargetSender({ dialect: ownDialect, clock: SystemClock, via: "s1" });
  const result = await sender.send(makeTarget("t", { url: "http://127.0.0.1:9" }), request("a1"));
  t.is(result.verdict.kind, "not-run");
});

test("target sender: a late extra response is never returned for the next request", async (t) => {
  // A target sends a second response to a request some time after the first one, where the response to the next request
  // is expected. The caller of the next request must not receive it.
  const behave = (s: Socket, head: string, n: number) => {
    s.write(response(echoOf(head), `for ${echoOf(head)}`));
    if (n === 1) {
      setTimeout(() => s.write(response(echoOf(head), "once more")), 60);
    }
  };
  await withTarget(behave, async (send) => {
    t.is(responseBodyOf(await send(request("a1"))), "for a1");
    await new Promise((r) => setTimeout(r, 30));
    for (let n = 2; n < 12; n++) {
      const result = await send(request(`a${n}`));
      t.true(result.verdict.kind !== "done" || responseBodyOf(result) === `for a${n}`);
      await new Promise((r) => setTimeout(r, 10));
    }
  });
});

test("target sender: after a mismatched response, non-idempotent requests use separate connections", async (t) => {
  const behave = (s: Socket, head: string, n: number) =>
    s.write(response(n === 1 ? "other" : echoOf(head), "ok"));
  await withTarget(behave, async (send, target) => {
    await send(request("a1"));
    const before = target.connections;
    for (const id of ["b1", "b2", "b3"]) {
      const result = await send(request(id, { method: "POST", idempotent: false }));
      t.is(result.verdict.kind, "done");
    }
    t.is(target.connections - before, 3);
  });
});

test("target sender: consecutive requests reuse one connection", async (t) => {
  const behave = (s: Socket, head: string) => s.write(response(echoOf(head), "ok"));
  await withTarget(behave, async (send, target) => {
    for (const id of ["a1", "a2", "a3", "a4"]) {
      t.is((await send(request(id))).verdict.kind, "done");
    }
    t.is(target.connections, 1);
  });
});

test("target sender: after a response to a partly sent request, its connection is not reused", async (t) => {
  // A target rejects an upload before it has received all of it, keeps the connection open and continues to read. It
  // would treat the bytes of the next request as the rest of the upload.
  const behave = (s: Socket, head: string) =>
    s.write(response(echoOf(head), "no").replace("200 OK", "403 No"));
  await withTarget(behave, async (send, target) => {
    const body = new PassThrough();
    body.write(Buffer.alloc(1000));
    const overrides = { method: "POST", body, bodyLength: 1_000_000 };
    const result = await send(request("a1", overrides));
    t.is(result.verdict.kind === "done" && result.verdict.status, 403);
    t.is((await send(request("a2"))).verdict.kind, "done");
    t.is(target.connections, 2);
  });
});

test("target sender: the connection to the target is closed when the caller disconnects", async (t) => {
  let closed = false;
  const behave = (s: Socket) => {
    s.once("close", () => (closed = true));
  };
  await withTarget(behave, async (send, target) => {
    const controller = new AbortController();
    const deadlineAt = SystemClock.now() + 60_000;
    const result = send(request("a1", { cancelled: controller.signal, deadlineAt }));
    await eventually(() => target.heads.length > 0);
    controller.abort();
    t.is((await result).outcome, AttemptOutcome.Cancelled);
    await eventually(() => closed);
    t.true(closed);
  });
});

test.serial(
  "target sender: a deadline due in the same turn as a disconnect does not count as a timeout",
  async (t) => {
    await withTarget(
      () => undefined,
      async (send) => {
        const controller = new AbortController();
        const result = send(request("a1", { cancelled: controller.signal }));
        setTimeout(() => {
          controller.abort();
        }, 50);
        blockEventLoop(600);
        t.is((await result).outcome, AttemptOutcome.Cancelled);
      },
    );
  },
);

test("target sender: a request whose caller has left already is not sent", async (t) => {
  await withTarget(
    () => undefined,
    async (send, target) => {
      const result = await send(request("a1", { cancelled: AbortSignal.abort() }));
      t.like(result, { verdict: { kind: "not-run" }, outcome: AttemptOutcome.Cancelled });
      t.is(target.connections, 0);
    },
  );
});

test("target sender: headers are forwarded unchanged, and the dialect's replace forged ones", async (t) => {
  const behave = (s: Socket, head: string) => s.write(response(echoOf(head), "ok"));
  await withTarget(behave, async (send, target) => {
    const headers = ["Host", "desk.example", "X-Twice", "1", "X-Twice", "2", "X-Echo", "forged"];
    await send(request("a1", { headers }));
    const [head = ""] = target.heads;
    t.regex(head, /^GET \/x HTTP\/1\.1\r\nHost: desk\.example\r\nX-Twice: 1\r\nX-Twice: 2\r\n/);
    t.regex(head, /x-echo: a1\r\n/);
    t.notRegex(head, /forged/);
    t.regex(head, /x-burdockpass-remaining-ms: \d+/);
  });
});

const LIMIT_HEADER = "x-burdockpass-limit: 2\r\n";

const signalCases: readonly {
  name: string;
  behave: (socket: Socket, head: string) => void;
  reported: readonly number[];
}[] = [
  {
    name: "a complete response",
    behave: (socket, head) => socket.write(response(echoOf(head), "x", LIMIT_HEADER)),
    reported: [2],
  },
  {
    name: "a response that is cut short",
    behave: (socket, head) => {
      socket.write(response(echoOf(head), "xx", LIMIT_HEADER).slice(0, -1), () => {
        socket.destroy();
      });
    },
    reported: [2],
  },
  {
    name: "a refusal",
    behave: (socket) =>
      socket.write(`HTTP/1.1 503 Busy\r\nx-not-run: 1\r\n${LIMIT_HEADER}content-length: 0\r\n\r\n`),
    reported: [2],
  },
  {
    name: "a response to another request, which says nothing",
    behave: (socket) => socket.write(response("other", "x", LIMIT_HEADER)),
    reported: [],
  },
];

for (const { name, behave, reported } of signalCases) {
  test(`target sender: what a target says about itself is read from ${name}`, async (t) => {
    const raw = new RawTarget(behave);
    const target = makeTarget("t", { url: await raw.start() });
    const limits: number[] = [];
    const sender = new TargetSender({
      dialect: ownDialect,
      clock: SystemClock,
      via: "",
      onSignals: (_target, { limit }) => limits.push(limit.kind === "limit" ? limit.perS : -1),
    });
    await sender.send(target, request("a1"));
    t.deepEqual(limits, [...reported]);
    sender.dispose();
    raw.stop();
  });
}
