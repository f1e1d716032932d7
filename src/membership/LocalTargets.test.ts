import test from "ava";
import { TargetId } from "../common/ids/TargetId.ts";
import type { ProtoTypes } from "../common/rpc/ProtoTypes.ts";
import type { AnnouncedTarget } from "./AnnouncedTarget.ts";
import { LocalTargets } from "./LocalTargets.ts";

const target = (id: string, url = "http://127.0.0.1:1", born = 0): AnnouncedTarget => ({
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
  | { ended: string }
  | { leaving: string; born?: number }
  | { resumed: string; born?: number }
  | { wait: number };

const cases: readonly { name: string; steps: readonly Step[]; live: readonly string[] }[] = [
  {
    name: "target is live after it announced itself",
    steps: [{ announce: "a", sequence: 1 }],
    live: ["a"],
  },
  {
    name: "target that stops announcing itself is dropped after the timeout",
    steps: [{ announce: "a", sequence: 1 }, { wait: 1600 }],
    live: [],
  },
  {
    name: "late announcement does not bring a withdrawn target back",
    steps: [{ announce: "a", sequence: 3 }, { withdraw: "a" }, { announce: "a", sequence: 4 }],
    live: [],
  },
  {
    // The sidecar was restarted, so the withdrawal is the first message about the target;
    // an announcement delayed on its way arrives after it.
    name: "late announcement does not bring back a target that is known only from its withdrawal",
    steps: [{ withdraw: "a" }, { announce: "a", sequence: 4 }],
    live: [],
  },
  {
    name: "target whose process has ended is not live, also after a late announcement",
    steps: [{ announce: "a", sequence: 8 }, { ended: "a" }, { announce: "a", sequence: 9 }],
    live: [],
  },
  {
    name: "target that is started again under its id is live before it has caught up with its sequence",
    steps: [
      { announce: "a", sequence: 8 },
      { ended: "a" },
      { announce: "a", sequence: 1 },
      { announce: "a", sequence: 2 },
    ],
    live: ["a"],
  },
  {
    name: "new target at the same address replaces the old one",
    steps: [
      { announce: "a", sequence: 8 },
      { announce: "b", sequence: 1 },
    ],
    live: ["b"],
  },
  {
    // A target crashed during a partition, and its last announcement arrives after that of its successor.
    name: "late announcement of a replaced target does not take the address back",
    steps: [
      { announce: "a", sequence: 8 },
      { announce: "b", sequence: 1 },
      { announce: "a", sequence: 9 },
    ],
    live: ["b"],
  },
  {
    // This sidecar was restarted; a late announcement of the crashed target then seems to replace the live one.
    name: "target replaced by mistake comes back when it keeps announcing itself",
    steps: [
      { announce: "b", sequence: 5 },
      { announce: "a", sequence: 9 },
      { announce: "b", sequence: 6 },
      { announce: "b", sequence: 7 },
    ],
    live: ["b"],
  },
  {
    name: "announcement overtaken by a newer one does not extend the timeout",
    steps: [
      { announce: "a", sequence: 5 },
      { wait: 1000 },
      { announce: "a", sequence: 4 },
      { wait: 1000 },
    ],
    live: [],
  },
  {
    name: "two targets at different addresses are both live",
    steps: [
      { announce: "a", sequence: 1 },
      { announce: "b", sequence: 1, url: "http://127.0.0.1:2" },
    ],
    live: ["a", "b"],
  },
  {
    name: "target is not live once another one responds at its address",
    steps: [{ announce: "a", sequence: 1 }, { replaced: "a" }],
    live: [],
  },
  {
    // A target crashed during a partition and restarted under its id. Its sequence numbers begin at 1 again, and
    // would be taken for late ones of its previous incarnation until they had caught up.
    name: "restarted target is live at once, although its sequence numbers begin at 1 again",
    steps: [
      { announce: "a", sequence: 40, born: 100 },
      { wait: 1600 },
      { announce: "a", sequence: 1, born: 200 },
    ],
    live: ["a@200"],
  },
  {
    name: "late announcement of the previous incarnation is ignored",
    steps: [
      { announce: "a", sequence: 40, born: 100 },
      { announce: "a", sequence: 1, born: 200 },
      { announce: "a", sequence: 41, born: 100 },
    ],
    live: ["a@200"],
  },
  {
    name: "withdrawal of the previous incarnation does not remove a restarted target",
    steps: [
      { announce: "a", sequence: 40, born: 100 },
      { announce: "a", sequence: 1, born: 200 },
      { withdraw: "a", born: 100 },
    ],
    live: ["a@200"],
  },
  {
    name: "withdrawn target can restart under its id",
    steps: [
      { announce: "a", sequence: 40, born: 100 },
      { withdraw: "a" },
      { announce: "a", sequence: 1, born: 200 },
    ],
    live: ["a@200"],
  },
  {
    name: "replaced target that restarts under its id is live at its first announcement",
    steps: [
      { announce: "a", sequence: 8, born: 100 },
      { announce: "b", sequence: 1, born: 200 },
      { announce: "a", sequence: 1, born: 300 },
    ],
    live: ["a@300"],
  },
  {
    // The sidecar was restarted: the withdrawal is the first message about the target, and has no start time.
    name: "late announcements do not bring a target back after a withdrawal without a start time",
    steps: [
      { withdraw: "a" },
      { announce: "a", sequence: 8, born: 100 },
      { announce: "a", sequence: 9, born: 100 },
    ],
    live: [],
  },
  {
    // Guards against a target that is known only from its withdrawal, and is revived by announcements from before.
    name: "late announcements with a start time do not bring back a target that was withdrawn without one",
    steps: [
      { withdraw: "a" },
      { announce: "a", sequence: 1, born: 100 },
      { announce: "a", sequence: 2, born: 100 },
      { announce: "a", sequence: 3, born: 100 },
    ],
    live: [],
  },
  {
    name: "target that announces itself long after a withdrawal without a start time has restarted",
    steps: [{ withdraw: "a" }, { wait: 10_001 }, { announce: "a", sequence: 1, born: 100 }],
    live: ["a@100"],
  },
  {
    // Guards against requests to a withdrawn target under the id of the process that used its address before.
    name: "late announcement of an incarnation before a withdrawn one is ignored, also when that one has been silent",
    steps: [
      { announce: "a", sequence: 8, born: 100 },
      { announce: "a", sequence: 1, born: 200 },
      { withdraw: "a", born: 200 },
      { wait: 1600 },
      { announce: "a", sequence: 9, born: 100 },
    ],
    live: [],
  },
  {
    // The sidecar was restarted and knows only the live target; an announcement of its crashed
    // predecessor was delayed on its way.
    name: "late announcement of a target that started earlier at the address does not replace the live one",
    steps: [
      { announce: "b", sequence: 5, born: 200 },
      { announce: "a", sequence: 9, born: 100 },
    ],
    live: ["b@200"],
  },
  {
    name: "target that has said that it is leaving is leaving, whatever it announces",
    steps: [
      { announce: "a", sequence: 1 },
      { leaving: "a" },
      { wait: 1600 },
      { announce: "a", sequence: 2 },
    ],
    live: ["a leaving"],
  },
  {
    name: "target that has said that it is leaving and is started again accepts requests",
    steps: [
      { announce: "a", sequence: 1, born: 100 },
      { leaving: "a", born: 100 },
      { announce: "a", sequence: 1, born: 200 },
      { leaving: "a", born: 100 },
    ],
    live: ["a@200"],
  },
  {
    name: "target that is not leaving after all accepts requests, until it says so again",
    steps: [{ announce: "a", sequence: 1 }, { leaving: "a" }, { resumed: "a" }],
    live: ["a"],
  },
  {
    name: "restarted target is accepted after its clock was set back, once its seemingly later incarnation is silent",
    steps: [
      { announce: "a", sequence: 40, born: 900 },
      { announce: "a", sequence: 1, born: 200 },
      { wait: 1600 },
      { announce: "a", sequence: 2, born: 200 },
    ],
    live: ["a@200"],
  },
];

function describe({ target_id: id, born, state }: ProtoTypes["Target"]): string {
  return state === "draining" ? `${id} leaving` : born > 0 ? `${id}@${born}` : id;
}

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
      } else if ("ended" in step) {
        targets.noteEnded(TargetId(step.ended));
      } else if ("leaving" in step) {
        targets.noteLeaving({ id: TargetId(step.leaving), born: step.born ?? 0 });
      } else if ("resumed" in step) {
        targets.noteResumed({ id: TargetId(step.resumed), born: step.born ?? 0 }, 7);
      } else {
        now += step.wait;
      }
    }
    t.deepEqual(targets.live().map(describe), [...c.live]);
  });
}
