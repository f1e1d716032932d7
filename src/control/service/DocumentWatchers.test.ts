import test from "ava";
import bunyan from "bunyan";
import { EMPTY_DOCUMENT } from "../../common/document/EMPTY_DOCUMENT.ts";
import { ConfigState } from "../log/ConfigState.ts";
import { DocumentWatchers } from "./DocumentWatchers.ts";

const log = bunyan.createLogger({ name: "test", level: "fatal" });

/** Watchers of a replica with version 3, whose state is known to be current until the test says otherwise. */
function setUp() {
  const state = new ConfigState({ version: 3, document: EMPTY_DOCUMENT, accepted: [] });
  const listeners = new Set<() => void>();
  const replica = {
    currentState: state as ConfigState | undefined,
    stateAgeMs: 100,
    onChange: (listener: () => void) => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
  };
  const watchers = new DocumentWatchers(replica, log);
  const events: string[] = [];
  const watch = (version: number) =>
    watchers.add(version, {
      send: (update) => events.push(`update ${update.version}`),
      sendHeartbeat: (committed) => events.push(`heartbeat ${committed}`),
      end: () => events.push("end"),
    });
  const notify = () => {
    listeners.forEach((listener) => {
      listener();
    });
  };
  return { replica, watchers, events, watch, notify };
}

const added: readonly { name: string; version: number; expected: readonly string[] }[] = [
  { name: "one without a document", version: 0, expected: ["heartbeat 3", "update 3"] },
  { name: "one that is up to date", version: 3, expected: ["heartbeat 3"] },
];

for (const { name, version, expected } of added) {
  test(`watchers: ${name} is told the current version, and sent what it lacks`, (t) => {
    const { watchers, events, watch } = setUp();
    t.truthy(watch(version));
    t.deepEqual(events, expected);
    watchers.dispose();
  });
}

test("watchers: one that has requested versions only is told each version at once, and sent no update", (t) => {
  const { replica, watchers, events, notify } = setUp();
  watchers.add(0, {
    send: undefined,
    sendHeartbeat: (committed) => events.push(`heartbeat ${committed}`),
    end: () => events.push("end"),
  });
  replica.currentState = new ConfigState({ version: 4, document: EMPTY_DOCUMENT, accepted: [] });
  notify();
  notify();
  t.deepEqual(events, ["heartbeat 3", "heartbeat 4"]);
  watchers.dispose();
});

test("watchers: none is added while the replica's state may be outdated", (t) => {
  const { replica, watchers, events, watch } = setUp();
  replica.currentState = undefined;
  t.is(watch(0), undefined);
  t.deepEqual(events, []);
  watchers.dispose();
});

test("watchers: all are ended once the replica's state may be outdated", (t) => {
  const { replica, watchers, events, watch, notify } = setUp();
  watch(3);
  replica.currentState = undefined;
  notify();
  t.deepEqual(events, ["heartbeat 3", "end"]);
  t.is(watchers.count, 0);
  watchers.dispose();
});
