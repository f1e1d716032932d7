import test from "ava";
import bunyan from "bunyan";
import type { Clock } from "../../common/lifecycle/Clock.ts";
import { DepartureCopies } from "./DepartureCopies.ts";

const log = bunyan.createLogger({ name: "test", level: "fatal" });

type Reply = "copied" | "unreachable" | "silent";

const { copied, unreachable, silent } = {
  copied: "copied",
  unreachable: "unreachable",
  silent: "silent",
} as const;

const cases: readonly {
  name: string;
  replies: readonly Reply[];
  hasPeers?: boolean;
  isLeaving?: boolean;
  isDeparting?: boolean;
  expected: boolean;
}[] = [
  {
    name: "all holders have it",
    replies: [copied, copied, copied, copied, copied],
    expected: true,
  },
  {
    name: "all holders but a silent one have it",
    replies: [copied, silent, copied, copied, copied],
    expected: true,
  },
  {
    name: "only a majority of the holders have it",
    replies: [copied, copied, copied, unreachable, unreachable],
    expected: false,
  },
  { name: "holders are silent", replies: [copied, silent, silent], expected: false },
  { name: "no other member is known yet", replies: [], expected: false },
  { name: "there is no other member", replies: [], hasPeers: false, expected: true },
  { name: "the sidecar is leaving", replies: [copied], isLeaving: true, expected: false },
  { name: "nothing departs", replies: [unreachable], isDeparting: false, expected: true },
];

for (const c of cases) {
  const { name, replies, hasPeers = true, isLeaving = false, isDeparting = true, expected } = c;
  test(`departure copies: ${name}: ${expected ? "" : "not "}to be acknowledged`, async (t) => {
    // Guards against acknowledged departures that a kill of this process loses.
    const send = (reply: Reply) => () =>
      reply === "copied"
        ? Promise.resolve({ predecessor: null })
        : reply === "silent"
          ? new Promise<never>(() => undefined)
          : Promise.reject(new Error("unreachable"));
    const copies = new DepartureCopies({
      table: {
        departed: () => (isDeparting ? [{ target_id: "t", born: 0, sequence: 0, left: true }] : []),
        isLeaving,
      },
      holders: () => replies.map((r, n) => ({ id: `s${n}`, incarnation: 1, send: send(r) })),
      hasPeers: () => hasPeers,
      clock: immediateTimeouts,
      log,
    });
    t.is(await copies.secure(), expected);
  });
}

/** A clock whose timeouts are over once all promises that can be settled are. */
const immediateTimeouts: Clock = {
  now: () => 0,
  after: (_, callback) => {
    const timer = setImmediate(callback);
    return {
      cancel: () => {
        clearImmediate(timer);
      },
    };
  },
  timeout: (ms, callback) => immediateTimeouts.after(ms, callback),
};
