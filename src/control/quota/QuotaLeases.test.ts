import test from "ava";
import { FakeClock } from "../../../test/fixtures/FakeClock.ts";
import { EMPTY_DOCUMENT } from "../../common/document/EMPTY_DOCUMENT.ts";
import { QuotaLeases } from "./QuotaLeases.ts";
import { WorkspaceQuotas } from "./WorkspaceQuotas.ts";

const TERM_MS = 3000;

/** A voter that grants a whole quota of 10/s + 10, and holders that ask it, each by its name. */
const open = ({ isFirstStart = true } = {}) => {
  const clock = new FakeClock();
  const voter = { isEntitled: true };
  const division = { self: "v", ids: ["v"], parts: 1, since: -Infinity, settledSince: -Infinity };
  const deps = {
    document: () => ({
      ...EMPTY_DOCUMENT,
      workspaces: [{ name: "w", apiKeys: [], quota: { ratePerS: 10, burst: 10 } }],
    }),
    holders: () => (voter.isEntitled ? division : undefined),
    tolerance: () => ({ windowMs: 5000, ratio: 0, requests: 0 }),
    isFirstStart,
    leaseTermMs: TERM_MS,
    clock,
  };
  const quotas = new WorkspaceQuotas(deps);
  let lastId = 0;
  const leases = new QuotaLeases({
    ...deps,
    quotas,
    termMs: TERM_MS,
    random: () => (lastId += 1) / 2 ** 48,
  });
  const ask = (holder: string, presented: { lease?: number; isUnconfirmed?: boolean } = {}) => {
    const { lease = 0, isUnconfirmed = false } = presented;
    const process = holder.charCodeAt(0);
    const usage = { granted: 0, refused: 0 };
    const presentation = { lease, isInForce: lease !== 0, isUnconfirmed };
    const reply = leases.ask({ workspace: "w", holder, process, ...presentation, ...usage });
    return reply.kind === "granted"
      ? `lease ${reply.lease}, level ${reply.level}, ${reply.limits ? "confirmed" : "unconfirmed"}`
      : `${reply.reason} ${reply.holder} ${reply.leftMs}`;
  };
  return { clock, voter, leases, ask, take: (can = true) => leases.takeCredit("w", can).kind };
};

test("voter leases: one holder at a time; after the term of a silent one, the next gets an empty bucket", async (t) => {
  const { clock, ask } = open();
  t.is(ask("a"), "lease 2, level 10, confirmed");
  await clock.advance(1000);
  t.is(ask("b"), "held a 2000");
  t.is(ask("a", { lease: 2 }), "lease 2, level 10, confirmed");
  await clock.advance(2999);
  t.is(ask("b"), "held a 1");
  await clock.advance(101);
  t.is(ask("b"), "lease 3, level 1, confirmed", "filled for 100 ms since the term's end");
});

test("voter leases: a holder whose reply was lost gets the same lease again", (t) => {
  const { ask } = open();
  t.is(ask("a"), "lease 2, level 10, confirmed");
  t.is(ask("a"), "lease 2, level 10, confirmed");
});

test("voter leases: a released share passes on with its level, and a late request does not take it back", async (t) => {
  const { clock, leases, ask } = open();
  ask("a");
  leases.release({ workspace: "w", lease: 2, level: 4 });
  t.is(ask("a", { lease: 2 }), "released  500");
  await clock.advance(100);
  t.is(ask("b"), "lease 3, level 5, confirmed");
});

test("voter leases: after a restart, no new lease for a term, but a presented one is renewed", async (t) => {
  const { clock, ask, take, leases } = open({ isFirstStart: false });
  t.is(ask("b"), "starting  3000");
  t.is(take(), "unavailable", "an unknown lease may be in force");
  t.is(ask("a", { lease: 7 }), "lease 7, level 0, confirmed");
  t.is(leases.holderOf("w"), "a");
  await clock.advance(2000);
  t.is(ask("b"), "held a 1000");
  leases.release({ workspace: "w", lease: 7, level: 10 });
  t.is(ask("b"), "starting  1000");
  await clock.advance(1000);
  t.is(
    ask("b"),
    "lease 2, level 0, confirmed",
    "the level of an earlier incarnation's lease is unknown",
  );
});

test("voter leases: a voter out of touch with its group renews a lease once, and grants none", async (t) => {
  const { clock, voter, ask } = open();
  ask("a");
  voter.isEntitled = false;
  await clock.advance(1000);
  t.is(ask("a", { lease: 2 }), "lease 2, level 10, unconfirmed");
  t.is(ask("a", { lease: 2, isUnconfirmed: true }), "unconfirmed  500");
  await clock.advance(TERM_MS);
  t.is(ask("b"), "unconfirmed  500");
});

test("voter leases: single credits and leases exclude each other", async (t) => {
  const { clock, ask, take, leases } = open();
  t.is(take(), "granted", "a sidecar with leases may fall back");
  t.is(ask("a"), "lease 2, level 9, confirmed", "and does not delay leases");
  t.is(take(), "unavailable");
  t.is(take(false), "unavailable");
  t.is(ask("a", { lease: 2 }), "credits  3000", "leases give way to a sidecar without them");
  leases.release({ workspace: "w", lease: 2, level: 5 });
  t.is(take(false), "granted");
  await clock.advance(2000);
  t.is(ask("b"), "credits  1000");
});
