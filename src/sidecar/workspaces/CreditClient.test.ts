import test from "ava";
import { FakeClock } from "../../../test/fixtures/FakeClock.ts";
import { WorkspaceName } from "../../common/ids/WorkspaceName.ts";
import type { CreditOutcome } from "../../common/rpc/CreditOutcome.ts";
import { CreditClient } from "./CreditClient.ts";

/** What a replica does with a request for a credit. */
type Behaviour = CreditOutcome | "silent" | "gone" | { readonly kind: "late"; readonly ms: number };

const granted: CreditOutcome = { kind: "granted" };
const unavailable: CreditOutcome = { kind: "unavailable" };
const exhausted = (retryAfterMs: number): CreditOutcome => ({ kind: "exhausted", retryAfterMs });

const open = (replicas: Record<string, Behaviour>) => {
  const clock = new FakeClock();
  const asked: string[] = [];
  const returned: string[] = [];
  const client = new CreditClient({
    ask: (address) => {
      asked.push(address);
      const behaviour = replicas[address] ?? "gone";
      return new Promise((resolve, reject) => {
        const reply = (credit: CreditOutcome) => {
          resolve({ version: 1, ageMs: 0, credit });
        };
        if (behaviour === "gone") {
          reject(new Error("gone"));
        } else if (behaviour !== "silent" && behaviour.kind === "late") {
          clock.after(behaviour.ms, () => {
            reply(granted);
          });
        } else if (behaviour !== "silent") {
          reply(behaviour);
        }
      });
    },
    giveBack: (address) => returned.push(address),
    replicas: () => Object.keys(replicas),
    clock,
  });
  const take = async () => {
    const result = client.take(WorkspaceName("w"));
    await clock.advance(0);
    await clock.advance(500);
    return result;
  };
  return { clock, asked, returned, take };
};

const cases: readonly {
  name: string;
  replicas: Record<string, Behaviour>;
  expected: object;
  asked: readonly string[];
}[] = [
  {
    name: "the nearest replica has a credit",
    replicas: { a: granted, b: granted },
    expected: { kind: "granted" },
    asked: ["a"],
  },
  {
    name: "the nearest replica's part is used up",
    replicas: { a: exhausted(900), b: granted },
    expected: { kind: "granted" },
    asked: ["a", "b"],
  },
  {
    name: "a replica does not reply, one is down, and one must not grant credits",
    replicas: { a: "silent", b: "gone", c: unavailable, d: granted },
    expected: { kind: "granted" },
    asked: ["a", "b", "c", "d"],
  },
  {
    name: "all parts are used up: the caller may return when the first has a credit again",
    replicas: { a: exhausted(900), b: exhausted(700), c: unavailable },
    expected: { kind: "exhausted", retryAfterMs: 700 },
    asked: ["a", "b", "c"],
  },
  {
    name: "no replica can grant credits: that is not the workspace's fault",
    replicas: { a: unavailable, b: "gone" },
    expected: { kind: "unreachable" },
    asked: ["a", "b"],
  },
];

for (const { name, replicas, expected, asked } of cases) {
  test(`credits: ${name}`, async (t) => {
    const fleet = open(replicas);
    t.like(await fleet.take(), expected);
    t.deepEqual(fleet.asked, asked);
  });
}

test("credits: one that is granted too late is returned, and its replica is avoided for a while", async (t) => {
  const fleet = open({ a: { kind: "late", ms: 200 }, b: granted });
  t.is((await fleet.take()).kind, "granted");
  t.deepEqual(fleet.returned, ["a"]);
  t.deepEqual(fleet.asked, ["a", "b"]);
});

test("credits: one that is not used is returned once to the replica that granted it", async (t) => {
  const fleet = open({ a: exhausted(5000), b: granted });
  const result = await fleet.take();
  if (result.kind === "granted") {
    result.credit.release();
    result.credit.release();
  }
  t.deepEqual(fleet.returned, ["b"]);
});

test("credits: a workspace over its quota does not make every request ask every replica again", async (t) => {
  const fleet = open({ a: exhausted(5000), b: exhausted(5000) });
  await fleet.take();
  t.is((await fleet.take()).kind, "exhausted");
  t.deepEqual(fleet.asked, ["a", "b"]);
});
