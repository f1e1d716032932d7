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
  { name: "nothing is known", steps: [], books: [], all: 0 },
  {
    name: "targets of a service stand together, whoever they stand beside",
    steps: [
      { member: "p", targets: [target("a"), target("d", DESK)] },
      { member: "q", targets: [target("b")] },
    ],
    books: ["a", "b"],
    all: 3,
  },
  {
    name: "what a member tells later takes the place of what it told before",
    steps: [
      { member: "p", targets: [target("a"), target("b")] },
      { member: "p", targets: [target("b"), target("c", DESK)] },
    ],
    books: ["b"],
    all: 2,
  },
  {
    name: "a member without targets has none",
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

test("a target that another member has announced since stays when the first one forgets it", (t) => {
  const index = new TargetIndex();
  index.set("p", [target("a")]);
  index.set("q", [target("a")]);
  index.set("p", []);
  t.truthy(index.get(TargetId("a")));
  t.deepEqual(ids(index), ["a"]);
});

test("the list of a service is drawn up anew only when one of its targets changes", (t) => {
  const index = new TargetIndex();
  index.set("p", [target("a")]);
  const before = index.of(BOOKS);
  index.set("q", [target("d", DESK)]);
  t.is(index.of(BOOKS), before);
  index.set("q", [target("b")]);
  t.not(index.of(BOOKS), before);
});
