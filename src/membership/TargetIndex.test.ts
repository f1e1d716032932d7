import test from "ava";
import { ServiceName } from "../common/ids/ServiceName.ts";
import { TargetId } from "../common/ids/TargetId.ts";
import { makeTarget } from "../../test/fixtures/makeTarget.ts";
import { TargetIndex } from "./TargetIndex.ts";

const BOOKS = ServiceName("books");
const DESK = ServiceName("desk");
const target = (id: string, service = BOOKS) => makeTarget(id, { service });

const ids = (index: TargetIndex, service = BOOKS) => index.of(service).map((t) => t.id as string);

interface Step {
  readonly member: string;
  readonly targets: ReturnType<typeof target>[];
}

const cases: readonly { name: string; steps: readonly Step[]; books: string[]; all: number }[] = [
  { name: "index is empty without members", steps: [], books: [], all: 0 },
  {
    name: "targets of a service are listed together across members",
    steps: [
      { member: "p", targets: [target("a"), target("d", DESK)] },
      { member: "q", targets: [target("b")] },
    ],
    books: ["a", "b"],
    all: 3,
  },
  {
    name: "update of a member replaces its earlier targets",
    steps: [
      { member: "p", targets: [target("a"), target("b")] },
      { member: "p", targets: [target("b"), target("c", DESK)] },
    ],
    books: ["b"],
    all: 2,
  },
  {
    name: "update without targets removes those of the member",
    steps: [
      { member: "p", targets: [target("a")] },
      { member: "p", targets: [] },
    ],
    books: [],
    all: 0,
  },
];

for (const { name, steps, books, all } of cases) {
  test(name, (t) => {
    const index = new TargetIndex();
    for (const { member, targets } of steps) {
      index.set(member, targets);
    }
    t.deepEqual(ids(index), books);
    t.is(index.all().length, all);
  });
}

test("target that has moved to another member stays when the first member drops it", (t) => {
  const index = new TargetIndex();
  index.set("p", [target("a")]);
  index.set("q", [target("a")]);
  index.set("p", []);
  t.truthy(index.get(TargetId("a")));
  t.deepEqual(ids(index), ["a"]);
});

test("list of a service is rebuilt only when one of its targets changes", (t) => {
  const index = new TargetIndex();
  index.set("p", [target("a")]);
  const before = index.of(BOOKS);
  index.set("q", [target("d", DESK)]);
  t.is(index.of(BOOKS), before);
  index.set("q", [target("b")]);
  t.not(index.of(BOOKS), before);
});
