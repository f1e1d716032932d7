import test from "ava";
import bunyan from "bunyan";
import type { Clock } from "../../common/lifecycle/Clock.ts";
import type { DepartureControl } from "./DepartureControl.ts";
import { DepartureCopies } from "./DepartureCopies.ts";

const log = bunyan.createLogger({ name: "test", level: "fatal" });

type Reply = "copied" | "unreachable" | "silent";

const { copied, unreachable, silent } = {
  copied: "copied",
  unreachable: "unreachable",
  silent: "silent",
} as const;

const NO_CONTROL = { addresses: () => [], ask: () => Promise.reject(new Error("unreachable")) };

/** A control replica of a group of three; the others are unreachable. */
function controlOf(reachable: number): DepartureControl {
  const voters = ["c0", "c1", "c2"].map((id) => ({ id, address: id }));
  return {
    addresses: () => ["c0"],
    ask: (address, departed) =>
      Number(address.slice(1)) < reachable
        ? Promise.resolve({
            ...{ replica: address, voters, next_voters: [], group_index: 1, complete: false },
            departed: [...departed],
          })
        : Promise.reject(new Error("unreachable")),
  };
}

const cases: readonly {
  name: string;
  replies: readonly Reply[];
  hasPeers?: boolean;
  isLeaving?: boolean;
  isDeparting?: boolean;
  control?: DepartureControl;
  /** Whether this sidecar was started lately, and its view differs from those of the others. */
  isViewPartial?: boolean;
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
  {
    name: "all holders have it, and a majority of the control replicas",
    replies: [copied, copied],
    control: controlOf(2),
    expected: true,
  },
  {
    name: "all holders have it, but only one of three control replicas",
    replies: [copied, copied],
    control: controlOf(1),
    expected: false,
  },
  {
    name: "all holders have it, but they are chosen from a partial view",
    replies: [copied, copied],
    isViewPartial: true,
    expected: false,
  },
  { name: "the sidecar is leaving", replies: [copied], isLeaving: true, expected: false },
  { name: "nothing departs", replies: [unreachable], isDeparting: false, expected: true },
];

for (const c of cases) {
  const { name, replies, hasPeers = true, isLeaving = false, isDeparting = true, expected } = c;
  const { control = NO_CONTROL, isViewPartial = false } = c;
  test(`departure copies: ${name}: ${expected ? "" : "not "}to be acknowledged`, async (t) => {
    // Guards against acknowledged departures that a kill of this process loses.
    const send = (reply: Reply) => () =>
      reply === "copied"
        ? Promise.resolve({ checksum: isViewPartial ? 2 : 1, running_ms: 0 })
        : reply === "silent"
          ? new Promise<never>(() => undefined)
          : Promise.reject(new Error("unreachable"));
    const copies = new DepartureCopies({
      table: {
        departed: () => (isDeparting ? [{ target_id: "t", born: 0, sequence: 0, left: true }] : []),
        isLeaving,
        memberCount: 1,
        checksum: 1,
        runningMs: 0,
      },
      control,
      holders: () => replies.map((r, n) => ({ id: `s${n}`, send: send(r) })),
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
