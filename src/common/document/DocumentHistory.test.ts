import test from "ava";
import { DocumentHistory } from "./DocumentHistory.ts";
import type { DocumentUpdate } from "./DocumentUpdate.ts";
import { EMPTY_DOCUMENT } from "./EMPTY_DOCUMENT.ts";
import { Service } from "./Service.ts";

const add = (base: number, version: number, name = "a"): DocumentUpdate => ({
  kind: "edit",
  base,
  version,
  edit: {
    services: { set: [Service.parse({ name })], drop: [] },
    routes: { set: [], drop: [] },
  },
});
const whole = (version: number): DocumentUpdate => ({
  kind: "whole",
  version,
  document: EMPTY_DOCUMENT,
});

const cases: readonly {
  name: string;
  updates: readonly DocumentUpdate[];
  said: readonly string[];
  version: number;
}[] = [
  { name: "edits in order", updates: [add(0, 2), add(2, 5)], said: ["taken", "taken"], version: 5 },
  {
    name: "an edit that was missed",
    updates: [add(0, 2), add(3, 5)],
    said: ["taken", "gap"],
    version: 2,
  },
  {
    name: "an older version",
    updates: [whole(7), add(0, 2)],
    said: ["taken", "stale"],
    version: 7,
  },
  {
    name: "the same version again",
    updates: [whole(7), whole(7)],
    said: ["taken", "stale"],
    version: 7,
  },
];

for (const c of cases) {
  test(`take: ${c.name}`, (t) => {
    const history = new DocumentHistory();
    t.deepEqual(
      c.updates.map((u) => history.take(u)),
      c.said,
    );
    t.is(history.version, c.version);
  });
}

test("whoever is a little behind gets the edits, whoever is further behind the whole", (t) => {
  const history = new DocumentHistory();
  history.take(whole(3));
  history.take(add(3, 4));
  history.take(add(4, 9, "b"));
  t.deepEqual(
    history.since(4).map((u) => u.version),
    [9],
  );
  t.deepEqual(
    history.since(3).map((u) => u.version),
    [4, 9],
  );
  t.deepEqual(history.since(1), [history.whole]);
  t.deepEqual(history.since(9), []);
  t.deepEqual(history.since(12), []);
});
