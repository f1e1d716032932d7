import { admissionCodec } from "../../common/rpc/admissionCodec.ts";
import type { AdmissionReply } from "../../common/rpc/AdmissionReply.ts";
import type { ProtoTypes } from "../../common/rpc/ProtoTypes.ts";
import type { DocumentFreshness } from "../config/DocumentFreshness.ts";

interface AdmissionAskerDeps {
  /** Sends the request; rejects when there is no reply in time. */
  readonly send: (address: string, workspace: string) => Promise<ProtoTypes["AdmissionReply"]>;
  readonly freshness: Pick<DocumentFreshness, "confirm">;
  /** Called with the version that the member at `address` has. */
  readonly noteVersion: (address: string, version: number) => void;
  /** Clock by which confirmations age, ms; see ElapsedClock. */
  readonly elapsed: () => number;
}

/**
 * Asks other members for credits and confirmations of the document. Each reply states the age of the document at its
 * member. It counts from when the request was sent, so that a delay on the way does not make the document look newer.
 */
export class AdmissionAsker {
  readonly #deps: AdmissionAskerDeps;

  constructor(deps: AdmissionAskerDeps) {
    this.#deps = deps;
  }

  /** @param workspace the workspace that a credit is needed for; empty if only the confirmation is */
  async ask(address: string, workspace = ""): Promise<AdmissionReply> {
    const { send, freshness, noteVersion, elapsed } = this.#deps;
    const sentAt = elapsed();
    const reply = admissionCodec.decode(await send(address, workspace));
    if (reply.ageMs !== undefined) {
      freshness.confirm(reply.version, sentAt - reply.ageMs);
    }
    noteVersion(address, reply.version);
    return reply;
  }
}
