import test from "ava";
import fc from "fast-check";
import { FakeClock } from "../../../test/fixtures/FakeClock.ts";
import type { LimitSignal } from "../signals/LimitSignal.ts";
import { RequestRateLimit } from "./RequestRateLimit.ts";

/** The users' rule for each window. */
const WINDOW_MS = 4000;
const allowedIn = (perS: number) => 1.5 * perS * (WINDOW_MS / 1000) + 5;

const named = (perS: number): LimitSignal => ({ kind: "limit", perS });

type Step =
  | { readonly kind: "wait"; readonly ms: number }
  | { readonly kind: "grant" }
  | { readonly kind: "send" }
  | { readonly kind: "restart" };

const steps = fc.array(
  fc.oneof(
    {
      weight: 4,
      arbitrary: fc.integer({ min: 1, max: 900 }).map((ms): Step => ({ kind: "wait", ms })),
    },
    { weight: 6, arbitrary: fc.constant<Step>({ kind: "grant" }) },
    { weight: 6, arbitrary: fc.constant<Step>({ kind: "send" }) },
    { weight: 1, arbitrary: fc.constant<Step>({ kind: "restart" }) },
  ),
  { minLength: 40, maxLength: 160 },
);

/** Sends as soon as the limit allows; a restarted process learns the limit from a sender. */
async function play(perS: number, plan: readonly Step[]): Promise<number[]> {
  const clock = new FakeClock();
  let limit = new RequestRateLimit(clock);
  limit.recordResponse(named(perS), 0);
  let pending = 0;
  const sent: number[] = [];
  for (const step of plan) {
    switch (step.kind) {
      case "wait":
        await clock.advance(step.ms);
        break;
      case "grant":
        pending += limit.waitMs(pending) === 0 ? 1 : 0;
        break;
      case "send":
        if (pending > 0) {
          pending -= 1;
          limit.recordStart();
          sent.push(clock.now());
        }
        break;
      case "restart":
        pending = 0;
        limit = new RequestRateLimit(clock);
        limit.recordReport(perS);
    }
  }
  return sent;
}

test("rate limit: no window has more requests than allowed, whatever waits for its body and however often the process restarts", async (t) => {
  const rates = fc.double({ min: 0, max: 20, noNaN: true });
  await fc.assert(
    fc.asyncProperty(rates, steps, async (perS, plan) => {
      const sent = await play(perS, plan);
      const counts = sent.map((from) => sent.filter((at) => from <= at && at < from + WINDOW_MS));
      return counts.every((inWindow) => inWindow.length <= allowedIn(perS));
    }),
  );
  t.pass();
});

const cases: readonly {
  name: string;
  act: (limit: RequestRateLimit) => void;
  perS: number | undefined;
}[] = [
  {
    name: "a sender's report counts before the target has responded",
    act: (limit) => {
      limit.recordReport(2);
    },
    perS: 2,
  },
  {
    name: "a response without a limit ends what senders have reported",
    act: (limit) => {
      limit.recordReport(2);
      limit.recordResponse({ kind: "none" }, 0);
    },
    perS: undefined,
  },
  {
    name: "a sender's outdated report does not bring a limit back",
    act: (limit) => {
      limit.recordResponse({ kind: "none" }, 0);
      limit.recordReport(2);
    },
    perS: undefined,
  },
  {
    name: "an invalid value is no response in this sense",
    act: (limit) => {
      limit.recordReport(2);
      limit.recordResponse({ kind: "invalid", text: "x" }, 0);
    },
    perS: 2,
  },
];

for (const { name, act, perS } of cases) {
  test(`rate limit: ${name}`, (t) => {
    const limit = new RequestRateLimit(new FakeClock());
    act(limit);
    t.is(limit.perS, perS);
  });
}

for (const perS of [0, 0.001, 1e9]) {
  test(`rate limit: a target that names ${perS} is still sent requests`, async (t) => {
    const clock = new FakeClock();
    const limit = new RequestRateLimit(clock);
    limit.recordResponse(named(perS), 0);
    await clock.advance(WINDOW_MS);
    t.is(limit.waitMs(0), 0);
  });
}

for (const perS of [1, 5, 20]) {
  test(`rate limit: after a long time without requests, ${perS} a second allow no more than ${perS} at once`, async (t) => {
    const clock = new FakeClock();
    const limit = new RequestRateLimit(clock);
    limit.recordResponse(named(perS), 0);
    await clock.advance(60_000);
    let sent = 0;
    while (limit.waitMs(0) === 0 && sent < 1000) {
      limit.recordStart();
      sent += 1;
    }
    t.is(sent, perS);
  });
}
