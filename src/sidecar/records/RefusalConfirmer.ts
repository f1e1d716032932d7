import { randomUUID } from "node:crypto";
import type bunyan from "bunyan";
import type { AttemptId } from "../../common/ids/AttemptId.ts";
import type { Clock } from "../../common/lifecycle/Clock.ts";
import type { ForwardResult } from "../forwarding/ForwardResult.ts";
import { RETRY_AFTER_MS } from "../forwarding/RETRY_AFTER_MS.ts";
import type { TargetRequest } from "../forwarding/TargetRequest.ts";
import { claimQuorum } from "./claimQuorum.ts";
import { moreConclusive } from "./moreConclusive.ts";
import { recordFingerprint } from "./recordFingerprint.ts";
import type { RecordPeer } from "./RecordPeer.ts";
import { resultOfRecord } from "./resultOfRecord.ts";
import type { RunRecord } from "./RunRecord.ts";
import { unknownEarlierAttempt } from "./unknownEarlierAttempt.ts";

interface RefusalConfirmerDeps {
  /** Returns the record group of a key: the sidecars that hold its record. */
  readonly group: (key: string) => readonly RecordPeer[];
  /** Whether this sidecar knows enough members to tell a key's record group. */
  readonly isGroupKnown: (group: readonly RecordPeer[]) => boolean;
  readonly clock: Clock;
  readonly log: bunyan;
}

/** A request of which this attempt is refused. */
interface RefusedRequest extends Pick<TargetRequest, "method" | "path" | "body" | "bodyLength"> {
  readonly attempt: AttemptId;
  /** Arrival at this sidecar, by the monotonic clock, ms. */
  readonly startedAt: number;
}

/** Replies of the record group to a refusal. */
interface RefusalReplies {
  /** Number of holders without a record, which bar earlier attempts from now on. */
  readonly barred: number;
  /** The most conclusive record of another attempt. */
  readonly held: RunRecord | undefined;
}

/**
 * Confirms that a request with an idempotency key, of which this attempt is refused, has not been run by an earlier
 * attempt either and will not be. The target's sidecar asks the record group only before a run; an attempt that gets
 * no slot would otherwise be reported as not run although an earlier one may have run, and its caller could book
 * again.
 */
export class RefusalConfirmer {
  readonly #deps: RefusalConfirmerDeps;

  constructor(deps: RefusalConfirmerDeps) {
    this.#deps = deps;
  }

  /**
   * Returns `refusal` if no attempt with the key `key` has run or will; otherwise the stored response, or a verdict
   * that an earlier attempt is in progress or may have run.
   *
   * @param timeoutMs longest time that an earlier attempt may take
   */
  async confirm(
    key: string,
    req: RefusedRequest,
    timeoutMs: number,
    refusal: ForwardResult,
  ): Promise<ForwardResult> {
    const { group: groupOf, isGroupKnown, clock, log } = this.#deps;
    const group = groupOf(key);
    const record: RunRecord = {
      state: "claimed",
      attempt: randomUUID(),
      fingerprint: recordFingerprint(req),
      deadlineAt: req.startedAt + timeoutMs,
    };
    const { barred, held } = await refuseAll(group, key, record, req.startedAt);
    const isOutcomeHeld = held !== undefined && held.state !== "claimed";
    // A claim that a majority of the holders does not have cannot reach its quorum any more.
    const isExcluded = isGroupKnown(group) && barred >= majorityOf(group.length) && !isOutcomeHeld;
    const result = isExcluded
      ? withMinRetryAfter(refusal)
      : held
        ? resultOfRecord(held, record.fingerprint, clock.now())
        : unknownEarlierAttempt(
            "too few record holders reachable to rule out an earlier attempt with this key",
          );
    const replies = { holders: group.length, barred, held: held?.state };
    const { attempt } = req;
    log.info({ attempt, ...replies, verdict: result.verdict }, "refusal of keyed request checked");
    return result;
  }
}

/** Refuses the key at every holder; resolves once the result is certain, or every holder has replied or timed out. */
function refuseAll(
  group: readonly RecordPeer[],
  key: string,
  record: RunRecord,
  startedAt: number,
): Promise<RefusalReplies> {
  const needed = claimQuorum(group.length);
  return new Promise((resolve) => {
    let barred = 0;
    let pending = group.length;
    let held: RunRecord | undefined;
    const resolveIfCertain = () => {
      if (pending === 0 || held?.state === "done" || (barred >= needed && !held)) {
        resolve({ barred, held });
      }
    };
    for (const holder of group) {
      holder
        .refuse(key, record, startedAt)
        .then(
          (reply) => {
            barred += reply.kind === "granted" ? 1 : 0;
            held = reply.kind === "held" ? moreConclusive(held, reply.record) : held;
          },
          () => undefined, // An unreachable holder counts as one without a reply.
        )
        .finally(() => {
          pending -= 1;
          resolveIfCertain();
        });
    }
    resolveIfCertain();
  });
}

function majorityOf(size: number): number {
  return Math.floor(size / 2) + 1;
}

/** Asks callers to wait until their next attempt can be distinguished from those that the refusal has barred. */
function withMinRetryAfter(refusal: ForwardResult): ForwardResult {
  const { verdict, outcome } = refusal;
  if (verdict.kind !== "not-run") {
    return refusal;
  }
  const retryAfterMs = Math.max(verdict.retryAfterMs, RETRY_AFTER_MS);
  return { verdict: { ...verdict, retryAfterMs }, outcome };
}
