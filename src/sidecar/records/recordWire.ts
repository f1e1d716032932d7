import type { ProtoTypes } from "../../common/rpc/ProtoTypes.ts";
import type { RunRecord } from "./RunRecord.ts";

/** {@link RunRecord} to and from its protobuf form. */
export const recordWire = {
  encode(record: RunRecord): ProtoTypes["Record"] {
    const answer = record.state === "done" ? record.answer : undefined;
    return {
      state: record.state,
      attempt: record.attempt,
      fingerprint: record.fingerprint,
      deadline: record.deadline,
      status: answer?.status ?? 0,
      headers: { ...answer?.headers },
      body: Buffer.from(answer?.body ?? "", "base64"),
    };
  },

  decode(raw: ProtoTypes["Record"]): RunRecord {
    const { attempt, fingerprint, deadline } = raw;
    switch (raw.state) {
      case "claimed":
        return { state: "claimed", attempt, fingerprint, deadline };
      case "done": {
        const answer = {
          status: raw.status,
          headers: raw.headers,
          body: raw.body.toString("base64"),
        };
        return { state: "done", attempt, fingerprint, deadline, answer };
      }
      default:
        // A state of a newer version of ours: the cautious reading is that it may have run.
        return { state: "unknown", attempt, fingerprint, deadline };
    }
  },
};
