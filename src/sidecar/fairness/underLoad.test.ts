import test from "ava";
import { FakeClock } from "../../../test/fixtures/FakeClock.ts";
import { makeSlotRequest } from "../../../test/fixtures/makeSlotRequest.ts";
import { seededRandom } from "../../../test/fixtures/seededRandom.ts";
import { WorkspaceName } from "../../common/ids/WorkspaceName.ts";
import { AlwaysHealthyDetector } from "../detection/AlwaysHealthyDetector.ts";
import { AttemptOutcome } from "../detection/AttemptOutcome.ts";
import { Gate } from "../gate/Gate.ts";
import { GrantIds } from "../gate/GrantIds.ts";

const SLOTS = 6;
/** Mean time of a run, ms: the target serves 12 requests a second. */
const WORK_MS = 500;
const OBJECTIVE_MS = 1600;
const DEADLINE_MS = 8000;
const SECONDS = 40;

/** What the callers of one workspace got. */
interface Got {
  sent: number;
  refused: number;
  /** Time from each served request to the end of its run, ms. */
  readonly responseMs: number[];
}

interface Load {
  /** Requests a second by workspace. */
  readonly rates: Readonly<Record<string, number>>;
  readonly weights?: Readonly<Record<string, number>>;
  readonly isFair: boolean;
}

/** Sends the load to a gate; a request that is refused is sent once more at once. */
async function simulate({ rates, weights = {}, isFair }: Load): Promise<Map<string, Got>> {
  const clock = new FakeClock();
  const random = seededRandom(7);
  const rule = { weightOf: (workspace: string) => weights[workspace] ?? 1 };
  const gate = new Gate({
    target: () => ({ slots: SLOTS, acceptsRequests: true }),
    detector: AlwaysHealthyDetector,
    clock,
    grants: new GrantIds("sim"),
    fairShareRule: () => (isFair ? rule : undefined),
  });
  const got = new Map<string, Got>();
  let attempts = 0;
  const send = (workspace: string, record: Got, isRetry = false) => {
    const sentAt = clock.now();
    const request = makeSlotRequest({
      attempt: `a${attempts++}`,
      workspace: WorkspaceName(workspace),
      objectiveMs: OBJECTIVE_MS,
      remainingMs: DEADLINE_MS,
      typicalMs: WORK_MS,
    });
    gate.requestSlot(request, (reply) => {
      if (reply.kind === "refused") {
        record.refused += isRetry ? 1 : 0;
        if (!isRetry) {
          clock.after(0, () => {
            send(workspace, record, true);
          });
        }
        return;
      }
      gate.redeem(reply.grant);
      clock.after(WORK_MS * (0.5 + random()), () => {
        record.responseMs.push(clock.now() - sentAt);
        gate.end(reply.grant, AttemptOutcome.Ok);
      });
    });
  };
  const arrive = (workspace: string, perS: number, record: Got) => {
    clock.after((-Math.log(1 - random()) * 1000) / perS, () => {
      if (clock.now() < SECONDS * 1000) {
        record.sent += 1;
        send(workspace, record);
        arrive(workspace, perS, record);
      }
    });
  };
  for (const [workspace, perS] of Object.entries(rates)) {
    const record: Got = { sent: 0, refused: 0, responseMs: [] };
    got.set(workspace, record);
    arrive(workspace, perS, record);
  }
  await clock.advance(SECONDS * 1000 + 2 * DEADLINE_MS);
  return got;
}

/** Shares of the requests of some workspaces that were served, and that were served within their objective, 0 to 1. */
function outcomeOf(got: Map<string, Got>, names: readonly string[]) {
  const all = names.flatMap((name) => got.get(name) ?? []);
  const sent = all.reduce((sum, g) => sum + g.sent, 0);
  const served = all.flatMap((g) => g.responseMs);
  const inTime = served.filter((ms) => ms <= OBJECTIVE_MS);
  return { sent, served: served.length / sent, inTime: inTime.length / sent, count: served.length };
}

/** Seven workspaces that send their usual load, two thirds of what the target serves together with an eighth one. */
const USUAL = Object.fromEntries(Array.from({ length: 7 }, (_, n) => [`w${n}`, 1]));

const cases: readonly {
  name: string;
  load: Load;
  /** Least and greatest share of the others' requests that are served within their objective. */
  othersInTime: readonly [number, number];
  /** Least share of the large workspace's requests that are served. */
  largeServed: number;
}[] = [
  {
    name: "a usual load is served whole",
    load: { rates: { ...USUAL, large: 1 }, isFair: true },
    othersInTime: [0.99, 1],
    largeServed: 1,
  },
  {
    name: "one workspace at eight times its usual rate makes the others late without fair sharing",
    load: { rates: { ...USUAL, large: 8 }, isFair: false },
    othersInTime: [0, 0.75],
    largeServed: 0.8,
  },
  {
    // The large one gets the 5 requests a second that the others leave.
    name: "one workspace at eight times its usual rate makes no others late, and gets all that they leave",
    load: { rates: { ...USUAL, large: 8 }, isFair: true },
    othersInTime: [0.98, 1],
    largeServed: 0.6,
  },
  {
    name: "one workspace at thirty times its usual rate makes no others late either",
    load: { rates: { ...USUAL, large: 30 }, isFair: true },
    othersInTime: [0.98, 1],
    largeServed: 0.15,
  },
  {
    name: "requests that name no workspace share one queue",
    load: { rates: { ...USUAL, "": 30 }, isFair: true },
    othersInTime: [0.98, 1],
    largeServed: 0.15,
  },
  {
    name: "a workspace that is alone uses the whole target",
    load: { rates: { large: 11 }, isFair: true },
    othersInTime: [NaN, NaN],
    largeServed: 0.97,
  },
];

for (const { name, load, othersInTime, largeServed } of cases) {
  test(`fair shares under load: ${name}`, async (t) => {
    const got = await simulate(load);
    const large = outcomeOf(got, ["large", ""]);
    const others = outcomeOf(got, Object.keys(USUAL));
    t.log({ large, others });
    t.true(large.served >= largeServed);
    t.false(others.inTime < othersInTime[0] || others.inTime > othersInTime[1]);
  });
}

test("fair shares under load: workspaces that all send too much are served by weight", async (t) => {
  const weights = { a: 1, b: 2, c: 3 };
  const got = await simulate({ rates: { a: 20, b: 20, c: 20 }, weights, isFair: true });
  const total = outcomeOf(got, ["a", "b", "c"]).count;
  for (const [name, weight] of Object.entries(weights)) {
    const share = outcomeOf(got, [name]).count / total;
    t.true(Math.abs(share - weight / 6) < 0.04, `${name}: ${share}`);
  }
});
