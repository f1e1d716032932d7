import test from "ava";
import { FakeClock } from "../../../test/fixtures/FakeClock.ts";
import type { ProtoTypes } from "../../common/rpc/ProtoTypes.ts";
import type { PeerClient } from "../../membership/PeerClient.ts";
import { recordCodec } from "./recordCodec.ts";
import { RemoteRecordPeer } from "./RemoteRecordPeer.ts";
import type { RunRecord } from "./RunRecord.ts";

const record: RunRecord = { state: "claimed", attempt: "a", fingerprint: "f", deadlineAt: 1000 };

/** A record holder whose sidecar replies to every claim with `reply`. */
function peerWith(reply: ProtoTypes["ClaimReply"]): RemoteRecordPeer {
  const client = {
    Claim: (_req: unknown, cb: (err: null, res: ProtoTypes["ClaimReply"]) => void) => {
      setImmediate(() => {
        cb(null, reply);
      });
      return { cancel: () => undefined };
    },
  } as unknown as PeerClient;
  return new RemoteRecordPeer("s1", { call: (makeCall) => makeCall(client) }, new FakeClock());
}

const cases: readonly { name: string; reply: ProtoTypes["ClaimReply"]; kind: string }[] = [
  { name: "a grant", reply: { granted: true, held: null, refused: false }, kind: "granted" },
  {
    name: "the record of another attempt",
    reply: { granted: false, held: recordCodec.encode(record, 0), refused: false },
    kind: "held",
  },
  {
    name: "a refusal",
    reply: { granted: false, held: null, refused: true },
    kind: "refused",
  },
  // Guards against a run on the strength of a reply that grants nothing.
  { name: "neither", reply: { granted: false, held: null, refused: false }, kind: "rejected" },
];

for (const { name, reply, kind } of cases) {
  test(`remote record peer: a claim answered with ${name}: ${kind}`, async (t) => {
    const result = await peerWith(reply)
      .claim("k", record, 0)
      .catch(() => ({ kind: "rejected" }));
    t.is(result.kind, kind);
  });
}
