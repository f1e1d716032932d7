import test from "ava";
import { ReplicaId } from "../../common/ids/ReplicaId.ts";
import { planVoters, type Candidate } from "./planVoters.ts";

const replica = (id: string, zone = "") => ({ id: ReplicaId(id), address: id, zone });
const candidate = (id: string, over: Partial<Candidate> & { zone?: string } = {}): Candidate => ({
  replica: replica(id, over.zone),
  reachable: true,
  gone: false,
  caughtUp: true,
  silentMs: 0,
  ...over,
});
const five = ["a", "b", "c", "d", "e"];
const silent = { reachable: false, silentMs: 5000 };

const cases: readonly {
  name: string;
  voters: readonly Candidate[];
  learners: readonly Candidate[];
  group: readonly string[] | undefined;
}[] = [
  {
    name: "a full group that answers stays, whoever asks to be let in",
    voters: five.map((id) => candidate(id)),
    learners: [candidate("n")],
    group: undefined,
  },
  {
    name: "the first three are joined by the others",
    voters: ["a", "b", "c"].map((id) => candidate(id)),
    learners: [candidate("d"), candidate("e")],
    group: ["a", "b", "c", "d", "e"],
  },
  {
    name: "a newcomer that has not caught up waits",
    voters: ["a", "b", "c"].map((id) => candidate(id)),
    learners: [candidate("d", { caughtUp: false })],
    group: undefined,
  },
  {
    name: "a silent voter stays while nobody can take its place",
    voters: five.map((id) => candidate(id, id === "b" ? silent : {})),
    learners: [],
    group: undefined,
  },
  {
    name: "a newcomer takes a silent voter's place",
    voters: five.map((id) => candidate(id, id === "b" ? silent : {})),
    learners: [candidate("n")],
    group: ["a", "c", "d", "e", "n"],
  },
  {
    name: "the place of one whose disk is lost goes before that of one only silent",
    voters: five.map((id) => candidate(id, id === "b" ? silent : id === "d" ? { gone: true } : {})),
    learners: [candidate("d2")],
    group: ["a", "c", "e", "d2", "b"],
  },
  {
    name: "of two silent voters the one silent for longer goes",
    voters: five.map((id) =>
      candidate(id, id === "b" ? silent : id === "d" ? { ...silent, silentMs: 9000 } : {}),
    ),
    learners: [candidate("n")],
    group: ["a", "c", "e", "n", "b"],
  },
];

for (const c of cases) {
  test(c.name, (t) => {
    const group = planVoters(5, c.voters, c.learners)?.map((v) => v.id);
    t.deepEqual(group, c.group as typeof group);
  });
}
