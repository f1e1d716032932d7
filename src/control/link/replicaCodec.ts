import { ReplicaId } from "../../common/ids/ReplicaId.ts";
import type { EntryBody, LogEntry } from "../log/LogEntry.ts";
import type { LogSnapshot } from "../log/LogSnapshot.ts";
import type { AppendRequest, ReplicaReply, VoteRequest } from "../replica/ReplicaMessages.ts";
import type { ReplicaProto } from "./ReplicaProto.ts";

type Proto<K extends keyof ReplicaProto> = ReplicaProto[K];

/** Converts messages between replicas to and from the types of `proto/replica.proto`. */
export const replicaCodec = {
  encodeAppend: (req: AppendRequest): Proto<"AppendRequest"> => ({
    ...req,
    stateAge: req.stateAgeMs === undefined ? 0 : Math.ceil(req.stateAgeMs) + 1,
    entries: req.entries.map((e) => ({ ...e, body: JSON.stringify(e.body) })),
    snapshot: req.snapshot ? JSON.stringify(req.snapshot) : "",
  }),

  decodeAppend: (raw: Proto<"AppendRequest">): AppendRequest => ({
    ...raw,
    kind: "append",
    stateAgeMs: raw.stateAge > 0 ? raw.stateAge - 1 : undefined,
    to: ReplicaId(raw.to),
    leader: raw.leader ?? { id: ReplicaId(""), address: "", zone: "" },
    entries: raw.entries.map(decodeEntry),
    snapshot: raw.snapshot === "" ? undefined : (JSON.parse(raw.snapshot) as LogSnapshot),
  }),

  decodeVote: (raw: Proto<"VoteRequest">): VoteRequest => ({
    ...raw,
    kind: "vote",
    to: ReplicaId(raw.to),
    candidate: ReplicaId(raw.candidate),
  }),

  encodeAppendReply: (reply: ReplicaReply): Proto<"AppendReply"> => {
    const rejected = { term: 0, ok: false, matched: -1, stranger: "", number: 0 };
    switch (reply.kind) {
      case "append":
        return { ...rejected, ...reply };
      case "stranger":
        return { ...rejected, stranger: reply.id };
      default:
        return rejected;
    }
  },

  encodeVoteReply: (reply: ReplicaReply): Proto<"VoteReply"> => {
    const rejected = { term: 0, granted: false, stranger: "" };
    switch (reply.kind) {
      case "vote":
        return { ...rejected, ...reply };
      case "stranger":
        return { ...rejected, stranger: reply.id };
      default:
        return rejected;
    }
  },

  decodeAppendReply: (raw: Proto<"AppendReply">): ReplicaReply =>
    raw.stranger === ""
      ? {
          kind: "append",
          term: raw.term,
          ok: raw.ok,
          matched: raw.matched,
          number: raw.number,
        }
      : { kind: "stranger", id: ReplicaId(raw.stranger) },

  decodeVoteReply: (raw: Proto<"VoteReply">): ReplicaReply =>
    raw.stranger === ""
      ? { kind: "vote", term: raw.term, granted: raw.granted }
      : { kind: "stranger", id: ReplicaId(raw.stranger) },
};

function decodeEntry(raw: Proto<"Entry">): LogEntry {
  return { index: raw.index, term: raw.term, body: JSON.parse(raw.body) as EntryBody };
}
