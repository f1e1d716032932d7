import test from "ava";
import { makeTarget } from "../../../test/fixtures/makeTarget.ts";
import { combineEvidence } from "./combineEvidence.ts";
import type { Evidence } from "./Evidence.ts";
import { EvidenceExchange } from "./EvidenceExchange.ts";

const target = makeTarget("x");
const THRESHOLD = 7;

const seen = (over: Partial<Evidence>): Evidence => ({
  target: target.id,
  failureScore: 0,
  lateScore: 0,
  recentOk: 0,
  lastBadAgeMs: 10_000,
  ...over,
});

const late = seen({ lateScore: 5.6, lastBadAgeMs: 10 });
const vouching = seen({ recentOk: 4 });

/** Sidecars that host a service's targets, sharing evidence in one process. */
class Group {
  readonly clock = { now: 0 };
  readonly members = new Map<string, EvidenceExchange>();
  readonly hosts: ReadonlySet<string>;
  bundles = 0;

  constructor(count: number) {
    this.hosts = new Set(Array.from({ length: count }, (_, n) => `s${n}`));
    for (const id of [...this.hosts, "door"]) {
      const exchange = new EvidenceExchange({
        selfId: id,
        selfAddress: id,
        share: (address, bundle) => {
          this.bundles += 1;
          const peer = this.members.get(address);
          return peer
            ? Promise.resolve(peer.onShare(structuredClone(bundle), () => "svc"))
            : Promise.reject(new Error("unreachable"));
        },
        now: () => this.clock.now,
        random: () => 0,
      });
      this.members.set(id, exchange);
    }
  }

  get(id: string): EvidenceExchange {
    const member = this.members.get(id);
    if (!member) {
      throw new Error(`no ${id}`);
    }
    return member;
  }

  /** What `id` makes of the target, having seen `own` itself. */
  judge(id: string, own: Evidence): boolean {
    const exchange = this.get(id);
    const others = exchange.about(target.id);
    return combineEvidence(own, others, false, THRESHOLD, exchange.groupSize("svc", this.hosts))
      .gray;
  }
}

const see = (group: Group, id: string, evidence: Evidence) => {
  group.get(id).publish(new Map([[target.id, evidence]]));
};

test("most find a target late: everyone of the group knows after one of them tells", async (t) => {
  const group = new Group(8);
  for (const id of ["s0", "s1", "s2", "s3", "s4"]) {
    see(group, id, late);
  }
  for (const id of ["s5", "s6", "s7"]) {
    see(group, id, vouching);
  }
  await group.get("s0").share("svc", [target], group.hosts);
  t.true(group.judge("s0", late));
  t.true(group.judge("s7", vouching));
});

test("a zone cut off from a healthy target does not have it ejected by the others", async (t) => {
  // Story: two sidecars of one zone cannot reach a target that six others use
  // happily. Both tell the group it is late. Nobody else may eject it.
  const group = new Group(8);
  for (let n = 0; n < 8; n++) {
    see(group, `s${n}`, n < 2 ? late : vouching);
  }
  await Promise.all(["s0", "s1"].map((id) => group.get(id).share("svc", [target], group.hosts)));
  for (let n = 2; n < 8; n++) {
    t.false(group.judge(`s${n}`, vouching), `s${n}`);
  }
});

test("a sidecar that only proxies, with no target beside it, asks, and is told from then on", async (t) => {
  const group = new Group(4);
  for (const id of ["s0", "s1", "s2", "s3"]) {
    see(group, id, late);
  }
  see(group, "door", late);
  await group.get("door").share("svc", [target], group.hosts);
  t.true(group.judge("door", seen({})));
  group.clock.now += 11_000; // what it heard is too old by now
  t.false(group.judge("door", seen({})));
  await group.get("s0").share("svc", [target], group.hosts);
  t.true(group.judge("door", seen({})));
});

test("good answers heard of more than 2 s ago vouch no more", async (t) => {
  const group = new Group(3);
  see(group, "s0", late);
  see(group, "s1", vouching);
  await group.get("s0").share("svc", [target], group.hosts);
  t.is(
    group
      .get("s0")
      .about(target.id)
      .filter((e) => e.recentOk > 0).length,
    1,
  );
  group.clock.now += 2001;
  t.is(
    group
      .get("s0")
      .about(target.id)
      .filter((e) => e.recentOk > 0).length,
    0,
  );
});

test("evidence about one service goes out at most every 80 ms", async (t) => {
  const group = new Group(3);
  see(group, "s0", late);
  for (let i = 0; i < 10; i++) {
    await group.get("s0").share("svc", [target], group.hosts);
    group.clock.now += 10;
  }
  // Twice to each of two peers, at 0 and at 80 ms.
  t.is(group.bundles, 8);
});
