import type { TargetId } from "../../common/ids/TargetId.ts";
import type { Clock } from "../../common/lifecycle/Clock.ts";
import type { TargetInfo } from "../../membership/TargetInfo.ts";
import { NamedLimit } from "./NamedLimit.ts";
import type { TargetSignals } from "./TargetSignals.ts";

/** Maximum number of targets remembered, some 100 bytes each; the oldest are forgotten first. */
const MAX_ENTRIES = 4096;

/** What identifies an incarnation of a target, and its last return to service. */
type TargetRef = Pick<TargetInfo, "id" | "born" | "resumed">;

/** What is remembered of a target, in log lines. */
interface NoticeChange {
  /** Limit, requests a second; undefined if it names none. */
  readonly limitPerS: number | undefined;
  readonly isLeaving: boolean;
}

/** What one incarnation of a target has said. */
interface Notice {
  /** Start time of the incarnation; undefined if the target was not known at that time. */
  readonly born: number | undefined;
  readonly limit: NamedLimit;
  /** Value of `resumed` when the target last said that it was leaving; undefined if it did not. */
  leftAfter: number | undefined;
}

/**
 * What targets have said about themselves in the responses that this sidecar has returned to callers. It is remembered
 * while a target is out of sight, since the sidecar beside the target may start again meanwhile and know nothing of it.
 */
export class TargetNotices {
  readonly #clock: Clock;
  readonly #notices = new Map<TargetId, Notice>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * Records what a response says about the target `id`; returns what is remembered of it if that has changed.
   *
   * @param table the targets as known now; the target may not be among them
   * @param sentAt when its request was received from the caller, ms
   */
  record(
    id: TargetId,
    table: { target(id: TargetId): TargetRef | undefined },
    { limit, isLeaving }: TargetSignals,
    sentAt: number,
  ): NoticeChange | undefined {
    const target = table.target(id);
    const notice = this.#existing(id, target?.born) ?? {
      born: target?.born,
      limit: new NamedLimit(),
      leftAfter: undefined,
    };
    const before = { limitPerS: notice.limit.perS, leftAfter: notice.leftAfter };
    notice.limit.record(limit, sentAt, this.#clock.now());
    if (isLeaving) {
      notice.leftAfter = target?.resumed ?? 0;
    }
    this.#notices.delete(id);
    if (notice.limit.perS !== undefined || notice.leftAfter !== undefined) {
      this.#notices.set(id, notice);
      this.#dropOldest();
    }
    const limitPerS = notice.limit.perS;
    const isChanged = limitPerS !== before.limitPerS || notice.leftAfter !== before.leftAfter;
    return isChanged ? { limitPerS, isLeaving: notice.leftAfter !== undefined } : undefined;
  }

  /** The limit that the target has named, requests a second; undefined if there is none. */
  limitOf({ id, born }: TargetRef): number | undefined {
    return this.#existing(id, born)?.limit.perS;
  }

  /** Whether the target has said that it is leaving, and has not returned to service since. */
  isLeaving({ id, born, resumed }: TargetRef): boolean {
    const leftAfter = this.#existing(id, born)?.leftAfter;
    return leftAfter !== undefined && (resumed === 0 || resumed === leftAfter);
  }

  /** The notice of the same incarnation; one whose incarnation is unknown counts for any. */
  #existing(id: TargetId, born: number | undefined): Notice | undefined {
    const notice = this.#notices.get(id);
    const isSame = notice?.born === undefined || born === undefined || notice.born === born;
    return isSame ? notice : undefined;
  }

  #dropOldest(): void {
    const [oldest] = this.#notices.keys();
    if (this.#notices.size > MAX_ENTRIES && oldest !== undefined) {
      this.#notices.delete(oldest);
    }
  }
}
