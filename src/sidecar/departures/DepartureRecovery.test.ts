import test from "ava";
import bunyan from "bunyan";
import type { Clock } from "../../common/lifecycle/Clock.ts";
import { DepartureRecovery } from "./DepartureRecovery.ts";

const log = bunyan.createLogger({ name: "test", level: "fatal" });

const DEPARTURE = { target_id: "t", born: 0, sequence: 0, left: true };

const NEVER: Clock = {
  now: () => 0,
  after: () => ({ cancel: () => undefined }),
  timeout: () => ({ cancel: () => undefined }),
};

interface Holder {
  /** Time for which its process has been running, ms; this sidecar's runs for one second. */
  readonly runningMs?: number;
  readonly hasSameView?: boolean;
  readonly isDown?: boolean;
}

/** A control replica; one that lost its disk lately is not complete. */
interface Voter {
  readonly isComplete?: boolean;
  readonly isDown?: boolean;
  readonly hasDeparture?: boolean;
}

type State = "held" | "released" | "expired";

const old: Holder = { runningMs: 11_000, hasSameView: true };
const restarted: Holder = { runningMs: 1500, hasSameView: true };
const elsewhere: Holder = { runningMs: 60_000, hasSameView: false };
const downHolder: Holder = { isDown: true };
const complete: Voter = { isComplete: true };
const wiped: Voter = { isComplete: false };
const down: Voter = { isDown: true };

const cases: readonly {
  name: string;
  holders?: readonly Holder[];
  voters?: readonly Voter[];
  runningMs?: number;
  expected: State;
}[] = [
  {
    name: "a majority of the control replicas",
    voters: [complete, complete, down],
    expected: "released",
  },
  { name: "one of three control replicas", voters: [complete, down, down], expected: "held" },
  {
    name: "control replicas that lost their disks",
    voters: [complete, wiped, wiped],
    expected: "held",
  },
  { name: "all holders but one", holders: [old, old, old, old, downHolder], expected: "released" },
  {
    name: "a majority of the holders",
    holders: [old, old, old, downHolder, downHolder],
    expected: "held",
  },
  {
    name: "holders that were restarted too",
    holders: [old, old, old, restarted, restarted],
    expected: "held",
  },
  {
    name: "the only member known so far, with another view",
    holders: [elsewhere],
    expected: "held",
  },
  { name: "no member yet", expected: "held" },
  {
    name: "nobody in ten seconds",
    holders: [downHolder],
    voters: [down],
    runningMs: 10_000,
    expected: "expired",
  },
];

for (const { name, holders = [], voters = [], runningMs = 1000, expected } of cases) {
  test(`departure recovery: ${name}: targets are ${expected}`, async (t) => {
    // Guards against trust in members that never had a copy, or have lost it, and against targets that are held for ever.
    const targets: { state: State } = { state: "held" };
    const group = voters.map((_, n) => ({ id: `c${n}`, address: `c${n}` }));
    const recovery = new DepartureRecovery({
      table: {
        beginRecovery: () => undefined,
        endRecovery: () => (targets.state = "released"),
        expireRecovery: () => (targets.state = "expired"),
        get isRecovering() {
          return targets.state === "held";
        },
        restoreDepartures: () => false,
        departed: () => [],
        checksum: 1,
        runningMs,
      },
      control: {
        addresses: () => group.slice(0, 1).map((v) => v.address),
        ask: (address) => {
          const { isComplete = false, isDown } = voters[Number(address.slice(1))] ?? {};
          const reply = {
            replica: address,
            voters: group,
            next_voters: [],
            group_index: 1,
            complete: isComplete,
          };
          return isDown
            ? Promise.reject(new Error("unreachable"))
            : Promise.resolve({ ...reply, departed: [DEPARTURE] });
        },
      },
      holders: () =>
        holders.map(({ isDown, hasSameView, runningMs: running_ms = 0 }, n) => ({
          id: `s${n}`,
          send: () =>
            isDown
              ? Promise.reject(new Error("unreachable"))
              : Promise.resolve({ checksum: hasSameView ? 1 : 2, running_ms }),
        })),
      onTargetsChanged: () => undefined,
      clock: NEVER,
      log,
    });
    void recovery.askControl();
    await new Promise((resolve) => setImmediate(resolve));
    await recovery.step();
    t.is(targets.state, expected);
  });
}
