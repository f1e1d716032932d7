import type { ProtoTypes } from "../common/rpc/ProtoTypes.ts";

type Member = ProtoTypes["Member"];

/**
 * Availability zones of members by address. An address that no member has, such as that of a client's connection, is
 * looked up by its host if all members on that host are in one zone.
 */
export class MemberZones {
  readonly #members: () => readonly Member[];
  /** The members from which the maps were made. */
  #indexed: readonly Member[] | undefined;
  #byAddress = new Map<string, string>();
  /** Zones by host; undefined for a host with members of several zones. */
  #byHost = new Map<string, string | undefined>();

  /** @param members the live members; the same array until they change */
  constructor(members: () => readonly Member[]) {
    this.#members = members;
  }

  /** Zone of the process at `address`, host:port; undefined if it is not known. */
  of(address: string): string | undefined {
    const members = this.#members();
    if (members !== this.#indexed) {
      this.#index(members);
    }
    return this.#byAddress.get(address) ?? this.#byHost.get(hostOf(address));
  }

  #index(members: readonly Member[]): void {
    this.#indexed = members;
    this.#byAddress = new Map(members.map((m) => [m.peer_address, m.zone]));
    this.#byHost = new Map();
    for (const { peer_address: address, zone } of members) {
      const host = hostOf(address);
      const isShared = this.#byHost.has(host) && this.#byHost.get(host) !== zone;
      this.#byHost.set(host, isShared ? undefined : zone);
    }
  }
}

function hostOf(address: string): string {
  return address.slice(0, address.lastIndexOf(":"));
}
