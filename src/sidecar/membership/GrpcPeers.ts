import type { ProtoTypes } from "../../common/rpc/ProtoTypes.ts";
import type { MembershipPeers } from "./MembershipPeers.ts";
import type { PeerClients } from "./PeerClients.ts";

/** A probe slower than this has failed, ms. */
const PROBE_DEADLINE_MS = 500;

/** An indirect probe takes two hops, ms. */
const INDIRECT_DEADLINE_MS = 800;

/** Whole views and documents take longer than news: 2 MB at the two-year size, ms. */
const BULK_DEADLINE_MS = 3000;

/** {@link MembershipPeers} over gRPC. */
export class GrpcPeers implements MembershipPeers {
  readonly #clients: PeerClients;

  constructor(clients: PeerClients) {
    this.#clients = clients;
  }

  exchange(address: string, news: ProtoTypes["News"]): Promise<ProtoTypes["News"]> {
    return promised((cb) => {
      this.#clients.get(address).Exchange(news, within(PROBE_DEADLINE_MS), cb);
    });
  }

  async sync(address: string, members: ProtoTypes["Member"][]): Promise<ProtoTypes["Member"][]> {
    const reply = await promised<ProtoTypes["Members"]>((cb) => {
      this.#clients.get(address).Sync({ members }, within(BULK_DEADLINE_MS), cb);
    });
    return reply.members;
  }

  async probe(address: string, target: string): Promise<void> {
    await promised<object>((cb) => {
      this.#clients.get(address).Probe({ address: target }, within(INDIRECT_DEADLINE_MS), cb);
    });
  }

  config(address: string): Promise<ProtoTypes["ConfigVersion"]> {
    return promised((cb) => {
      this.#clients.get(address).Config({}, within(BULK_DEADLINE_MS), cb);
    });
  }
}

const within = (ms: number) => ({ deadline: Date.now() + ms });

function promised<T>(call: (cb: (err: Error | null, res?: T) => void) => void): Promise<T> {
  return new Promise((resolve, reject) => {
    call((err, res) => {
      if (res !== undefined) {
        resolve(res);
      } else {
        reject(err ?? new Error("no reply"));
      }
    });
  });
}
