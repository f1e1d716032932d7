import test from "ava";
import { VoterReplies } from "./VoterReplies.ts";

const voter = (id: string) => ({ id, address: id });

/** Two of five disks are lost, and empty replicas take the places of those that had them. */
const OLD = ["a", "b", "c", "d", "e"].map(voter);
const NEXT = ["a", "b", "c", "d2", "e2"].map(voter);

const cases: readonly { name: string; complete: readonly string[]; expected: boolean }[] = [
  { name: "a majority of the old and the next voters", complete: ["a", "b", "c"], expected: true },
  { name: "a majority of the next voters only", complete: ["a", "d2", "e2"], expected: false },
  { name: "two voters", complete: ["a", "b"], expected: false },
  { name: "nobody", complete: [], expected: false },
];

for (const { name, complete, expected } of cases) {
  test(`voter replies: during a change of the group, ${name}: ${expected ? "a" : "no"} majority`, (t) => {
    // Guards against targets that stay idle after the loss of two disks, while the group replaces them.
    const replies = new VoterReplies((reply) => reply.complete);
    for (const replica of ["a", "b", "c", "d2", "e2"]) {
      if (complete.length > 0) {
        replies.add({
          ...{ replica, voters: OLD, next_voters: NEXT, group_index: 2, departed: [] },
          complete: complete.includes(replica),
        });
      }
    }
    t.is(replies.hasMajority, expected);
  });
}

test("voter replies: a replica on an empty disk, which names no voters, does not hide the group", (t) => {
  // Guards against targets that stay idle after the loss of all power and of two disks.
  const replies = new VoterReplies((reply) => reply.complete);
  const common = { next_voters: [], departed: [] };
  replies.add({ ...common, replica: "d2", voters: [], group_index: 2 ** 64, complete: false });
  for (const replica of ["a", "b", "c"]) {
    replies.add({ ...common, replica, voters: OLD, group_index: 2, complete: true });
  }
  t.true(replies.hasMajority);
});
