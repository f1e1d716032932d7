import type { DocumentUpdate } from "../common/document/DocumentUpdate.ts";
import type { IDisposable } from "../common/lifecycle/IDisposable.ts";
import { callUnary } from "../common/rpc/callUnary.ts";
import { documentCodec } from "../common/rpc/documentCodec.ts";
import type { ProtoTypes } from "../common/rpc/ProtoTypes.ts";
import type { DatagramLink } from "./DatagramLink.ts";
import type { MembershipPeers } from "./MembershipPeers.ts";
import type { PeerClients } from "./PeerClients.ts";

/**
 * Timeout for exchanging whole views, ms; longer than for gossip, since a view takes 2 MB at the size planned for in two
 * years.
 */
const SYNC_TIMEOUT_MS = 2000;

/**
 * Timeout for fetching a document, ms. A fetch may need a new connection over a congested link. The long timeout
 * delays nothing, since members are asked in a race.
 */
const CONFIG_TIMEOUT_MS = 6000;

/** {@link MembershipPeers} over UDP datagrams, and over gRPC for messages too large for a datagram. */
export class NetworkPeers implements MembershipPeers, IDisposable {
  readonly #clients: PeerClients;
  readonly #link: DatagramLink;

  constructor(clients: PeerClients, link: DatagramLink) {
    this.#clients = clients;
    this.#link = link;
  }

  exchange(address: string, gossip: ProtoTypes["News"]): Promise<ProtoTypes["News"]> {
    return this.#link.probe(address, gossip);
  }

  compare(address: string, digests: readonly number[]): Promise<ProtoTypes["News"]> {
    return this.#link.compare(address, digests);
  }

  probe(address: string, target: string): Promise<void> {
    return this.#link.probeFor(address, target);
  }

  sync(address: string, view: ProtoTypes["Members"]): Promise<ProtoTypes["Members"]> {
    return this.#clients
      .get(address)
      .call((client) => callUnary(client.Sync.bind(client), view, SYNC_TIMEOUT_MS));
  }

  async config(address: string, version: number): Promise<readonly DocumentUpdate[]> {
    const req = {
      sidecar_id: "",
      have_version: version,
      heartbeats: false,
      accepts_packed: true,
      versions_only: false,
    };
    const reply = await this.#clients
      .get(address)
      .call((client) => callUnary(client.Config.bind(client), req, CONFIG_TIMEOUT_MS));
    return reply.versions.map((v) => documentCodec.decode(v));
  }

  dispose(): void {
    this.#link.dispose();
  }
}
