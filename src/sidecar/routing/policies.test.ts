import test from "ava";
import bunyan from "bunyan";
import { FakeClock } from "../../../test/fixtures/FakeClock.ts";
import { idleLoad } from "../../../test/fixtures/FakeHop.ts";
import { makeRoute } from "../../../test/fixtures/makeRoute.ts";
import { makeService } from "../../../test/fixtures/makeService.ts";
import { seededRandom } from "../../../test/fixtures/seededRandom.ts";
import { AttemptId } from "../../common/ids/AttemptId.ts";
import { GrantId } from "../../common/ids/GrantId.ts";
import { SidecarId } from "../../common/ids/SidecarId.ts";
import { TargetId } from "../../common/ids/TargetId.ts";
import { ZoneName } from "../../common/ids/ZoneName.ts";
import { TargetTable } from "../../membership/TargetTable.ts";
import { AttemptOutcome } from "../detection/AttemptOutcome.ts";
import { GrayFailureDetector } from "../detection/GrayFailureDetector.ts";
import { AlwaysHealthyDetector } from "../detection/AlwaysHealthyDetector.ts";
import { Gate } from "../gate/Gate.ts";
import { GrantIds } from "../gate/GrantIds.ts";
import type { SlotReply } from "../hop/SlotReply.ts";
import type { GateLoad } from "../hop/GateLoad.ts";
import { AdaptivePolicy } from "./AdaptivePolicy.ts";
import { NaivePolicy } from "./NaivePolicy.ts";
import type { RouteMatch } from "./RouteMatch.ts";
import type { RoutingPolicy } from "./RoutingPolicy.ts";

/** How one answer of a fake target comes out. */
interface FakeAnswer {
  readonly ms: number;
  readonly outcome: AttemptOutcome;
}

const healthy: FakeAnswer = { ms: 20, outcome: AttemptOutcome.Ok };

/** One sidecar's policy, and the gates of eight fake targets of four slots, on a fake clock. */
class Rig {
  readonly clock = new FakeClock();
  readonly random = seededRandom(42);
  readonly table: TargetTable;
  readonly policy: RoutingPolicy;
  readonly ids = Array.from({ length: 8 }, (_, i) => TargetId(`t${i}`));
  /** Targets as they were ejected, in order. */
  readonly ejections: string[] = [];
  readonly route: RouteMatch;
  readonly gates: ReadonlyMap<TargetId, Gate>;
  readonly #naive: NaivePolicy | undefined;
  readonly #health: (id: TargetId) => boolean;
  #sequence = 1;
  #attempts = 0;

