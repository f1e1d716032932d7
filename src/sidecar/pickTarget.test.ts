import test from "ava";
import { ServiceName } from "../common/ServiceName.ts";
import { TargetId } from "../common/TargetId.ts";
import { ZoneName } from "../common/ZoneName.ts";
import { pickTarget } from "./pickTarget.ts";
import type { TargetInfo } from "./TargetInfo.ts";
import { TargetState } from "./TargetState.ts";

const target = (id: string, slots: number): TargetInfo => ({
  id: TargetId(id),
  service: ServiceName("svc"),
  url: `http://127.0.0.1/${id}`,
  slots,
  state: TargetState.Ready,
  zone: ZoneName("zone-a"),
});

/** A random source that returns the given values in turn. */
const sequence = (values: readonly number[]) => {
  let i = 0;
  return () => values[i++ % values.length] ?? 0;
};

const cases: readonly {
  name: string;
  targets: TargetInfo[];
  load: Record<string, number>;
  random: number[];
  want: string | undefined;
}[] = [
  { name: "none to pick", targets: [], load: {}, random: [0], want: undefined },
  { name: "the only one", targets: [target("a", 5)], load: { a: 9 }, random: [0], want: "a" },
  {
    name: "the less loaded of the two drawn",
    targets: [target("a", 5), target("b", 5), target("c", 5)],
    load: { a: 4, b: 1, c: 0 },
    random: [0, 0.5],
    want: "b",
  },
  {
    name: "load as a share of slots",
    targets: [target("a", 5), target("b", 4)],
    load: { a: 3, b: 3 },
    random: [0, 0.9],
    want: "a",
  },
  {
    name: "skips full targets while one has room",
    targets: [target("a", 4), target("b", 4)],
    load: { a: 4, b: 3 },
    random: [0, 0],
    want: "b",
  },
];

for (const c of cases) {
  test(`pickTarget: ${c.name}`, (t) => {
    const got = pickTarget(c.targets, (id) => c.load[id] ?? 0, sequence(c.random));
    const id: string | undefined = got?.id;
    t.is(id, c.want);
  });
}
