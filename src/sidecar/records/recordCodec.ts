import type { ProtoTypes } from "../../common/rpc/ProtoTypes.ts";
import type { RunRecord } from "./RunRecord.ts";

/** Converts a {@link RunRecord} to and from its protobuf message; `now` is the monotonic clock, ms. */
export const recordCodec = {
  encode(record: RunRecord, now: number): ProtoTypes["Record"] {
    const answer = record.state === "done" ? record.answer : undefined;
    return {
      state: record.state,
      attempt: record.attempt,
      fingerprint: record.fingerprint,
      remaining_ms: Math.max(0, Math.ceil(record.deadlineAt - now)),
      status: answer?.status ?? 0,
      headers: { ...answer?.headers },
      body: Buffer.from(answer?.body ?? "", "base64"),
      target: record.target ?? "",
    };
  },

  decode(raw: ProtoTypes["Record"], now: number): RunRecord {
    const { attempt, fingerprint, target } = raw;
    const deadlineAt = now + raw.remaining_ms;
    const common = { attempt, target, fingerprint, deadlineAt };
    switch (raw.state) {
      case "claimed":
        return { state: "claimed", ...common };
      case "done": {
        const answer = {
          status: raw.status,
          headers: raw.headers,
          body: raw.body.toString("base64"),
        };
        return { state: "done", ...common, answer };
      }
      default:
        // A state added by a newer version: the safe interpretation is that the request may have run.
        return { state: "unknown", ...common };
    }
  },
};
