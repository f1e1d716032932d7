import * as grpc from "@grpc/grpc-js";
import test from "ava";
import { FakeClock } from "../../../test/fixtures/FakeClock.ts";
import type { ProtoTypes } from "../../common/rpc/ProtoTypes.ts";
import type { PeerClient } from "../../membership/PeerClient.ts";
import { recordCodec } from "./recordCodec.ts";
import { RemoteRecordPeer } from "./RemoteRecordPeer.ts";
import type { RunRecord } from "./RunRecord.ts";

type Reply = ProtoTypes["ClaimReply"];

const record: RunRecord = { state: "claimed", attempt: "a", fingerprint: "f", deadlineAt: 1000 };
const granted: Reply = { granted: true, held: null, refused: false };
const unavailable = Object.assign(new Error("refused"), { code: grpc.status.UNAVAILABLE });
const timedOut = Object.assign(new Error("cancelled"), { code: grpc.status.CANCELLED });

/** A record holder whose sidecar answers claims with `answers`, one after the other. */
function openPeer(answers: readonly (Reply | Error)[], isGone = false) {
  const calls = { count: 0 };
  const clock = new FakeClock();
  const client = {
    Claim: (_req: unknown, cb: (err: Error | null, res?: Reply) => void) => {
      const answer = answers[calls.count++];
      setImmediate(() => {
        if (answer instanceof Error) {
          cb(answer);
        } else {
          cb(null, answer);
        }
      });
      return { cancel: () => undefined };
    },
  } as unknown as PeerClient;
  const clients = { call: <T>(makeCall: (c: PeerClient) => Promise<T>) => makeCall(client) };
  return { peer: new RemoteRecordPeer("s1", clients, clock, isGone), calls, clock };
}

const cases: readonly {
  name: string;
  answers: readonly (Reply | Error)[];
  isGone?: boolean;
  kind: string;
  calls: number;
}[] = [
  { name: "a grant", answers: [granted], kind: "granted", calls: 1 },
  {
    name: "the record of another attempt",
    answers: [{ granted: false, held: recordCodec.encode(record, 0), refused: false }],
    kind: "held",
    calls: 1,
  },
  {
    name: "a refusal",
    answers: [{ granted: false, held: null, refused: true }],
    kind: "refused",
    calls: 1,
  },
  // Guards against a run on the strength of a reply that grants nothing.
  {
    name: "neither",
    answers: [{ granted: false, held: null, refused: false }],
    kind: "rejected",
    calls: 1,
  },
  // Guards against a booking that is refused because the event loops of two record holders are blocked for a moment.
  { name: "a grant after a timeout", answers: [timedOut, granted], kind: "granted", calls: 2 },
  {
    name: "timeouts only",
    answers: [timedOut, timedOut, timedOut, granted],
    kind: "rejected",
    calls: 3,
  },
  {
    name: "a refused connection, and a grant when it has started",
    answers: [unavailable, granted],
    kind: "granted",
    calls: 2,
  },
  {
    name: "refused connections only",
    answers: [unavailable, unavailable, unavailable, granted],
    kind: "rejected",
    calls: 3,
  },
  {
    name: "nothing, as it is held for dead",
    answers: [granted],
    isGone: true,
    kind: "rejected",
    calls: 0,
  },
];

for (const { name, answers, isGone, kind, calls: wanted } of cases) {
  test(`remote record peer: a claim answered with ${name}: ${kind}`, async (t) => {
    const { peer, calls, clock } = openPeer(answers, isGone);
    const claim = peer.claim("k", record, 0).catch(() => ({ kind: "rejected" }));
    for (let n = 0; n < 5; n++) {
      await new Promise((resolve) => setImmediate(resolve));
      await clock.advance(100);
    }
    const result = await claim;
    t.deepEqual([result.kind, calls.count], [kind, wanted]);
  });
}
