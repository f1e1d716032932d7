import { Disposable } from "../../common/lifecycle/Disposable.ts";
import { every } from "../../common/lifecycle/every.ts";
import { chooseRecordGroup } from "./chooseRecordGroup.ts";
import type { RunRecord } from "./RunRecord.ts";
import type { RunRecords } from "./RunRecords.ts";

/** How often changes of the members are looked for, ms. */
const CHECK_MS = 500;

interface Member {
  readonly id: string;
  readonly zone: string;
  readonly peerAddress: string;
  readonly incarnation: number;
}

type KeyedRecord = ReturnType<RunRecords["entries"]>[number];

/** What the handover needs; passed in so tests can fake each. */
interface RecordHandoverDeps {
  readonly selfId: string;
  readonly records: RunRecords;
  readonly pool: () => readonly Member[];
  readonly send: (peerAddress: string, records: readonly KeyedRecord[]) => Promise<void>;
}

/**
 * Repairs record groups: when a member joins, or comes back with its process
 * restarted and maybe its disk lost, every holder copies it the records whose
 * groups it is now in. Without this, losing one machine after another would
 * wear a record away, as when a second machine is lost right after a repair.
 */
export class RecordHandover extends Disposable {
  readonly #deps: RecordHandoverDeps;
  #served = new Set<string>();

  constructor(deps: RecordHandoverDeps) {
    super();
    this.#deps = deps;
  }

  /** Starts looking for new members until disposed. */
  start(): void {
    this.register(every(CHECK_MS, () => void this.check()));
  }

  /** Hands records to members not served yet; one that cannot be reached is tried again next time. */
  async check(): Promise<void> {
    const pool = this.#deps.pool();
    const others = pool.filter((m) => m.id !== this.#deps.selfId);
    const current = new Set(others.map(identity));
    this.#served = new Set([...this.#served].filter((id) => current.has(id)));
    const newcomers = others.filter((m) => !this.#served.has(identity(m)));
    if (newcomers.length === 0) {
      return;
    }
    const groups = this.#deps.records.entries().map((entry) => ({
      entry,
      ids: new Set(chooseRecordGroup(entry.key, pool).map((m) => m.id)),
    }));
    await Promise.all(
      newcomers.map(async (m) => {
        const due = groups.filter((g) => g.ids.has(m.id)).map((g) => g.entry);
        if (due.length === 0 || (await this.#hand(m, due))) {
          this.#served.add(identity(m));
        }
      }),
    );
  }

  async #hand(
    member: Member,
    due: readonly { key: string; record: RunRecord }[],
  ): Promise<boolean> {
    try {
      await this.#deps.send(member.peerAddress, due);
      return true;
    } catch {
      return false;
    }
  }
}

const identity = (m: Member) => `${m.id}@${m.incarnation}`;
