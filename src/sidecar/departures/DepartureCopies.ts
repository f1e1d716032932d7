import type bunyan from "bunyan";
import type { Clock } from "../../common/lifecycle/Clock.ts";
import type { ProtoTypes } from "../../common/rpc/ProtoTypes.ts";
import { MAX_ANNOUNCEMENT_DELAY_MS } from "../../membership/departures/MAX_ANNOUNCEMENT_DELAY_MS.ts";
import type { TargetTable } from "../../membership/TargetTable.ts";
import { claimQuorum } from "../records/claimQuorum.ts";
import { askVoters } from "./askVoters.ts";
import { awaitReplies } from "./awaitReplies.ts";
import type { DepartureControl } from "./DepartureControl.ts";
import type { DepartureHolder } from "./DepartureHolder.ts";

type Departure = ProtoTypes["Departure"];

/** Time to wait for the replies, ms; a target waits one second for its acknowledgement. */
const TIMEOUT_MS = 800;

interface DepartureCopiesDeps {
  readonly table: Pick<
    TargetTable,
    "departed" | "isLeaving" | "memberCount" | "checksum" | "runningMs"
  >;
  readonly control: DepartureControl;
  /** The members that hold this sidecar's departures. */
  readonly holders: () => readonly DepartureHolder[];
  /** Whether this sidecar is to be part of a fleet with others. */
  readonly hasPeers: () => boolean;
  readonly clock: Clock;
  readonly log: bunyan;
}

/**
 * Copies the departures of local targets before they are acknowledged: to the disks of a majority of the control replicas,
 * and to other members. Either group can return them later, so a restarted sidecar can recover them if it reaches one.
 */
export class DepartureCopies {
  readonly #deps: DepartureCopiesDeps;
  #copied = new Set<string>();

  constructor(deps: DepartureCopiesDeps) {
    this.#deps = deps;
  }

  /** Resolves with whether all present departures may be acknowledged: both groups hold them. */
  async secure(): Promise<boolean> {
    const { table, log } = this.#deps;
    if (table.isLeaving) {
      return false; // Announcements are no longer recorded; the next process acknowledges them.
    }
    const departed = table.departed();
    const present = new Set(departed.map(keyOf));
    this.#copied = new Set([...this.#copied].filter((key) => present.has(key)));
    const due = departed.filter((d) => !this.#copied.has(keyOf(d)));
    if (due.length === 0) {
      return true;
    }
    const [isStored, isHeld] = await Promise.all([this.#storeAtControl(departed), this.#copy(due)]);
    if (isStored && isHeld) {
      this.#copied = new Set([...this.#copied, ...due.map(keyOf)]);
      return true;
    }
    log.info({ departed: due, isStored, isHeld }, "departures not acknowledged: too few copies");
    return false;
  }

  async #storeAtControl(departed: readonly Departure[]): Promise<boolean> {
    const { control, clock } = this.#deps;
    return (
      control.addresses().length === 0 ||
      (await askVoters({
        addresses: control.addresses,
        ask: (address) => control.ask(address, departed),
        counts: () => true,
        timeoutMs: TIMEOUT_MS,
        clock,
      }))
    );
  }

  /** Sends the departures to other members; each of them is tried twice. */
  async #copy(due: readonly Departure[]): Promise<boolean> {
    const { table, holders, hasPeers, clock, log } = this.#deps;
    const group = holders();
    if (group.length === 0) {
      return table.memberCount > 1 || !hasPeers();
    }
    log.info({ departed: due, holders: group.map((h) => h.id) }, "departures sent to members");
    // Soon after the start, the view may be incomplete, so that these are not the members that are asked after a restart.
    let isViewShared = table.runningMs >= MAX_ANNOUNCEMENT_DELAY_MS;
    const send = async (holder: DepartureHolder) => {
      const { checksum } = await holder.send().catch(() => holder.send());
      isViewShared ||= checksum === table.checksum;
    };
    const needed = claimQuorum(group.length);
    return (
      (await awaitReplies(group.map(send), { needed, timeoutMs: TIMEOUT_MS, clock })) &&
      isViewShared
    );
  }
}

function keyOf({ target_id: id, born, sequence, left }: Departure): string {
  return JSON.stringify([id, born, sequence, left]);
}
