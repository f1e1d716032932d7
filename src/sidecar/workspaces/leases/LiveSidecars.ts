import type { TargetTable } from "../../../membership/TargetTable.ts";
import type { RankedSidecar } from "./RankedSidecar.ts";

/** The sidecars that may hold quotas: the live ones that are not being stopped, this one included. */
export class LiveSidecars {
  readonly #table: Pick<TargetTable, "own" | "liveMembers">;
  #members: ReturnType<TargetTable["liveMembers"]> | undefined;
  #isStopping = false;
  #list: readonly RankedSidecar[] = [];

  constructor(table: Pick<TargetTable, "own" | "liveMembers">) {
    this.#table = table;
  }

  /** The same array for as long as the view of the members has not changed. */
  get list(): readonly RankedSidecar[] {
    const { own } = this.#table;
    const members = this.#table.liveMembers();
    if (members !== this.#members || own.stopping !== this.#isStopping) {
      this.#members = members;
      this.#isStopping = own.stopping;
      this.#list = [own, ...members]
        .filter((m) => !m.control && !m.stopping)
        .map((m) => ({ id: m.sidecar_id, address: m.peer_address }));
    }
    return this.#list;
  }
}
