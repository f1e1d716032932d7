import type bunyan from "bunyan";
import type { Clock } from "../../common/lifecycle/Clock.ts";
import { Disposable } from "../../common/lifecycle/Disposable.ts";
import { every } from "../../common/lifecycle/every.ts";
import type { TargetTable } from "../../membership/TargetTable.ts";
import type { DepartureHolder } from "./DepartureHolder.ts";

/** Interval at which holders that have not replied are asked, ms. */
const ASK_INTERVAL_MS = 100;

/**
 * Time after which the recovery ends without enough replies, ms. Targets that announce themselves repeatedly have not
 * waited for it; announcements are not expected to be delayed for longer.
 */
const MAX_RECOVERY_MS = 10_000;

/**
 * A holder that does not know this sidecar's earlier incarnation shows that there was none if its process is older than
 * this one by this time, ms. It may otherwise have been restarted at the same time, and have lost its copies.
 */
const MIN_HOLDER_AGE_MS = 10_000;

interface DepartureRecoveryDeps {
  readonly table: Pick<
    TargetTable,
    "beginRecovery" | "endRecovery" | "isRecovering" | "departed" | "own"
  >;
  /** The members that hold this sidecar's departures, among those known so far. */
  readonly holders: () => readonly DepartureHolder[];
  /** Called when held targets may have become live. */
  readonly onTargetsChanged: () => void;
  readonly clock: Clock;
  readonly log: bunyan;
}

/**
 * Recovers, after a start, the departures of local targets that this sidecar's earlier incarnation has acknowledged. They
 * come with the replies of the members that hold them (see Membership); this class asks those until a majority has
 * replied. Until then, local targets are held.
 */
export class DepartureRecovery extends Disposable {
  readonly #deps: DepartureRecoveryDeps;
  readonly #startedAt: number;
  /** The holders that have replied or are being asked. */
  readonly #asked = new Set<string>();
  /** The holders whose replies contained all departures that they were ever sent. */
  readonly #witnesses = new Set<string>();

  constructor(deps: DepartureRecoveryDeps) {
    super();
    this.#deps = deps;
    this.#startedAt = deps.clock.now();
  }

  start(): void {
    this.#deps.table.beginRecovery();
    this.register(every(ASK_INTERVAL_MS, () => void this.step()));
  }

  /** Asks the holders that have not replied yet; ends the recovery once a majority are witnesses, or after its time. */
  async step(): Promise<void> {
    const { table, holders } = this.#deps;
    if (!table.isRecovering) {
      return;
    }
    if (this.#elapsedMs >= MAX_RECOVERY_MS) {
      this.#end(0);
      return;
    }
    const due = holders().filter((h) => !this.#asked.has(keyOf(h)));
    await Promise.all(due.map((h) => this.#ask(h)));
  }

  async #ask(holder: DepartureHolder): Promise<void> {
    const key = keyOf(holder);
    this.#asked.add(key);
    try {
      const { predecessor } = await holder.send();
      if (predecessor !== null || this.#isOlderThanThis(holder)) {
        this.#witnesses.add(key);
      }
    } catch {
      this.#asked.delete(key); // It has not replied; it is asked again.
    }
    this.#endIfComplete();
  }

  #endIfComplete(): void {
    const group = this.#deps.holders();
    const witnesses = group.filter((h) => this.#witnesses.has(keyOf(h)));
    if (this.#deps.table.isRecovering && witnesses.length > group.length / 2) {
      this.#end(witnesses.length);
    }
  }

  #isOlderThanThis({ incarnation }: DepartureHolder): boolean {
    return incarnation <= this.#deps.table.own.incarnation - MIN_HOLDER_AGE_MS;
  }

  #end(witnesses: number): void {
    const { table, onTargetsChanged, log } = this.#deps;
    const ms = Math.round(this.#elapsedMs);
    log.info({ departed: table.departed(), witnesses, ms }, "departures recovered");
    table.endRecovery();
    onTargetsChanged();
  }

  get #elapsedMs(): number {
    return this.#deps.clock.now() - this.#startedAt;
  }
}

function keyOf({ id, incarnation }: DepartureHolder): string {
  return `${id}@${incarnation}`;
}
