import { callUnary } from "../common/rpc/callUnary.ts";
import { ControlClient } from "../common/rpc/ControlClient.ts";
import type { ProtoTypes } from "../common/rpc/ProtoTypes.ts";

/** Timeout of a call to one replica, ms: longer than control's own timeout for a quorum. */
const REPLICA_TIMEOUT_MS = 4000;

/** Time limit for retrying over all replicas, ms. */
const TOTAL_TIMEOUT_MS = 15_000;

/** Pause after a round in which no replica was the leader, ms: an election takes one to two seconds. */
const ROUND_PAUSE_MS = 250;

/**
 * Applies a document at the leading control replica. Without a conclusive reply (no
 * leader yet, or a reply lost on the network) it sends the same request id again,
 * which control does not apply twice. An undefined `expected` stands for the current
 * version, read once; `version` 0 stands for the next one. Rejects when no replica
 * gives a conclusive reply.
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
    const current = expected ?? (await retryUntilConclusive(clients, readVersion));
    const req = { document, expected_version: current, request_id: requestId, version };
    return await retryUntilConclusive(clients, (client) => applyOnce(client, req));
  } finally {
    clients.forEach((client) => {
      client.close();
    });
  }
}

/** Calls the replicas in turn until `callReplica` resolves with a conclusive reply, that is, not with undefined. */
async function retryUntilConclusive<T>(
  clients: readonly ControlClient[],
  callReplica: (client: ControlClient) => Promise<T | undefined>,
): Promise<T> {
  const deadline = performance.now() + TOTAL_TIMEOUT_MS;
  while (performance.now() < deadline) {
    for (const client of clients) {
      // A replica that is down or not the leader counts as inconclusive: the next one is called.
      const reply = await callReplica(client).catch(() => undefined);
      if (reply !== undefined) {
        return reply;
      }
    }
    await new Promise((r) => setTimeout(r, ROUND_PAUSE_MS));
  }
  throw new Error("no control replica gave a conclusive reply; resend with the same request id");
}

async function readVersion(client: ControlClient): Promise<number> {
  return (await callUnary(client.Current.bind(client), {}, REPLICA_TIMEOUT_MS)).version;
}

async function applyOnce(
  client: ControlClient,
  req: ProtoTypes["ApplyRequest"],
): Promise<ProtoTypes["ApplyReply"] | undefined> {
  const res = await callUnary(client.Apply.bind(client), req, REPLICA_TIMEOUT_MS);
  return res.outcome === "not-leader" || res.outcome === "unknown" ? undefined : res;
}
