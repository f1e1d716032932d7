import { callUnary } from "../common/rpc/callUnary.ts";
import { ControlClient } from "../common/rpc/ControlClient.ts";
import type { ProtoTypes } from "../common/rpc/ProtoTypes.ts";

/** How long one replica may take to answer, ms: longer than control's own wait for a quorum. */
const CALL_TIMEOUT_MS = 4000;

/** How long to go on asking replica after replica for a clear answer, ms. */
const GIVE_UP_MS = 15_000;

/** Pause after a round in which no replica led, ms: an election takes one to two seconds. */
const ROUND_PAUSE_MS = 250;

/**
 * Applies a document at whichever replica leads. With no clear answer (no
 * leader yet, an answer lost on the way) it sends the same request id again,
 * which control answers without applying twice. `expected` left out means the
 * current version, read once; `version` 0 means the next one. Rejects when no replica
 * gives a clear answer.
 */
export async function applyAtLeader(
  replicas: readonly string[],
  document: string,
  expected: number | undefined,
  requestId: string,
  version = 0,
): Promise<ProtoTypes["ApplyReply"]> {
  const clients = replicas.map((address) => ControlClient(address));
  try {
    const current = expected ?? (await untilClear(clients, readVersion));
    const req = { document, expected_version: current, request_id: requestId, version };
    return await untilClear(clients, (client) => applyOnce(client, req));
  } finally {
    clients.forEach((client) => {
      client.close();
    });
  }
}

/** Asks the replicas in turn until one gives a clear answer; `ask` gives undefined for none. */
async function untilClear<T>(
  clients: readonly ControlClient[],
  ask: (client: ControlClient) => Promise<T | undefined>,
): Promise<T> {
  const until = performance.now() + GIVE_UP_MS;
  while (performance.now() < until) {
    for (const client of clients) {
      // A replica that is down or does not lead is no clear answer: the next one is asked.
      const answer = await ask(client).catch(() => undefined);
      if (answer !== undefined) {
        return answer;
      }
    }
    await new Promise((r) => setTimeout(r, ROUND_PAUSE_MS));
  }
  throw new Error("no control replica gave a clear answer; resend with the same request id");
}

async function readVersion(client: ControlClient): Promise<number> {
  return (await callUnary(client.Current.bind(client), {}, CALL_TIMEOUT_MS)).version;
}

async function applyOnce(
  client: ControlClient,
  req: ProtoTypes["ApplyRequest"],
): Promise<ProtoTypes["ApplyReply"] | undefined> {
  const res = await callUnary(client.Apply.bind(client), req, CALL_TIMEOUT_MS);
  return res.outcome === "not-leader" || res.outcome === "unknown" ? undefined : res;
}