  constructor(
    kind: "adaptive" | "naive",
    opts: { floor?: number; health?: (id: TargetId) => boolean } = {},
  ) {
    const { clock, random } = this;
    const note = (record: { msg: string; target: string }) => {
      if (record.msg === "ejected") {
        this.ejections.push(record.target);
      }
    };
    const log = bunyan.createLogger({
      name: "test",
      streams: [{ type: "raw", stream: { write: note } as unknown as NodeJS.WritableStream }],
    });
    const self = {
      id: SidecarId("self"),
      peerAddress: "127.0.0.1:1",
      hopAddress: "127.0.0.1:2",
      zone: ZoneName("zone-a"),
      incarnation: 1,
    };
    this.table = new TargetTable(self, () => clock.now());
    const service = makeService({ floor: opts.floor ?? 0.5 });
    this.route = makeRoute({ service });
    this.#health = opts.health ?? (() => true);
    const table = this.table;
    if (kind === "adaptive") {
      this.policy = new AdaptivePolicy({ table, zone: ZoneName("zone-a"), clock, random });
    } else {
      const probe = (t: { id: TargetId }) => Promise.resolve(this.#health(t.id));
      this.#naive = new NaivePolicy({ table, probe, log });
      this.policy = this.#naive;
    }
    const detector = (id: TargetId) =>
      new GrayFailureDetector({
        rule: () => service.detection,
        clock,
        log: log.child({ target: id }),
      });
    this.gates = new Map(
      this.ids.map((id) => [
        id,
        new Gate({
          target: () => ({ slots: 4, takesWork: true }),
          detector: kind === "adaptive" ? detector(id) : AlwaysHealthyDetector,
          clock,
          grants: new GrantIds("b"),
        }),
      ]),
    );
  }

  announce(id: TargetId, state = "ready"): void {
    const target = {
      target_id: id,
      service: "svc",
      url: `http://127.0.0.1/${id}`,
      slots: 4,
      state,
      health_path: "/health",
      born: 0,
    };
    this.table.announce(target, this.#sequence++);
  }

  /** Runs `ms` of traffic, a request every 5 ms; returns when each target got one. */
  async run(ms: number, answer: (id: TargetId) => FakeAnswer): Promise<Map<TargetId, number[]>> {
    const arrivals = new Map<TargetId, number[]>(this.ids.map((id) => [id, []]));
    for (const until = this.clock.now() + ms; this.clock.now() < until;) {
      if (this.clock.now() % 50 === 0) {
        this.ids.forEach((id) => {
          this.announce(id);
        });
      }
      if (this.clock.now() % 1000 === 0) {
        await this.#naive?.checkHealth();
      }
      this.#serve(answer, arrivals);
      await this.clock.advance(5);
    }
    return arrivals;
  }

  /** Rotation as the policy tells it. */
  ejected(): TargetId[] {
    return this.policy
      .describe()
      .filter((d) => d.rotation === "ejected")
      .map((d) => d.id);
  }

  /** Asks target after target, as the policy picks them, until one grants a slot. */
  #serve(answer: (id: TargetId) => FakeAnswer, arrivals: Map<TargetId, number[]>): void {
    const tried = new Set<TargetId>();
    const attempt = AttemptId(`a${this.#attempts++}`);
    for (;;) {
      const request = { route: this.route, isExpendable: true };
      const sound = this.policy.pick(request, tried);
      const picked = sound ?? this.policy.suspected(request, tried).find((s) => s.isKept);
      const gate = picked && this.gates.get(picked.target.id);
      if (!gate) {
        return;
      }
      const { target } = picked;
      const acceptsRisk = sound === undefined ? 1 : 0;
      tried.add(target.id);
      const replies: SlotReply[] = [];
      const ask = {
        attempt,
        target: target.id,
        isExpendable: true,
        priority: 1,
        remainingMs: 1000,
        objectiveMs: 300,
        typicalMs: this.policy.typicalMs(this.route),
        acceptsRisk,
        isPressed: false,
        isCall: false,
        bodyBytes: 0,
      };
      const ticket = gate.requestSlot(ask, (reply) => replies.push(reply));
      const [reply] = replies;
      if (!reply) {
        ticket.withdraw();
        continue;
      }
      this.policy.noteReply(target, reply, 1);
      if (reply.kind === "granted") {
        arrivals.get(target.id)?.push(this.clock.now());
        gate.take(reply.grant);
        const end = this.policy.begin(this.route, target);
        const { ms, outcome } = answer(target.id);
        this.clock.after(ms, () => {
          gate.end(reply.grant, outcome);
          end(outcome);
        });
        return;
      }
    }
  }
}

/**
 * Detection time: ms from the start of `arrivals` to the last one before the
 * target's first quiet second; Infinity when it never goes quiet.
 */
function detectionMs(rig: Rig, arrivals: readonly number[], startedAt: number): number {
  const times = [startedAt, ...arrivals, rig.clock.now()];
  for (let i = 1; i < times.length; i++) {
    const [before, after] = [times[i - 1] ?? 0, times[i] ?? 0];
    if (after - before >= 1000) {
      return before - startedAt;
    }
  }
  return Infinity;
}

const gray = TargetId("t3");

/** Each story: the naive baseline fails it (its gray share stays), ours passes. */
const grayCases: readonly {
  name: string;
  answer: (rig: Rig) => FakeAnswer;
}[] = [
  {
    // Story: an availability counter's target goes ten times slower but still
    // answers 200, and its health check passes. Every eighth clerk waits.
    name: "a target that turns slow while its health check passes",
    answer: () => ({ ms: 200, outcome: AttemptOutcome.Ok }),
  },
  {
    // Story: a target hands out other requests' answers to 5 in 100 lookups.
    // Five errors in a row, which the naive rule waits for, never come.
    name: "a target that gives 5 wrong answers in 100",
    answer: (rig) => ({
      ms: 20,
      outcome: rig.random() < 0.05 ? AttemptOutcome.Wrong : AttemptOutcome.Ok,
    }),
  },
  {
    // Story: a target fails two lookups in three while its health check passes. Five
    // errors in a row, which the naive rule waits for, come once in eight requests.
    name: "a target that fails 6 requests in 10 now and then",
    answer: (rig) => ({
      ms: 20,
      outcome: rig.clock.now() % 10 < 5 ? AttemptOutcome.Failed : AttemptOutcome.Ok,
    }),
  },
];

for (const c of grayCases) {
  const detect = async (kind: "naive" | "adaptive") => {
    const rig = new Rig(kind);
    await rig.run(2000, () => healthy);
    const startedAt = rig.clock.now();
    const seen = await rig.run(8000, (id) => (id === gray ? c.answer(rig) : healthy));
    return { rig, ms: detectionMs(rig, seen.get(gray) ?? [], startedAt) };
  };

  test(`naive baseline keeps sending to ${c.name}`, async (t) => {
    t.is((await detect("naive")).ms, Infinity);
  });

  test(`ours stops sending to ${c.name}`, async (t) => {
    const { rig, ms } = await detect("adaptive");
    t.log(`${ms} ms`);
    t.true(ms < 4000, `${ms} ms`);
    t.deepEqual(
      rig.ejected().filter((id) => id !== gray),
      [],
    );
  });
}

for (const kind of ["naive", "adaptive"] as const) {
  const verdict = kind === "naive" ? "is ejected by the naive baseline" : "is kept by ours";
  test(`a healthy target whose health endpoint lies ${verdict}`, async (t) => {
    // Story: a target serves every lookup well, but its health endpoint fails.
    // Trusting it throws away an eighth of the lab's capacity.
    const rig = new Rig(kind, { health: (id) => id !== gray });
    await rig.run(4000, () => healthy);
    t.deepEqual(rig.ejected(), kind === "naive" ? [gray] : []);
  });

  const held = kind === "naive" ? "the naive baseline ejects it to death" : "ours holds the floor";
  test(`most targets of a service turn gray: ${held}`, async (t) => {
    // Story: a bad release makes six of eight targets fail every request. With
    // a floor of 0.5 four targets must stay, or the two healthy ones drown.
    const sick = new Set(["t0", "t1", "t2", "t3", "t4", "t5"].map(TargetId));
    const rig = new Rig(kind, { floor: 0.5 });
    await rig.run(2000, () => healthy);
    let mostOut = 0;
    for (let i = 0; i < 40; i++) {
      await rig.run(100, (id) =>
        sick.has(id) ? { ms: 20, outcome: AttemptOutcome.Failed } : healthy,
      );
      mostOut = Math.max(mostOut, rig.ejected().length);
    }
    t.is(mostOut, kind === "naive" ? 6 : 4);
  });
}

test("most targets gray: those that the floor keeps in rotation take what the others have no room for", async (t) => {
  // Story: the same bad release, and a crowd of callers: the two healthy targets can
  // serve 8 at once. Turned away by the gray ones' sidecars, the rest would be refused,
  // also where the gray ones are slow rather than broken and could still serve them.
  const sick = new Set(["t0", "t1", "t2", "t3", "t4", "t5"].map(TargetId));
  const rig = new Rig("adaptive", { floor: 0.5 });
  await rig.run(2000, () => healthy);
  const answer = (id: TargetId) =>
    sick.has(id) ? { ms: 20, outcome: AttemptOutcome.Failed } : { ...healthy, ms: 60 };
  await rig.run(3000, answer);
  const seen = await rig.run(1000, answer);
  const total = [...seen.values()].reduce((sum, times) => sum + times.length, 0);
  t.is(total, 200, "every request found a slot");
});

test("a target that is well again gets its share of work back", async (t) => {
  const rig = new Rig("adaptive");
  await rig.run(2000, () => healthy);
  const sick = { ms: 20, outcome: AttemptOutcome.Failed };
  await rig.run(3000, (id) => (id === gray ? sick : healthy));
  t.deepEqual(rig.ejected(), [gray]);
  await rig.run(4000, () => healthy);
  const seen = await rig.run(1000, () => healthy);
  t.true((seen.get(gray) ?? []).length > 10);
});

test("a target announced as draining gets nothing", async (t) => {
  const rig = new Rig("adaptive");
  await rig.run(500, () => healthy);
  rig.announce(gray, "draining");
  for (let i = 0; i < 200; i++) {
    t.not(rig.policy.pick({ route: rig.route, isExpendable: true }, new Set())?.target.id, gray);
  }
});

test("a target whose sidecar does not answer is left alone, and tried again later", async (t) => {
  // Story: the path from this sidecar to one target's is cut. Each request that asks
  // there first loses time; once the cut is healed, the target must be found again.
  const rig = new Rig("adaptive");
  await rig.run(500, () => healthy);
  const [target] = rig.table.allTargets().filter((x) => x.id === gray);
  const asked = () =>
    Array.from(
      { length: 200 },
      () => rig.policy.pick({ route: rig.route, isExpendable: true }, new Set())?.target.id,
    ).includes(gray);
  t.true(asked());
  if (target) {
    rig.policy.noteTimeout(target);
  }
  t.false(asked());
  await rig.clock.advance(500);
  rig.announce(gray);
  t.true(asked());
});

/** A policy that knows one target in its own zone, as busy as that, and three in another. */
function zonesRig(busy: Partial<GateLoad>) {
  const rig = new Rig("adaptive");
  rig.announce(TargetId("near"));
  rig.table.merge([
    {
      sidecar_id: "far-sidecar",
      peer_address: "127.0.0.9:1",
      hop_address: "127.0.0.9:2",
      zone: "zone-b",
      revision: 1,
      incarnation: 1,
      gone: false,
      control: false,
      stopping: false,
      targets: ["f0", "f1", "f2"].map((id) => ({
        target_id: id,
        service: "svc",
        url: `http://127.0.0.9/${id}`,
        slots: 4,
        state: "ready",
        health_path: "",
        born: 0,
      })),
    },
  ]);
  const near = rig.table.target(TargetId("near"));
  if (near) {
    const load = { ...idleLoad, slots: 4, ...busy };
    rig.policy.noteReply(near, { kind: "granted", grant: GrantId("b.1"), load }, 1);
  }
  return rig;
}

const zoneCases: readonly {
  name: string;
  bulk: boolean;
  load: Partial<GateLoad>;
  staysNear: boolean;
}[] = [
  { name: "a free target there takes any request", bulk: false, load: {}, staysNear: true },
  {
    name: "with a line there, an ordinary request goes where there is none",
    bulk: false,
    load: { busy: 4, queued: 1, serviceMs: 400 },
    staysNear: false,
  },
  {
    name: "a large one waits for a slot that is soon free there",
    bulk: true,
    load: { busy: 4, queued: 1, serviceMs: 400 },
    staysNear: true,
  },
  {
    name: "a large one does not wait for long",
    bulk: true,
    load: { busy: 4, queued: 20, serviceMs: 400 },
    staysNear: false,
  },
];

for (const { name, bulk, load, staysNear } of zoneCases) {
  test(`own zone: ${name}`, (t) => {
    const rig = zonesRig(load);
    const route = makeRoute({ ...rig.route, bulk });
    const picks = Array.from(
      { length: 100 },
      () => rig.policy.pick({ route, isExpendable: true }, new Set())?.target.id,
    );
    const near = picks.filter((id) => id === TargetId("near")).length;
    t.true(staysNear ? near === 100 : near < 50, `${near} of 100`);
    const elsewhere = rig.policy.pick({ route, isExpendable: true }, new Set([TargetId("near")]));
    t.truthy(elsewhere);
  });
}

test("own zone: where targets there were full one after the other, others are not taken for free", async (t) => {
  // Story: a zone has more callers than others, and hundreds of targets are about. A sidecar hears of
  // each so seldom that it took every one for free, and asked those of its own zone first: requests stood in
  // line there while other zones had room.
  const rig = zonesRig({});
  const ids = ["n0", "n1", "n2"].map((id) => TargetId(id));
  const nearShare = () => {
    const picks = Array.from(
      { length: 100 },
      () => rig.policy.pick({ route: rig.route, isExpendable: true }, new Set())?.target.id,
    );
    return picks.filter((id) => id?.startsWith("n")).length;
  };
  ids.forEach((id) => {
    rig.announce(id);
  });
  t.is(nearShare(), 100);
  for (const id of ids) {
    const target = rig.table.target(id);
    if (target) {
      const load = { ...idleLoad, slots: 4, busy: 4, queued: 3, serviceMs: 400 };
      rig.policy.noteQueued(target, load);
    }
  }
  await rig.clock.advance(2500);
  t.true(nearShare() < 50, "nothing fresh is known of any, but the zone is known to be full");
});

const stops: readonly { name: string; afterMs: number; isPicked: boolean }[] = [
  { name: "has time for the request is picked", afterMs: 0, isPicked: true },
  { name: "ends before the request would is left alone", afterMs: 1400, isPicked: false },
  { name: "has ended, and is known again, is picked", afterMs: 3100, isPicked: true },
];

for (const { name, afterMs, isPicked } of stops) {
  test(`a target whose sidecar is being stopped and ${name}`, async (t) => {
    const { clock, policy, route, table } = zonesRig({ endsInMs: 3000 });
    await clock.advance(afterMs);
    const others = new Set(table.allTargets().map((x) => x.id));
    others.delete(TargetId("near"));
    // Usually takes a third of its objective, of which 5.5 times are to be left.
    const request = { route: { ...route, objectiveMs: 900 }, isExpendable: false };
    t.is(policy.pick(request, others)?.target.id === "near", isPicked);
  });
}
