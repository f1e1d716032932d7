import test from "ava";
import { ReplicaId } from "../../common/ids/ReplicaId.ts";
import { planVoters, type Candidate } from "./planVoters.ts";

const replica = (id: string, zone = "") => ({ id: ReplicaId(id), address: id, zone });
const candidate = (id: string, over: Partial<Candidate> & { zone?: string } = {}): Candidate => ({
  replica: replica(id, over.zone),
  reachable: true,
  diskLost: false,
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
    name: "a complete and reachable group does not change when a learner requests to join",
    voters: five.map((id) => candidate(id)),
    learners: [candidate("n")],
    group: undefined,
  },
  {
    name: "learners fill the free places of a group of three",
    voters: ["a", "b", "c"].map((id) => candidate(id)),
    learners: [candidate("d"), candidate("e")],
    group: ["a", "b", "c", "d", "e"],
  },
  {
    name: "a learner that has not caught up is not made a voter",
    voters: ["a", "b", "c"].map((id) => candidate(id)),
    learners: [candidate("d", { caughtUp: false })],
    group: undefined,
  },
  {
    name: "an unreachable voter keeps its place while there is no replacement",
    voters: five.map((id) => candidate(id, id === "b" ? silent : {})),
    learners: [],
    group: undefined,
  },
  {
    name: "a learner replaces an unreachable voter",
    voters: five.map((id) => candidate(id, id === "b" ? silent : {})),
    learners: [candidate("n")],
    group: ["a", "c", "d", "e", "n"],
  },
  {
    name: "a voter whose disk is lost is replaced before one that is only unreachable",
    voters: five.map((id) =>
      candidate(id, id === "b" ? silent : id === "d" ? { diskLost: true } : {}),
    ),
    learners: [candidate("d2")],
    group: ["a", "c", "e", "d2", "b"],
  },
  {
    name: "of two unreachable voters, the one unreachable for longer is replaced",
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
