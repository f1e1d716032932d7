import test from "ava";
import fc from "fast-check";
import { FakeClock } from "../../../test/fixtures/FakeClock.ts";
import { makeSlotRequest } from "../../../test/fixtures/makeSlotRequest.ts";
import { GrantId } from "../../common/ids/GrantId.ts";
import { WorkspaceName } from "../../common/ids/WorkspaceName.ts";
import type { QueuedRequest } from "../gate/QueuedRequest.ts";
import { ServiceTime } from "../gate/ServiceTime.ts";
import { FairShares } from "./FairShares.ts";

const COST_MS = 100;

/** Fair sharing at a target with two slots; weights by workspace, 1 by default. */
function rig(weights: Readonly<Record<string, number>> = {}) {
  const rule = { weightOf: (workspace: string) => weights[workspace] ?? 1 };
  const state = { isOn: true };
  const shares = new FairShares({
    rule: () => (state.isOn ? rule : undefined),
    slots: () => 2,
    serviceTime: new ServiceTime(),
    clock: new FakeClock(),
  });
  let grants = 0;
  const grant = (waiting: QueuedRequest) => {
    const id = GrantId(`g${grants++}`);
    shares.recordGrant(id, waiting);
    return id;
  };
  return { shares, state, grant };
}

/** A request named by its workspace and a number, as "a1"; by default it is on time. */
function queued(name: string, over: Parameters<typeof makeSlotRequest>[0] = {}): QueuedRequest {
  const workspace = WorkspaceName(name.slice(0, 1));
  const defaults = { attempt: name, workspace, typicalMs: COST_MS, objectiveMs: 5000 };
  return { request: makeSlotRequest({ ...defaults, ...over }), receivedAt: 0, virtualArrivalMs: 0 };
}

const list = (names: string) => names.split(" ").map((name) => queued(name));
const namesOf = (waiting: readonly QueuedRequest[] | undefined) =>
  waiting?.map((w) => w.request.attempt).join(" ");

const LATE = { objectiveMs: 0 };

const orders: readonly {
  name: string;
  weights?: Readonly<Record<string, number>>;
  /** Granted before, in order. */
  granted?: string;
  queue: readonly QueuedRequest[];
  order: string;
}[] = [
  {
    name: "workspaces take turns, whoever has the longest queue",
    queue: list("a1 a2 a3 b1 c1 b2"),
    order: "a1 b1 c1 a2 b2 a3",
  },
  {
    name: "a workspace of weight 2 gets two turns",
    weights: { a: 2 },
    queue: list("b1 b2 b3 a1 a2 a3 a4"),
    order: "b1 a1 a2 b2 a3 a4 b3",
  },
  {
    name: "the cost of a request is its time in the slot",
    queue: [queued("a1", { typicalMs: 300 }), ...list("a2 b1 b2 b3 b4")],
    order: "a1 b1 b2 b3 a2 b4",
  },
  {
    name: "a workspace that was granted slots comes after one that was not",
    granted: "a8 a9",
    queue: list("a1 b1"),
    order: "b1 a1",
  },
  {
    name: "nested calls stay first",
    granted: "b9",
    queue: [...list("a1 a2"), queued("b1", { isNestedCall: true })],
    order: "b1 a1 a2",
  },
  {
    name: "requests on time stay before late ones of workspaces that had less",
    granted: "a9",
    queue: [queued("b1", LATE), queued("a1")],
    order: "a1 b1",
  },
  {
    name: "late requests share the slots that are left",
    queue: [queued("a1", LATE), queued("a2", LATE), queued("b1", LATE)],
    order: "a1 b1 a2",
  },
  {
    name: "priority is a head start",
    queue: [queued("a1", { priority: 1 }), queued("b1", { priority: 0 })],
    order: "b1 a1",
  },
  {
    // Two slots and a total weight of 2: a level is worth 100 ms of virtual time, one request.
    name: "priority does not starve lower levels",
    queue: [
      queued("a1", { priority: 1 }),
      ...["b1", "b2", "b3"].map((name) => queued(name, { priority: 0 })),
    ],
    order: "b1 b2 a1 b3",
  },
  {
    name: "the earliest due of a workspace goes first",
    queue: [queued("a1", { objectiveMs: 4000 }), queued("a2", { objectiveMs: 3000 })],
    order: "a2 a1",
  },
];

for (const { name, weights, granted = "", queue, order } of orders) {
  test(`fair shares, order: ${name}`, (t) => {
    const { shares, grant } = rig(weights);
    if (granted !== "") {
      list(granted).forEach(grant);
    }
    t.is(namesOf(shares.arrange(queue, 0)), order);
  });
}

test("fair shares: a workspace that was idle saves up nothing, and owes nothing for what it used alone", (t) => {
  const { shares, grant } = rig();
  list("a1 a2 a3 a4 a5").forEach(grant);
  const arrived = { virtualArrivalMs: shares.virtualMs };
  const queue = list("b1 b2 b3 a6 a7").map((w) => ({ ...w, ...arrived }));
  t.is(namesOf(shares.arrange(queue, 0)), "b1 b2 a6 b3 a7");
});

test("fair shares: a grant that was revoked unused costs nothing", (t) => {
  const { shares, grant } = rig();
  shares.recordRevoked(grant(queued("a9")));
  t.is(namesOf(shares.arrange(list("a1 b1"), 0)), "a1 b1");
});

