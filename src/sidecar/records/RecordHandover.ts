import { Disposable } from "../../common/lifecycle/Disposable.ts";
import { every } from "../../common/lifecycle/every.ts";
import { chooseRecordGroup } from "./chooseRecordGroup.ts";
import type { RunRecord } from "./RunRecord.ts";
import type { RunRecords } from "./RunRecords.ts";

/** Interval at which the members are checked for changes, ms. */
const CHECK_INTERVAL_MS = 500;

interface Member {
  readonly id: string;
  readonly zone: string;
  readonly peerAddress: string;
  readonly incarnation: number;
}

type KeyedRecord = ReturnType<RunRecords["entries"]>[number];

/** Dependencies, which tests replace by fakes. */
interface RecordHandoverDeps {
  readonly selfId: string;
  readonly records: RunRecords;
  readonly pool: () => readonly Member[];
  readonly send: (peerAddress: string, records: readonly KeyedRecord[]) => Promise<void>;
}

/**
 * Repairs record groups: when a member joins, or restarts and may have lost its
 * disk, every record holder sends it copies of the records whose groups now
 * include it. Without this, losing one VM after another would remove all copies
 * of a record, for example when a second one fails right after a repair.
 */
export class RecordHandover extends Disposable {
  readonly #deps: RecordHandoverDeps;
  #upToDate = new Set<string>();

  constructor(deps: RecordHandoverDeps) {
    super();
    this.#deps = deps;
  }

  /** Checks for new members periodically until disposed. */
  start(): void {
    this.register(every(CHECK_INTERVAL_MS, () => void this.transferToNewMembers()));
  }

  /** Sends records to members that have not received theirs yet; an unreachable member is tried again at the next check. */
  async transferToNewMembers(): Promise<void> {
    const pool = this.#deps.pool();
    const others = pool.filter((member) => member.id !== this.#deps.selfId);
    const current = new Set(others.map(incarnationKey));
    this.#upToDate = new Set([...this.#upToDate].filter((id) => current.has(id)));
    const newMembers = others.filter((member) => !this.#upToDate.has(incarnationKey(member)));
    if (newMembers.length === 0) {
      return;
    }
    const groups = this.#deps.records.entries().map((entry) => ({
      entry,
      ids: new Set(chooseRecordGroup(entry.key, pool).map((member) => member.id)),
    }));
    await Promise.all(
      newMembers.map(async (member) => {
        const records = groups.filter((g) => g.ids.has(member.id)).map((g) => g.entry);
        if (records.length === 0 || (await this.#transfer(member, records))) {
          this.#upToDate.add(incarnationKey(member));
        }
      }),
    );
  }

  async #transfer(
    member: Member,
    records: readonly { key: string; record: RunRecord }[],
  ): Promise<boolean> {
    try {
      await this.#deps.send(member.peerAddress, records);
      return true;
    } catch {
      return false;
    }
  }
}

const incarnationKey = (member: Member) => `${member.id}@${member.incarnation}`;
