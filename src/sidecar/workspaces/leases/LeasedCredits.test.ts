import test from "ava";
import { FakeClock } from "../../../../test/fixtures/FakeClock.ts";
import { WorkspaceName } from "../../../common/ids/WorkspaceName.ts";
import type { HolderReply } from "../../../common/rpc/HolderReply.ts";
import { HolderRanking } from "./HolderRanking.ts";
import { LeasedCredits } from "./LeasedCredits.ts";

/** Time after which a request without a reply is rejected, ms; see DatagramLink. */
const REQUEST_TIMEOUT_MS = 300;

/** Delay of a late reply, ms: the next sidecar has been asked by then. */
const LATE_MS = 150;

type Behaviour = HolderReply | "silent" | "late";

const granted: HolderReply = { kind: "granted", grant: "1/2" };
const exhausted: HolderReply = { kind: "exhausted", retryAfterMs: 700 };
const disabled: HolderReply = { kind: "disabled" };
const heldBy = (holder: string): HolderReply => ({
  kind: "unavailable",
  retryAfterMs: 900,
  holder,
});

const ids = ["a", "b", "c", "d", "e"];

/** The sidecars as they rank for the workspace, and their replies in this order, one after the other. */
const open = (replies: readonly (readonly Behaviour[])[]) => {
  const clock = new FakeClock();
  const ranking = new HolderRanking(() => sidecars);
  const sidecars = ids.map((id) => ({ id, address: id }));
  const ranked = ranking.of("w").map((s) => s.address);
  const asked: number[] = [];
  const returned: string[] = [];
  const rename = (name: string) => ranked[Number(name) - 1] ?? "";
  const credits = new LeasedCredits({
    ask: (address) => {
      const n = ranked.indexOf(address);
      const behaviour = replies[n]?.[asked.filter((x) => x === n + 1).length] ?? "silent";
      asked.push(n + 1);
      if (behaviour === "silent") {
        return new Promise<never>((_, reject) => {
          clock.after(REQUEST_TIMEOUT_MS, () => {
            reject(new Error("no reply in time"));
          });
        });
      }
      if (behaviour === "late") {
        return new Promise((resolve) => {
          clock.after(LATE_MS, () => {
            resolve(granted);
          });
        });
      }
      const reply =
        behaviour.kind === "unavailable"
          ? { ...behaviour, holder: rename(behaviour.holder) }
          : behaviour;
      return Promise.resolve(reply);
    },
    giveBack: (address) => returned.push(address),
    holder: { take: () => Promise.resolve(disabled), putBack: () => undefined },
    ranking,
    address: "self",
    singles: { take: () => Promise.resolve({ kind: "exhausted", retryAfterMs: 1 }) },
    clock,
  });
  const take = async () => {
    const result = credits.take(WorkspaceName("w"));
    await clock.advance(0);
    await clock.advance(500);
    return result;
  };
  return { asked, returned, take };
};

const cases: readonly {
  name: string;
  replies: readonly (readonly Behaviour[])[];
  expected: object;
  asked: readonly number[];
}[] = [
  { name: "the first grants", replies: [[granted]], expected: { kind: "granted" }, asked: [1] },
  {
    name: "the first is dead: the second obtains the leases",
    replies: [["silent"], [granted]],
    expected: { kind: "granted" },
    asked: [1, 2],
  },
  {
    name: "a lost message to the holder is sent again once another sidecar has named it",
    replies: [["silent", granted], [heldBy("1")]],
    expected: { kind: "granted" },
    asked: [1, 2, 1],
  },
  {
    name: "the dead holder's leases have not expired: the caller learns for how long",
    replies: [["silent", "silent"], [heldBy("1")], [heldBy("1")]],
    expected: { kind: "unreachable", retryAfterMs: 900 },
    asked: [1, 2, 1, 3],
  },
  {
    name: "a busy holder replies late, while the others reach no voter",
    replies: [["late"], [heldBy("")], [heldBy("")], [heldBy("")]],
    expected: { kind: "granted" },
    asked: [1, 2, 3, 4],
  },
  {
    name: "a sidecar that was refused by the voters is asked alone, so that the leases are not divided",
    replies: [[heldBy("1")], [granted]],
    expected: { kind: "unreachable", retryAfterMs: 900 },
    asked: [1],
  },
  {
    name: "the quota is used up",
    replies: [[exhausted]],
    expected: { kind: "exhausted", retryAfterMs: 700 },
    asked: [1],
  },
  {
    name: "sidecars without leases are passed over",
    replies: [[disabled], [disabled], [granted]],
    expected: { kind: "granted" },
    asked: [1, 2, 3],
  },
  {
    name: "the voters grant single credits",
    replies: [[{ kind: "credits" }]],
    expected: { kind: "exhausted", retryAfterMs: 1 },
    asked: [1],
  },
];

for (const { name, replies, expected, asked } of cases) {
  test(`leased credits: ${name}`, async (t) => {
    const fleet = open(replies);
    t.like(await fleet.take(), expected);
    t.deepEqual(fleet.asked, asked);
  });
}

test("leased credits: one that is granted too late is returned", async (t) => {
  const { returned, take } = open([["late"], [granted]]);
  t.is((await take()).kind, "granted");
  t.is(returned.length, 1);
});

test("leased credits: the sidecar that granted the last one is asked first, and its credit returned to it once", async (t) => {
  const { asked, returned, take } = open([[heldBy("2")], [granted, granted]]);
  const result = await take();
  await take();
  t.deepEqual(asked, [1, 2, 2]);
  if (result.kind === "granted") {
    result.credit.release();
    result.credit.release();
  }
  t.is(returned.length, 1);
});