test("fair shares: while off, nothing is arranged, refused or reported", (t) => {
  const { shares, state, grant } = rig();
  state.isOn = false;
  shares.recordEnd(grant(queued("a1")), COST_MS);
  t.is(shares.arrange(list("a1"), 0), undefined);
  t.is(shares.chooseRefused(queued("b1"), list("a1 a2 a3")), undefined);
  t.deepEqual(shares.shares, []);
});

test("fair shares: workspaces with queued requests differ by one request at most, by weight", (t) => {
  const flow = fc.record({
    weight: fc.integer({ min: 1, max: 9 }),
    costs: fc.array(fc.integer({ min: 10, max: 900 }), { minLength: 30, maxLength: 30 }),
  });
  const property = fc.property(fc.array(flow, { minLength: 2, maxLength: 5 }), (flows) => {
    const names = flows.map((_, n) => String(n));
    const { shares, grant } = rig(Object.fromEntries(flows.map((f, n) => [n, f.weight])));
    let queue = flows.flatMap(({ costs }, n) => costs.map((c) => queued(`${n}`, { typicalMs: c })));
    const used = new Map(names.map((name) => [name, 0]));
    const largest = flows.map(({ weight, costs }) => Math.max(...costs) / weight);
    for (let turn = 0; turn < 25; turn++) {
      const [first] = shares.arrange(queue, 0) ?? [];
      t.truthy(first);
      if (first) {
        grant(first);
        queue = queue.filter((w) => w !== first);
        const name = first.request.attempt;
        const weight = flows[Number(name)]?.weight ?? NaN;
        used.set(name, (used.get(name) ?? 0) + first.request.typicalMs / weight);
      }
      const uses = [...used.values()];
      const bound = largest.toSorted((a, b) => b - a).slice(0, 2);
      t.true(Math.max(...uses) - Math.min(...uses) <= (bound[0] ?? 0) + (bound[1] ?? 0) + 1e-6);
    }
  });
  fc.assert(property, { numRuns: 60, seed: 5 });
});

const refusals: readonly {
  name: string;
  weights?: Readonly<Record<string, number>>;
  running?: string;
  queue: string;
  newcomer: QueuedRequest;
  refused: string | undefined;
}[] = [
  {
    name: "the last request of the workspace furthest over its share",
    queue: "a1 a2 a3 a4 b1 b2 c1",
    newcomer: queued("d1"),
    refused: "a4",
  },
  {
    name: "what runs counts as well",
    running: "b8 b9",
    queue: "a1 a2 b1",
    newcomer: queued("c1"),
    refused: "b1",
  },
  {
    name: "a workspace of large weight is entitled to more",
    weights: { a: 9 },
    queue: "a1 a2 a3 a4 b1 b2 b3",
    newcomer: queued("c1"),
    refused: "b3",
  },
  {
    name: "the newcomer if its workspace is over its share",
    queue: "a1 a2 a3 b1",
    newcomer: queued("a4"),
    refused: "a4",
  },
  {
    name: "none within one workspace",
    queue: "a1 a2 a3",
    newcomer: queued("a4"),
    refused: undefined,
  },
  {
    name: "none if none is over its share",
    queue: "a1 b1 c1",
    newcomer: queued("d1"),
    refused: undefined,
  },
  {
    name: "room is made for a nested call",
    queue: "a1 a2 a3 b1",
    newcomer: queued("a4", { isNestedCall: true }),
    refused: "a3",
  },
];

for (const { name, weights, running = "", queue, newcomer, refused } of refusals) {
  test(`fair shares, refused when full: ${name}`, (t) => {
    const { shares, grant } = rig(weights);
    if (running !== "") {
      list(running).forEach(grant);
    }
    const chosen: string | undefined = shares.chooseRefused(newcomer, list(queue))?.waiting.request
      .attempt;
    t.is(chosen, refused);
  });
}

test("fair shares: nested calls are neither charged nor refused", (t) => {
  const { shares, grant } = rig();
  const nested = (name: string) => queued(name, { isNestedCall: true });
  [nested("a8"), nested("a9")].forEach(grant);
  t.is(namesOf(shares.arrange(list("a1 b1"), 0)), "a1 b1");
  const calls = [nested("a2"), nested("a3"), nested("a4"), queued("b1")];
  t.is(shares.chooseRefused(queued("c1"), calls), undefined);
});

test("fair shares: reports the ten largest users, and all others together", (t) => {
  const { shares, grant } = rig();
  for (let n = 0; n < 12; n++) {
    shares.recordEnd(grant(queued(String.fromCharCode(97 + n))), 10 * (12 - n));
  }
  shares.recordEnd(grant(queued("x", { isNestedCall: true })), 120);
  shares.recordEnd(grant(queued("x", { workspace: undefined })), 105);
  const users = shares.shares.map(({ user }) => user);
  t.deepEqual(users.slice(0, 4).sort(), ["a", "b", "nested calls", "no workspace"].sort());
  t.is(users.length, 11);
  t.is(users.at(-1), "all others");
  t.true(Math.abs(shares.shares.reduce((sum, { share }) => sum + share, 0) - 1) < 1e-9);
});
