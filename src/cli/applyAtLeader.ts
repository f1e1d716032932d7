import { ControlClient } from "../common/rpc/ControlClient.ts";
import type { ProtoTypes } from "../common/rpc/ProtoTypes.ts";

/** How long one replica may take to answer, ms: longer than control's own wait for a quorum. */
const CALL_DEADLINE_MS = 4000;

/** How long to go on asking replica after replica for a clear answer, ms. */
const GIVE_UP_MS = 15_000;

/** Pause after a round in which no replica led, ms: an election takes one to two seconds. */
const ROUND_PAUSE_MS = 250;

/**
 * Applies a document at whichever replica leads. With no clear answer (no
 * leader yet, an answer lost on the way) it sends the same request id again,
 * which control answers without applying twice. `expected` left out means the
 * current version, read once. Rejects when no replica gives a clear answer.
 */
export async function applyAtLeader(
  replicas: readonly string[],
  document: string,
  expected: number | undefined,
  requestId: string,
): Promise<ProtoTypes["ApplyReply"]> {
  const clients = replicas.map((address) => ControlClient(address));
  try {
    const current = expected ?? (await untilClear(clients, readVersion));
    const req = { document, expected_version: current, request_id: requestId };
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
  const until = Date.now() + GIVE_UP_MS;
  while (Date.now() < until) {
    for (const client of clients) {
      const answer = await ask(client);
      if (answer !== undefined) {
        return answer;
      }
    }
    await new Promise((r) => setTimeout(r, ROUND_PAUSE_MS));
  }
  throw new Error("no control replica gave a clear answer; resend with the same request id");
}

const deadline = () => ({ deadline: Date.now() + CALL_DEADLINE_MS });

function readVersion(client: ControlClient): Promise<number | undefined> {
  return new Promise((resolve) => {
    client.Current({}, deadline(), (_err, res) => {
      resolve(res?.version);
    });
  });
}

function applyOnce(
  client: ControlClient,
  req: ProtoTypes["ApplyRequest"],
): Promise<ProtoTypes["ApplyReply"] | undefined> {
  return new Promise((resolve) => {
    client.Apply(req, deadline(), (_err, res) => {
      const clear = res && res.outcome !== "not-leader" && res.outcome !== "unknown";
      resolve(clear ? res : undefined);
    });
  });
}
