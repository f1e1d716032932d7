import type bunyan from "bunyan";
import type { Clock } from "../../common/lifecycle/Clock.ts";
import type { ProtoTypes } from "../../common/rpc/ProtoTypes.ts";
import type { TargetTable } from "../../membership/TargetTable.ts";
import { claimQuorum } from "../records/claimQuorum.ts";
import { awaitReplies } from "./awaitReplies.ts";
import type { DepartureHolder } from "./DepartureHolder.ts";

type Departure = ProtoTypes["Departure"];

/** Time to wait for the holders' replies, ms; a target waits one second for its acknowledgement. */
const TIMEOUT_MS = 800;

interface DepartureCopiesDeps {
  readonly table: Pick<TargetTable, "departed" | "isLeaving">;
  /** The members that hold this sidecar's departures. */
  readonly holders: () => readonly DepartureHolder[];
  /** Whether this sidecar is to be part of a fleet with others. */
  readonly hasPeers: () => boolean;
  readonly clock: Clock;
  readonly log: bunyan;
}

/**
 * Copies the departures of local targets to other members before they are acknowledged. An acknowledged departure must be
 * kept also if this process is killed right after.
 */
export class DepartureCopies {
  readonly #deps: DepartureCopiesDeps;
  #copied = new Set<string>();

  constructor(deps: DepartureCopiesDeps) {
    this.#deps = deps;
  }

  /** Resolves with whether all present departures may be acknowledged: enough other members hold them. */
  async secure(): Promise<boolean> {
    const { table, holders, hasPeers, clock, log } = this.#deps;
    if (table.isLeaving) {
      return false; // Announcements are no longer recorded; the next process acknowledges them.
    }
    const departed = table.departed();
    const due = departed.filter((d) => !this.#copied.has(keyOf(d)));
    if (due.length === 0) {
      return true;
    }
    const group = holders();
    const needed = claimQuorum(group.length);
    const isCopied =
      group.length === 0
        ? !hasPeers()
        : await awaitReplies(
            group.map((h) => h.send()),
            { needed, timeoutMs: TIMEOUT_MS, clock },
          );
    log.info({ departed: due, holders: group.map((h) => h.id), isCopied }, "departures copied");
    if (isCopied) {
      this.#copied = new Set([...this.#copied, ...due.map(keyOf)]);
      this.#forgetOthers();
    }
    return isCopied;
  }

  #forgetOthers(): void {
    const present = new Set(this.#deps.table.departed().map(keyOf));
    this.#copied = new Set([...this.#copied].filter((key) => present.has(key)));
  }
}

function keyOf({ target_id: id, born, sequence, left }: Departure): string {
  return JSON.stringify([id, born, sequence, left]);
}
