import type bunyan from "bunyan";
import type { Clock } from "../../common/lifecycle/Clock.ts";
import { Disposable } from "../../common/lifecycle/Disposable.ts";
import type { ProtoTypes } from "../../common/rpc/ProtoTypes.ts";
import { every } from "../../common/lifecycle/every.ts";
import { MAX_ANNOUNCEMENT_DELAY_MS } from "../../membership/departures/MAX_ANNOUNCEMENT_DELAY_MS.ts";
import type { TargetTable } from "../../membership/TargetTable.ts";
import { claimQuorum } from "../records/claimQuorum.ts";
import { askVoters } from "./askVoters.ts";
import type { DepartureControl } from "./DepartureControl.ts";
import type { DepartureHolder } from "./DepartureHolder.ts";

type ControlReply = Omit<ProtoTypes["DepartureReply"], "departed">;

/** Interval at which holders that are not yet witnesses are asked, ms. */
const ASK_INTERVAL_MS = 200;

interface DepartureRecoveryDeps {
  readonly table: Pick<
    TargetTable,
    | "beginRecovery"
    | "endRecovery"
    | "expireRecovery"
    | "isRecovering"
    | "runningMs"
    | "restoreDepartures"
    | "departed"
    | "checksum"
  >;
  readonly control: DepartureControl;
  /** The members that hold this sidecar's departures, dead ones included, among those known so far. */
  readonly holders: () => readonly DepartureHolder[];
  /** Called when held targets may have become live, or departures were restored. */
  readonly onTargetsChanged: () => void;
  readonly clock: Clock;
  readonly log: bunyan;
}

/**
 * Recovers, after a start, the departures of local targets that this sidecar's earlier incarnations have acknowledged. Each
 * was stored by a majority of the control replicas, and copied to all but one of a group of members. So the recovery ends
 * once either a majority of the control replicas, or all but one of the group, have shown what they have. If neither
 * can be reached, it ends when no announcement from before the start can be on its way any more.
 */
export class DepartureRecovery extends Disposable {
  readonly #deps: DepartureRecoveryDeps;
  /** Holders that are being asked. */
  readonly #asked = new Set<string>();
  /** Holders that have had every copy that matters since before this process was started. */
  readonly #witnesses = new Set<string>();
  /** The last reply of each control replica, for the log. */
  readonly #controlReplies = new Map<string, object>();

  constructor(deps: DepartureRecoveryDeps) {
    super();
    this.#deps = deps;
  }

  start(): void {
    this.#deps.table.beginRecovery();
    void this.askControl();
    this.register(every(ASK_INTERVAL_MS, () => void this.step()));
  }

  /** Asks the control replicas until a majority have replied. */
  async askControl(): Promise<void> {
    const { table, control, clock, onTargetsChanged } = this.#deps;
    const hasMajority = await askVoters({
      addresses: control.addresses,
      ask: (address) => control.ask(address, []),
      counts: (reply) => reply.complete,
      onReply: ({ departed, ...reply }) => {
        this.#noteReply(reply);
        if (table.restoreDepartures(departed)) {
          onTargetsChanged();
        }
      },
      isCancelled: () => this.isDisposed || !table.isRecovering,
      timeoutMs: MAX_ANNOUNCEMENT_DELAY_MS,
      clock,
    });
    if (hasMajority && table.isRecovering) {
      this.#end("control");
    }
  }

  /** Asks the holders that are not yet witnesses; ends the recovery once enough are, or after its longest time. */
  async step(): Promise<void> {
    const { table, holders, log } = this.#deps;
    if (!table.isRecovering) {
      return;
    }
    if (table.runningMs >= MAX_ANNOUNCEMENT_DELAY_MS) {
      log.warn(
        { control: [...this.#controlReplies.values()], witnesses: [...this.#witnesses] },
        "departures from before the start are unknown; targets are held until they announce again",
      );
      table.expireRecovery();
      return;
    }
    const due = holders().filter(({ id }) => !this.#asked.has(id) && !this.#witnesses.has(id));
    await Promise.all(due.map((h) => this.#ask(h)));
  }

  async #ask(holder: DepartureHolder): Promise<void> {
    const { table } = this.#deps;
    this.#asked.add(holder.id);
    try {
      const { checksum, running_ms: runningMs } = await holder.send();
      // With equal views, the group is the one that it would choose too.
      if (checksum === table.checksum && runningMs >= table.runningMs + MAX_ANNOUNCEMENT_DELAY_MS) {
        this.#witnesses.add(holder.id);
      }
    } catch {
      // It has not replied; it is asked again.
    }
    this.#asked.delete(holder.id);
    const group = this.#deps.holders();
    const count = group.filter((h) => this.#witnesses.has(h.id)).length;
    if (table.isRecovering && count > 0 && count >= claimQuorum(group.length)) {
      this.#end("members");
    }
  }

  #noteReply({ replica, complete, group_index: groupIndex, ...group }: ControlReply): void {
    const [voters, next] = [group.voters, group.next_voters].map((set) => set.map((v) => v.id));
    this.#controlReplies.set(replica, { replica, complete, groupIndex, voters, next });
  }

  #end(by: "control" | "members"): void {
    const { table, onTargetsChanged, log } = this.#deps;
    const ms = Math.round(table.runningMs);
    log.info({ departed: table.departed(), by, ms }, "departures recovered");
    table.endRecovery();
    onTargetsChanged();
  }
}
