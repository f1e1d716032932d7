import test from "ava";
import { DocumentHistory } from "./DocumentHistory.ts";
import type { DocumentUpdate } from "./DocumentUpdate.ts";
import { EMPTY_DOCUMENT } from "./EMPTY_DOCUMENT.ts";
import { Service } from "./Service.ts";

const edit = (base: number, version: number, name = "a"): DocumentUpdate => ({
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
  results: readonly string[];
  version: number;
}[] = [
  {
    name: "edits in order",
    updates: [edit(0, 2), edit(2, 5)],
    results: ["taken", "taken"],
    version: 5,
  },
  {
    name: "an edit after a missed one",
    updates: [edit(0, 2), edit(3, 5)],
    results: ["taken", "gap"],
    version: 2,
  },
  {
    name: "an older version",
    updates: [whole(7), edit(0, 2)],
    results: ["taken", "stale"],
    version: 7,
  },
  {
    name: "the same version again",
    updates: [whole(7), whole(7)],
    results: ["taken", "stale"],
    version: 7,
  },
];

for (const c of cases) {
  test(`take: ${c.name}`, (t) => {
    const history = new DocumentHistory();
    t.deepEqual(
      c.updates.map((u) => history.apply(u)),
      c.results,
    );
    t.is(history.version, c.version);
  });
}

test("since: a peer slightly behind gets the edits, one further behind the whole document", (t) => {
  const history = new DocumentHistory();
  history.apply(whole(3));
  history.apply(edit(3, 4));
  history.apply(edit(4, 9, "b"));
  t.deepEqual(
    history.updatesSince(4).map((u) => u.version),
    [9],
  );
  t.deepEqual(
    history.updatesSince(3).map((u) => u.version),
    [4, 9],
  );
  t.deepEqual(history.updatesSince(1), [history.whole]);
  t.deepEqual(history.updatesSince(9), []);
  t.deepEqual(history.updatesSince(12), []);
});

test("since: a peer without a document gets the whole one, not every version since the first", (t) => {
  const history = new DocumentHistory();
  history.apply(edit(0, 2));
  history.apply(edit(2, 5, "b"));
  t.deepEqual(history.updatesSince(0), [history.whole]);
  t.deepEqual(
    history.updatesSince(2).map((u) => u.version),
    [5],
  );
});
