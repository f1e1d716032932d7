import test from "ava";
import bunyan from "bunyan";
import { FakeClock } from "../../../test/fixtures/FakeClock.ts";
import { EMPTY_DOCUMENT } from "../../common/document/EMPTY_DOCUMENT.ts";
import { WatchSupervisor } from "./WatchSupervisor.ts";

type Events = Parameters<ConstructorParameters<typeof WatchSupervisor>[0]["open"]>[1];

const log = bunyan.createLogger({ name: "test", level: "fatal" });
const update = { kind: "whole", version: 1, document: EMPTY_DOCUMENT } as const;

/** A watch that a test plays the other side of. */
interface FakeWatch {
  readonly address: string;
  readonly events: Events;
  isClosed: boolean;
}

/** A slot that chooses among `replicas` in their order. */
function rig(replicas: readonly string[], take = () => "taken" as "taken" | "gap") {
  const clock = new FakeClock();
  const watches: FakeWatch[] = [];
  const slot = new WatchSupervisor({
    choose: (avoid) => replicas.find((r) => !avoid.has(r)) ?? replicas[0],
    open: (address, events) => {
      const watch = { address, events, isClosed: false };
      watches.push(watch);
      return {
        dispose: () => {
          watch.isClosed = true;
          events.onEnd("closed");
        },
      };
    },
    take,
    clock,
    log,
  });
  const open = () => watches.filter((w) => !w.isClosed).map((w) => w.address);
  return { clock, slot, watches, open };
}

test("watch slot: a watch that is slow to open is raced by others and kept until one opens", async (t) => {
  const { clock, slot, watches, open } = rig(["a", "b", "c"]);
  slot.start();
  await clock.advance(2500);
  t.deepEqual(open(), ["a", "b", "c"]);
  watches[0]?.events.onOpen();
  t.deepEqual(open(), ["a"]);
  await clock.advance(5000);
  t.deepEqual(open(), ["a"], "the race is over");
});

test("watch slot: watches being opened are bounded, and each has six seconds", async (t) => {
  const { clock, slot, open, watches } = rig(["a"]);
  slot.start();
  await clock.advance(5900);
  t.is(open().length, 6);
  t.false(watches[0]?.isClosed);
  await clock.advance(10_000);
  t.is(open().length, 6);
  t.true(watches[0]?.isClosed);
});

test("watch slot: a silent watch is kept until another has opened", async (t) => {
  const { clock, slot, watches, open } = rig(["a", "b"]);
  slot.start();
  watches[0]?.events.onOpen();
  watches[0]?.events.onHeartbeat();
  await clock.advance(2600);
  t.deepEqual(open(), ["a", "b"]);
  watches[1]?.events.onOpen();
  t.deepEqual(open(), ["b"]);
});

test("watch slot: a silent watch that is heard again is kept, and the race ends", async (t) => {
  const { clock, slot, watches, open } = rig(["a", "b"]);
  slot.start();
  watches[0]?.events.onOpen();
  watches[0]?.events.onHeartbeat();
  await clock.advance(2600);
  watches[0]?.events.onHeartbeat();
  await clock.advance(2000);
  t.deepEqual(open(), ["a"]);
});

test("watch slot: a replica that sends no heartbeats is not taken for silent", async (t) => {
  const { clock, slot, watches, open } = rig(["a", "b"]);
  slot.start();
  watches[0]?.events.onOpen();
  await clock.advance(60_000);
  t.deepEqual(open(), ["a"]);
});

const ends: readonly { name: string; end: (events: Events) => void }[] = [
  {
    name: "that ended",
    end: (events) => {
      events.onEnd("reset");
    },
  },
  {
    name: "that missed an edit",
    end: (events) => {
      events.onUpdate(update);
    },
  },
];

for (const { name, end } of ends) {
  test(`watch slot: a watch ${name} is replaced within a fifth of a second`, async (t) => {
    const { clock, slot, watches } = rig(["a"], () => "gap");
    slot.start();
    watches[0]?.events.onOpen();
    if (watches[0]) {
      end(watches[0].events);
    }
    await clock.advance(200);
    t.is(watches.length, 2);
  });
}

test("watch slot: nothing is opened or kept open once it is disposed", async (t) => {
  const { clock, slot, watches, open } = rig(["a", "b"]);
  slot.start();
  watches[0]?.events.onOpen();
  watches[0]?.events.onHeartbeat();
  await clock.advance(2600);
  slot.dispose();
  await clock.advance(10_000);
  t.deepEqual(open(), []);
});
