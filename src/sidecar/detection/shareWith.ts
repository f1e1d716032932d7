import type { ProtoTypes } from "../../common/rpc/ProtoTypes.ts";
import type { PeerClient } from "../membership/PeerClient.ts";

type Bundle = ProtoTypes["EvidenceBundle"];

/** Evidence that takes longer than this is not waited for, ms. */
const SHARE_DEADLINE_MS = 300;

/** Exchanges evidence with one peer; rejects when it does not answer in time. */
export function shareWith(client: PeerClient, bundle: Bundle): Promise<Bundle> {
  return new Promise((resolve, reject) => {
    client.Share(bundle, { deadline: Date.now() + SHARE_DEADLINE_MS }, (err, res) => {
      if (res) {
        resolve(res);
      } else {
        reject(err ?? new Error("no reply"));
      }
    });
  });
}
