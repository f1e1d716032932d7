import test from "ava";
import bunyan from "bunyan";
import { FakeClock } from "../../../test/fixtures/FakeClock.ts";
import { EMPTY_DOCUMENT } from "../../common/document/EMPTY_DOCUMENT.ts";
import { WatchSupervisor } from "./WatchSupervisor.ts";

type Events = Parameters<ConstructorParameters<typeof WatchSupervisor>[0]["open"]>[1];

const log = bunyan.createLogger({ name: "test", level: "fatal" });
const update = { kind: "whole", version: 1, document: EMPTY_DOCUMENT } as const;

/** A watch whose events the test triggers. */
interface FakeWatch {
  readonly address: string;
  readonly events: Events;
  isClosed: boolean;
}

/** A supervisor that chooses the first of `replicas` that is not to be avoided. */
function setUp(replicas: readonly string[], apply = () => "taken" as "taken" | "gap") {
  const clock = new FakeClock();
  const watches: FakeWatch[] = [];
  const failed: string[] = [];
  const better: { is: (address: string) => boolean } = { is: () => false };
  const supervisor = new WatchSupervisor({
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
    hasBetter: (address) => better.is(address),
    onFailure: (address) => {
      failed.push(address);
    },
    apply,
    clock,
    log,
  });
  const open = () => watches.filter((w) => !w.isClosed).map((w) => w.address);
  return { clock, supervisor, watches, open, failed, better };
}

test("watch that is slow to open is raced by others, and kept until one opens", async (t) => {
  const { clock, supervisor, watches, open } = setUp(["a", "b", "c"]);
  supervisor.start();
  await clock.advance(2500);
  t.deepEqual(open(), ["a", "b", "c"]);
  watches[0]?.events.onOpen();
  t.deepEqual(open(), ["a"]);
  await clock.advance(5000);
  t.deepEqual(open(), ["a"], "the race is over");
});

test("number of watches being opened is bounded, and each has 6 s", async (t) => {
  const { clock, supervisor, open, watches } = setUp(["a"]);
  supervisor.start();
  await clock.advance(5900);
  t.is(open().length, 6);
  t.false(watches[0]?.isClosed);
  await clock.advance(10_000);
  t.is(open().length, 6);
  t.true(watches[0]?.isClosed);
});

test("silent watch is kept until another has opened", async (t) => {
  const { clock, supervisor, watches, open, failed } = setUp(["a", "b"]);
  supervisor.start();
  watches[0]?.events.onOpen();
  watches[0]?.events.onHeartbeat();
  await clock.advance(2600);
  t.deepEqual(open(), ["a", "b"]);
  watches[1]?.events.onOpen();
  t.deepEqual(open(), ["b"]);
  t.deepEqual(failed, ["a"]);
});

test("watch of a replica is replaced by one of a better replica, and kept until that has opened", async (t) => {
  const { clock, supervisor, watches, open, failed, better } = setUp(["a", "b"]);
  supervisor.start();
  watches[0]?.events.onOpen();
  await clock.advance(10_000);
  t.deepEqual(open(), ["a"], "there is no better one yet");
  better.is = (address) => address === "a";
  await clock.advance(10_000);
  t.deepEqual(open(), ["a", "b"]);
  watches[1]?.events.onOpen();
  await clock.advance(30_000);
  t.deepEqual(open(), ["b"]);
  t.deepEqual(failed, [], "neither has failed");
});

test("silent watch that receives a heartbeat again is kept, and the race ends", async (t) => {
  const { clock, supervisor, watches, open } = setUp(["a", "b"]);
  supervisor.start();
  watches[0]?.events.onOpen();
  watches[0]?.events.onHeartbeat();
  await clock.advance(2600);
  watches[0]?.events.onHeartbeat();
  await clock.advance(2000);
  t.deepEqual(open(), ["a"]);
});

test("replica that never sends heartbeats is not considered silent", async (t) => {
  const { clock, supervisor, watches, open } = setUp(["a", "b"]);
  supervisor.start();
  watches[0]?.events.onOpen();
  await clock.advance(60_000);
  t.deepEqual(open(), ["a"]);
});

const ends: readonly { name: string; isFailure: boolean; end: (events: Events) => void }[] = [
  {
    name: "that ended",
    isFailure: true,
    end: (events) => {
      events.onEnd("reset");
    },
  },
  {
    name: "that missed an edit",
    isFailure: false,
    end: (events) => {
      events.onUpdate(update);
    },
  },
];

for (const { name, isFailure, end } of ends) {
  test(`watch ${name} is replaced within 200 ms`, async (t) => {
    const { clock, supervisor, watches, failed } = setUp(["a"], () => "gap");
    supervisor.start();
    watches[0]?.events.onOpen();
    if (watches[0]) {
      end(watches[0].events);
    }
    await clock.advance(200);
    t.is(watches.length, 2);
    t.deepEqual(failed, isFailure ? ["a"] : []);
  });
}

test("no watch is opened or kept open after the supervisor is disposed", async (t) => {
  const { clock, supervisor, watches, open } = setUp(["a", "b"]);
  supervisor.start();
  watches[0]?.events.onOpen();
  watches[0]?.events.onHeartbeat();
  await clock.advance(2600);
  supervisor.dispose();
  await clock.advance(10_000);
  t.deepEqual(open(), []);
});
