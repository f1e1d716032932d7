import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import test from "ava";
import bunyan from "bunyan";
import type { Clock } from "../../common/lifecycle/Clock.ts";
import { SyncedJournal } from "../../common/storage/SyncedJournal.ts";
import { DepartureStore } from "./DepartureStore.ts";

const log = bunyan.createLogger({ name: "test", level: "fatal" });

const DEPARTURE = { target_id: "t", born: 0, sequence: 0, left: true };

/** A disk of a control replica, and a fake clock. */
class Disk {
  readonly path = join(mkdtempSync(join(tmpdir(), "burdockpass-departures-")), "departures.jsonl");
  #now = 0;
  #timers: { due: number; callback: () => void }[] = [];

  start(isFirstStart: boolean): DepartureStore {
    const after: Clock["after"] = (ms, callback) => {
      this.#timers.push({ due: this.#now + ms, callback });
      return { cancel: () => undefined };
    };
    const clock = { now: () => this.#now, after, timeout: after };
    const journal = new SyncedJournal<never>(this.path);
    const store = new DepartureStore({ journal, isFirstStart, clock, log });
    store.open();
    return store;
  }

  wait(ms: number): void {
    this.#now += ms;
    const due = this.#timers.filter((timer) => timer.due <= this.#now);
    this.#timers = this.#timers.filter((timer) => timer.due > this.#now);
    due.forEach(({ callback }) => {
      callback();
    });
  }

  /** The process is killed. */
  kill(): void {
    this.#timers = [];
  }
}

test("departure store: a departure is still there after a kill, and is gone after its time", async (t) => {
  // Guards against departures that a kill of all processes loses.
  const disk = new Disk();
  await disk.start(true).store("s", [DEPARTURE]);
  const store = disk.start(false);
  t.deepEqual(store.of("s"), [DEPARTURE]);
  t.deepEqual(store.of("other"), []);
  disk.wait(60_001);
  t.deepEqual(store.of("s"), []);
});

test("departure store: a departure that is repeated near the end of its time is stored anew", async (t) => {
  // Guards against an acknowledgement for a departure that is about to be forgotten.
  const disk = new Disk();
  const store = disk.start(true);
  await store.store("s", [DEPARTURE]);
  disk.wait(55_000);
  await store.store("s", [DEPARTURE]);
  disk.wait(20_000);
  t.deepEqual(store.of("s"), [DEPARTURE]);
});

const cases: readonly {
  name: string;
  run: (disk: Disk) => DepartureStore;
  isComplete: boolean;
}[] = [
  { name: "the first start of the group", run: (disk) => disk.start(true), isComplete: true },
  { name: "an empty disk later", run: (disk) => disk.start(false), isComplete: false },
  {
    name: "an empty disk, ten seconds later",
    run: (disk) => {
      const store = disk.start(false);
      disk.wait(10_000);
      return store;
    },
    isComplete: true,
  },
  {
    name: "an empty disk, and a kill before ten seconds have passed",
    run: (disk) => {
      disk.start(false);
      disk.wait(9000);
      disk.kill();
      return disk.start(false);
    },
    isComplete: false,
  },
  {
    name: "an empty disk, ten seconds without a departure, and a kill",
    run: (disk) => {
      disk.start(false);
      disk.wait(10_000);
      disk.kill();
      return disk.start(false);
    },
    isComplete: true,
  },
  {
    name: "a kill",
    run: (disk) => {
      disk.start(true);
      return disk.start(false);
    },
    isComplete: true,
  },
  {
    name: "a damaged file",
    run: (disk) => {
      disk.start(true);
      writeFileSync(disk.path, '{"kind":"complete"}\n{"kind":"depar\n');
      return disk.start(false);
    },
    isComplete: false,
  },
];

for (const { name, run, isComplete } of cases) {
  test(`departure store: after ${name}, it is ${isComplete ? "" : "not "}complete`, (t) => {
    // Guards against trust in a control replica that may lack departures, as its disk was lost.
    t.is(run(new Disk()).isComplete, isComplete);
  });
}
