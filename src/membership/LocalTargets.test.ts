import test from "ava";
import { TargetId } from "../common/ids/TargetId.ts";
import type { ProtoTypes } from "../common/rpc/ProtoTypes.ts";
import { LocalTargets } from "./LocalTargets.ts";

const target = (id: string, url = "http://127.0.0.1:1", born = 0): ProtoTypes["Target"] => ({
  target_id: id,
  service: "svc",
  url,
  slots: 5,
  state: "ready",
  health_path: "",
  born,
});

type Step =
  | { announce: string; sequence: number; url?: string; born?: number }
  | { withdraw: string; born?: number }
  | { replaced: string }
  | { wait: number };

const cases: readonly { name: string; steps: readonly Step[]; live: readonly string[] }[] = [
  {
    name: "one that announces itself is here",
    steps: [{ announce: "a", sequence: 1 }],
    live: ["a"],
  },
  {
    name: "one that falls silent is gone",
    steps: [{ announce: "a", sequence: 1 }, { wait: 1600 }],
    live: [],
  },
  {
    name: "one that said goodbye does not come back by a late announcement",
    steps: [{ announce: "a", sequence: 3 }, { withdraw: "a" }, { announce: "a", sequence: 4 }],
    live: [],
  },
  {
    // The sidecar was restarted, so the goodbye is the first that it hears of the target;
    // an announcement that was held up on its way comes after it.
    name: "one whose goodbye is the first word of it does not come by a late announcement",
    steps: [{ withdraw: "a" }, { announce: "a", sequence: 4 }],
    live: [],
  },
  {
    name: "another one at its address takes its place",
    steps: [
      { announce: "a", sequence: 8 },
      { announce: "b", sequence: 1 },
    ],
    live: ["b"],
  },
  {
    // A crash behind a cut: the announcement of the one that crashed arrives after the next has come.
    name: "a late announcement of the one before does not take the place back",
    steps: [
      { announce: "a", sequence: 8 },
      { announce: "b", sequence: 1 },
      { announce: "a", sequence: 9 },
    ],
    live: ["b"],
  },
  {
    // This sidecar was restarted, and heard first of the one that had crashed.
    name: "one that was taken for replaced comes back when it goes on announcing itself",
    steps: [
      { announce: "b", sequence: 5 },
      { announce: "a", sequence: 9 },
      { announce: "b", sequence: 6 },
      { announce: "b", sequence: 7 },
    ],
    live: ["b"],
  },
  {
    name: "an announcement overtaken by a newer one changes nothing",
    steps: [
      { announce: "a", sequence: 5 },
      { wait: 1000 },
      { announce: "a", sequence: 4 },
      { wait: 1000 },
    ],
    live: [],
  },
  {
    name: "two at different addresses are both here",
    steps: [
      { announce: "a", sequence: 1 },
      { announce: "b", sequence: 1, url: "http://127.0.0.1:2" },
    ],
    live: ["a", "b"],
  },
  {
    name: "one whose address answers for another is not here",
    steps: [{ announce: "a", sequence: 1 }, { replaced: "a" }],
    live: [],
  },
  {
    // A target crashed behind a cut and started again under its id: it counts anew from 1, and
    // would be taken for a late announcement of its last life until it had caught up.
    name: "one that started again under its id counts anew",
    steps: [
      { announce: "a", sequence: 40, born: 100 },
      { wait: 1600 },
      { announce: "a", sequence: 1, born: 200 },
    ],
    live: ["a@200"],
  },
  {
    name: "a late announcement of its last life changes nothing",
    steps: [
      { announce: "a", sequence: 40, born: 100 },
      { announce: "a", sequence: 1, born: 200 },
      { announce: "a", sequence: 41, born: 100 },
    ],
    live: ["a@200"],
  },
  {
    name: "a goodbye of its last life does not remove it",
    steps: [
      { announce: "a", sequence: 40, born: 100 },
      { announce: "a", sequence: 1, born: 200 },
      { withdraw: "a", born: 100 },
    ],
    live: ["a@200"],
  },
  {
    name: "one that said goodbye may start again under its id",
    steps: [
      { announce: "a", sequence: 40, born: 100 },
      { withdraw: "a" },
      { announce: "a", sequence: 1, born: 200 },
    ],
    live: ["a@200"],
  },
  {
    name: "one that was replaced and starts again under its id is believed at once",
    steps: [
      { announce: "a", sequence: 8, born: 100 },
      { announce: "b", sequence: 1, born: 200 },
      { announce: "a", sequence: 1, born: 300 },
    ],
    live: ["a@300"],
  },
  {
    // The sidecar was restarted: the goodbye is the first it hears, and does not tell of which life.
    name: "after a goodbye of an untold life, announcements that were held up do not bring it back",
    steps: [
      { withdraw: "a" },
      { announce: "a", sequence: 8, born: 100 },
      { announce: "a", sequence: 9, born: 100 },
    ],
    live: [],
  },
  {
    name: "after a goodbye of an untold life, one that goes on announcing itself has started again",
    steps: [
      { withdraw: "a" },
      { announce: "a", sequence: 1, born: 100 },
      { announce: "a", sequence: 2, born: 100 },
      { announce: "a", sequence: 3, born: 100 },
    ],
    live: ["a@100"],
  },
  {
    // The sidecar was restarted and knows only the one that is there; the one before it had
    // crashed, and an announcement of it was held up on its way.
    name: "a late announcement of one that started earlier at its address does not take its place",
    steps: [
      { announce: "b", sequence: 5, born: 200 },
      { announce: "a", sequence: 9, born: 100 },
    ],
    live: ["b@200"],
  },
  {
    name: "the clock was set back between two starts: once the life that seems later is silent, the other counts",
    steps: [
      { announce: "a", sequence: 40, born: 900 },
      { announce: "a", sequence: 1, born: 200 },
      { wait: 1600 },
      { announce: "a", sequence: 2, born: 200 },
    ],
    live: ["a@200"],
  },
];

for (const c of cases) {
  test(c.name, (t) => {
    let now = 0;
    const targets = new LocalTargets(() => now, 1500);
    for (const step of c.steps) {
      if ("announce" in step) {
        targets.announce(target(step.announce, step.url, step.born), step.sequence);
      } else if ("withdraw" in step) {
        targets.withdraw(TargetId(step.withdraw), step.born);
      } else if ("replaced" in step) {
        targets.noteReplaced(TargetId(step.replaced));
      } else {
        now += step.wait;
      }
    }
    t.deepEqual(
      targets.live().map((x) => (x.born > 0 ? `${x.target_id}@${x.born}` : x.target_id)),
      [...c.live],
    );
  });
}
