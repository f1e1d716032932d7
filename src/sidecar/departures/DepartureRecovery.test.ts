import test from "ava";
import bunyan from "bunyan";
import type { ProtoTypes } from "../../common/rpc/ProtoTypes.ts";
import { DepartureRecovery } from "./DepartureRecovery.ts";

const log = bunyan.createLogger({ name: "test", level: "fatal" });

/** Start time of the recovering sidecar, ms. */
const STARTED_AT = 100_000;

interface Holder {
  /** It has returned the entry of an earlier incarnation. */
  readonly knowsPredecessor?: boolean;
  /** Time for which it has been running, ms. */
  readonly ageMs?: number;
  readonly isDown?: boolean;
}

const witness: Holder = { knowsPredecessor: true };
const restarted: Holder = { ageMs: 500 };
const old: Holder = { ageMs: 60_000 };
const down: Holder = { isDown: true };

const cases: readonly {
  name: string;
  holders: readonly Holder[];
  /** Time since the start, ms. */
  elapsedMs?: number;
  ends: boolean;
}[] = [
  { name: "a majority of witnesses", holders: [witness, witness, witness, down, down], ends: true },
  { name: "old members that never knew it", holders: [old, old, old], ends: true },
  { name: "too few witnesses", holders: [witness, witness, down, down], ends: false },
  {
    name: "members that were restarted with it",
    holders: [witness, restarted, restarted],
    ends: false,
  },
  { name: "no member yet", holders: [], ends: false },
  {
    name: "no witness in ten seconds",
    holders: [restarted, down, down],
    elapsedMs: 10_000,
    ends: true,
  },
];

for (const { name, holders, elapsedMs = 0, ends } of cases) {
  test(`departure recovery: ${name}: targets are ${ends ? "no longer" : "still"} held`, async (t) => {
    // Guards against trust in members that have lost their copies, and against targets that are held for ever.
    let isRecovering = true;
    const clock = { at: 0 };
    const recovery = new DepartureRecovery({
      table: {
        beginRecovery: () => undefined,
        endRecovery: () => {
          isRecovering = false;
        },
        get isRecovering() {
          return isRecovering;
        },
        departed: () => [],
        own: { incarnation: STARTED_AT } as ProtoTypes["Member"],
      },
      holders: () =>
        holders.map(({ knowsPredecessor, ageMs = 0, isDown }, n) => ({
          id: `s${n}`,
          incarnation: STARTED_AT - ageMs,
          send: () =>
            isDown
              ? Promise.reject(new Error("unreachable"))
              : Promise.resolve({
                  predecessor: knowsPredecessor ? { incarnation: 1, departed: [] } : null,
                }),
        })),
      onTargetsChanged: () => undefined,
      clock: {
        now: () => clock.at,
        after: () => ({ cancel: () => undefined }),
        timeout: () => ({ cancel: () => undefined }),
      },
      log,
    });
    clock.at = elapsedMs;
    await recovery.step();
    t.is(!isRecovering, ends);
  });
}
