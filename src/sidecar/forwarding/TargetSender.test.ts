import { PassThrough } from "node:stream";
import type { Socket } from "node:net";
import test from "ava";
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

/** Targets echo the attempt in this header, so that answers can be told apart. */
const ECHO = "x-echo";

const echoOf = (head: string) => /x-echo: (\S+)/i.exec(head)?.[1] ?? "none";

const answer = (id: string, body: string, more = "") =>
  `HTTP/1.1 200 OK\r\n${ECHO}: ${id}\r\ncontent-length: ${body.length}\r\n${more}\r\n${body}`;

const request = (attempt: string, over: Partial<TargetRequest> = {}): TargetRequest => ({
  method: "GET",
  path: "/x",
  headers: ["Host", "desk.example"],
  body: undefined,
  words: {
    attempt: AttemptId(attempt),
    target: makeTarget("t").id,
    callerService: "",
    echoHeader: ECHO,
  },
  deadlineAt: SystemClock.now() + 500,
  idempotent: true,
  ...over,
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

const bodyOf = (out: ForwardResult) =>
  "body" in out && Buffer.isBuffer(out.body) ? out.body.toString() : undefined;

/** Closes a connection with a reset, as a crash does. */
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
  givenMs?: number;
}[] = [
  {
    name: "a whole answer",
    behave: (s, head) => s.write(answer(echoOf(head), "whole")),
    verdict: "done",
    outcome: AttemptOutcome.Ok,
    body: "whole",
  },
  {
    name: "an answer without a length that ends with its connection",
    behave: (s, head) => s.end(`HTTP/1.1 200 OK\r\n${ECHO}: ${echoOf(head)}\r\n\r\nto the end`),
    verdict: "done",
    outcome: AttemptOutcome.Ok,
    body: "to the end",
  },
  {
    // Story: a target crashes in the midst of an answer that has no length. What has
    // come of it looks like a whole answer, unless the reset is taken for what it is.
    name: "an answer without a length whose connection is reset",
    behave: (s, head) => {
      s.write(`HTTP/1.1 200 OK\r\n${ECHO}: ${echoOf(head)}\r\n\r\nhalf of`);
      setTimeout(() => {
        reset(s);
      }, 30);
    },
    verdict: "may-have-run",
    outcome: AttemptOutcome.Wrong,
  },
  {
    // Story: the same, with the reset on the heels of the bytes: the event loop hears
    // of both at once, and only of an end.
    name: "an answer without a length, and a reset right behind it",
    behave: (s, head) => {
      s.write(`HTTP/1.1 200 OK\r\n${ECHO}: ${echoOf(head)}\r\n\r\nhalf of`, () => {
        reset(s);
      });
    },
    verdict: "may-have-run",
    outcome: AttemptOutcome.Wrong,
  },
  {
    name: "an answer cut short by a close",
    behave: (s, head) => s.end(answer(echoOf(head), "whole").slice(0, -2)),
    verdict: "may-have-run",
    outcome: AttemptOutcome.Wrong,
  },
  {
    name: "a reset before any answer",
    behave: (s) => {
      reset(s);
    },
    verdict: "may-have-run",
    outcome: AttemptOutcome.NoAnswer,
  },
  {
    name: "a target that says at once that something else took too long",
    behave: (s, head) => s.write(answer(echoOf(head), "slow").replace("200 OK", "504 Late")),
    verdict: "done",
    outcome: AttemptOutcome.Failed,
    body: "slow",
  },
  {
    // Story: a route gives less time than its work takes, and the target says so when its time is up.
    // Counted as failures, such answers took sound targets out of rotation.
    name: "a target that gives up when its time is up",
    behave: (s, head) => {
      setTimeout(() => s.write(answer(echoOf(head), "late").replace("200 OK", "504 Late")), 1850);
    },
    givenMs: 2000,
    verdict: "done",
    outcome: AttemptOutcome.TimedOut,
    body: "late",
  },
  {
    name: "bytes that are no answer",
    behave: (s) => s.write("what is this?\r\n\r\n"),
    verdict: "may-have-run",
    outcome: AttemptOutcome.Wrong,
  },
  {
    name: "another request's answer",
    behave: (s) => s.write(answer("other", "not yours")),
    verdict: "may-have-run",
    outcome: AttemptOutcome.Wrong,
  },
  {
    name: "a second answer right behind the first",
    behave: (s, head) => s.write(answer(echoOf(head), "first") + answer("other", "second")),
    verdict: "done",
    outcome: AttemptOutcome.Ok,
    body: "first",
  },
  {
    name: "an error of the target's own",
    behave: (s, head) => s.write(answer(echoOf(head), "sorry").replace("200 OK", "500 No")),
    verdict: "done",
    outcome: AttemptOutcome.Failed,
    body: "sorry",
  },
  {
    name: "a target's word that it did not run it",
    behave: (s) => s.write("HTTP/1.1 503 Full\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n"),
    verdict: "not-run",
    outcome: AttemptOutcome.Shed,
  },
  {
    name: "another request's refusal",
    behave: (s) =>
      s.write(`HTTP/1.1 503 Full\r\n${ECHO}: other\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n`),
    verdict: "may-have-run",
    outcome: AttemptOutcome.Wrong,
  },
  {
    name: "no answer by the deadline",
    behave: () => undefined,
    verdict: "may-have-run",
    outcome: AttemptOutcome.TimedOut,
  },
];

for (const c of cases) {
  test(`${c.name}: ${c.verdict}`, async (t) => {
    await withTarget(c.behave, async (send) => {
      const deadlineAt = SystemClock.now() + (c.givenMs ?? 500);
      const out = await send(request("a1", { deadlineAt }));
      t.is(out.verdict.kind, c.verdict);
      t.is(out.outcome, c.outcome);
      t.is(bodyOf(out), c.body);
    });
  });
}

test("a target that cannot be reached: not-run", async (t) => {
  const sender = new TargetSender({ dialect: ownDialect, clock: SystemClock, via: "s1" });
  const out = await sender.send(makeTarget("t", { url: "http://127.0.0.1:9" }), request("a1"));
  t.is(out.verdict.kind, "not-run");
});

test("an extra answer that comes late never reaches the next request", async (t) => {
  // Story: a target sends a second answer to a lookup some time after the first, just
  // where the next one's answer is expected. The next clerk must not get it.
  const behave = (s: Socket, head: string, n: number) => {
    s.write(answer(echoOf(head), `for ${echoOf(head)}`));
    if (n === 1) {
      setTimeout(() => s.write(answer(echoOf(head), "once more")), 60);
    }
  };
  await withTarget(behave, async (send) => {
    t.is(bodyOf(await send(request("a1"))), "for a1");
    await new Promise((r) => setTimeout(r, 30));
    for (let n = 2; n < 12; n++) {
      const out = await send(request(`a${n}`));
      t.true(out.verdict.kind !== "done" || bodyOf(out) === `for a${n}`);
      await new Promise((r) => setTimeout(r, 10));
    }
  });
});

test("after an answer of another request, bookings get connections of their own for a while", async (t) => {
  const behave = (s: Socket, head: string, n: number) =>
    s.write(answer(n === 1 ? "other" : echoOf(head), "ok"));
  await withTarget(behave, async (send, target) => {
    await send(request("a1"));
    const before = target.connections;
    for (const id of ["b1", "b2", "b3"]) {
      const out = await send(request(id, { method: "POST", idempotent: false }));
      t.is(out.verdict.kind, "done");
    }
    t.is(target.connections - before, 3);
  });
});

test("connections are kept from one request to the next", async (t) => {
  const behave = (s: Socket, head: string) => s.write(answer(echoOf(head), "ok"));
  await withTarget(behave, async (send, target) => {
    for (const id of ["a1", "a2", "a3", "a4"]) {
      t.is((await send(request(id))).verdict.kind, "done");
    }
    t.is(target.connections, 1);
  });
});

test("a target that answers before it has read a long body gets nothing else in its place", async (t) => {
  // Story: a target rejects an upload before it is in, keeps the connection and reads
  // on. Bytes of the next request would be taken for the rest of the upload.
  const behave = (s: Socket, head: string) =>
    s.write(answer(echoOf(head), "no").replace("200 OK", "403 No"));
  await withTarget(behave, async (send, target) => {
    const body = new PassThrough();
    body.write(Buffer.alloc(1000));
    const over = { method: "POST", body, bodyLength: 1_000_000 };
    const out = await send(request("a1", over));
    t.is(out.verdict.kind === "done" && out.verdict.status, 403);
    t.is((await send(request("a2"))).verdict.kind, "done");
    t.is(target.connections, 2);
  });
});

test("the caller leaves: the connection to the target is closed", async (t) => {
  let closed = false;
  const behave = (s: Socket) => {
    s.once("close", () => (closed = true));
  };
  await withTarget(behave, async (send) => {
    const leave = new AbortController();
    const out = send(request("a1", { cancelled: leave.signal }));
    setTimeout(() => {
      leave.abort();
    }, 50);
    t.is((await out).outcome, AttemptOutcome.Cancelled);
    await eventually(() => closed);
    t.true(closed);
  });
});

test("headers go on as they came, and what the dialect says in place of what callers sent", async (t) => {
  const behave = (s: Socket, head: string) => s.write(answer(echoOf(head), "ok"));
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
