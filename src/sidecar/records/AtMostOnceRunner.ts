import type { Clock } from "../../common/lifecycle/Clock.ts";
import { AttemptOutcome } from "../detection/AttemptOutcome.ts";
import { claimQuorum } from "./claimQuorum.ts";
import type { ClaimReply } from "./ClaimReply.ts";
import { flattenHeaders } from "./flattenHeaders.ts";
import type { ForwardResult } from "../forwarding/ForwardResult.ts";
import { RETRY_AFTER_MS } from "../forwarding/RETRY_AFTER_MS.ts";
import type { TargetRequest } from "../forwarding/TargetRequest.ts";
import { moreConclusive } from "./moreConclusive.ts";
import { OutcomeReplicator } from "./OutcomeReplicator.ts";
import { recordAttempt } from "./recordAttempt.ts";
import { recordFingerprint } from "./recordFingerprint.ts";
import type { RecordPeer } from "./RecordPeer.ts";
import { resultOfRecord } from "./resultOfRecord.ts";
import type { RunRecord } from "./RunRecord.ts";
import type { TargetInfo } from "../../membership/TargetInfo.ts";

/** Larger responses are not stored for replay, bytes; a resend of the request then gets a may-have-run verdict. */
const MAX_STORED_BYTES = 64 * 1024;

/** Dependencies on the rest of the sidecar, which tests replace by fakes. */
interface AtMostOnceRunnerDeps {
  /** Returns the record group of a key: the sidecars that hold its record. */
  readonly group: (key: string) => readonly RecordPeer[];
  readonly send: (target: TargetInfo, req: TargetRequest) => Promise<ForwardResult>;
  /** Called with the replies of the record group, by holder, when a claim finds too few of them. */
  readonly onUnreachable?: (req: TargetRequest, replies: Readonly<Record<string, string>>) => void;
  readonly clock: Clock;
}

/** The combined result of a claim at all replicas of a record group. */
type ClaimResult =
  | { readonly kind: "granted" }
  | { readonly kind: "held"; readonly record: RunRecord }
  | { readonly kind: "refused" }
  | { readonly kind: "unreachable"; readonly replies: Readonly<Record<string, string>> };

/**
 * Runs non-idempotent requests at the co-located target at most once. Before
 * the target receives the request, a quorum of the key's record group must have
 * recorded the attempt. A later request with the same key, through any sidecar,
 * finds that record and gets the stored response, or a verdict that the first
 * one is in progress or has an unknown outcome. It never runs a second time.
 *
 * Comdb2 detects replays by a key kept with the data that the transaction
 * changes ("Comdb2", section on transaction replay). Here the targets belong to
 * others, so several sidecars keep the record outside of the targets.
 */
export class AtMostOnceRunner {
  readonly #deps: AtMostOnceRunnerDeps;
  readonly #outcomes: OutcomeReplicator;

  constructor(deps: AtMostOnceRunnerDeps) {
    this.#deps = deps;
    this.#outcomes = new OutcomeReplicator(deps.clock);
  }

  /** Runs `req` with the idempotency key `key` at `target`; never rejects. */
  async run(key: string, target: TargetInfo, req: TargetRequest): Promise<ForwardResult> {
    const group = this.#deps.group(key);
    const record: RunRecord = {
      state: "claimed",
      attempt: recordAttempt.create(req.dispatch),
      target: target.id,
      fingerprint: recordFingerprint(req),
      deadlineAt: req.deadlineAt,
    };
    const startedAt = req.startedAt ?? this.#deps.clock.now();
    const claimed = await claimAll(group, key, record, startedAt);
    switch (claimed.kind) {
      case "granted":
        return this.#runClaimed(group, key, record, target, req);
      case "held":
        await this.#outcomes.replicate(group, key, record.attempt, undefined);
        return resultOfRecord(claimed.record, record.fingerprint, this.#deps.clock.now());
      case "refused":
        await this.#outcomes.replicate(group, key, record.attempt, undefined);
        return notRun("a later attempt with this key has been refused");
      case "unreachable":
        this.#deps.onUnreachable?.(req, claimed.replies);
        // Without a quorum a later attempt might not find this one, so it must not run.
        await this.#outcomes.replicate(group, key, record.attempt, undefined);
        return notRun("too few record replicas reachable");
    }
  }

  async #runClaimed(
    group: readonly RecordPeer[],
    key: string,
    record: RunRecord,
    target: TargetInfo,
    req: TargetRequest,
  ): Promise<ForwardResult> {
    if (this.#deps.clock.now() >= req.deadlineAt) {
      await this.#outcomes.replicate(group, key, record.attempt, undefined);
      return notRun("deadline passed before the request was sent");
    }
    const out = await this.#deps.send(target, req);
    // This comes before the response to the caller, at the cost of one round trip: a resend must find
    // the outcome, and after a not-run the key must be free, even if this process ends right after.
    await this.#outcomes.replicate(group, key, record.attempt, toRecord(record, out));
    return out;
  }
}

/** Claims the key at every replica; resolves as soon as the combined result is certain. */
function claimAll(
  group: readonly RecordPeer[],
  key: string,
  record: RunRecord,
  startedAt: number,
): Promise<ClaimResult> {
  const needed = claimQuorum(group.length);
  return new Promise<ClaimResult>((resolve) => {
    const replies: Record<string, string> = {};
    let granted = 0;
    let held: RunRecord | undefined;
    let isRefused = false;
    const resolveIfCertain = () => {
      const isComplete = Object.keys(replies).length === group.length;
      const hasOutcome = held !== undefined && held.state !== "claimed";
      if (granted >= needed && granted > 0 && !hasOutcome) {
        // Another attempt's claim, found in spite of a quorum of grants, cannot have
        // had a quorum itself, so that attempt has not run.
        resolve({ kind: "granted" });
      } else if (held && (held.state === "done" || isComplete)) {
        resolve({ kind: "held", record: held });
      } else if (isComplete) {
        resolve(isRefused ? { kind: "refused" } : { kind: "unreachable", replies });
      }
    };
    const onReply = (reply: ClaimReply) => {
      granted += reply.kind === "granted" ? 1 : 0;
      isRefused ||= reply.kind === "refused";
      held = reply.kind === "held" ? moreConclusive(held, reply.record) : held;
      return reply.kind;
    };
    const onError = (err: unknown) => (err instanceof Error ? err.message : String(err));
    for (const replica of group) {
      void replica
        .claim(key, record, startedAt)
        .then(onReply, onError)
        .then((reply) => {
          replies[replica.id] = reply;
          resolveIfCertain();
        });
    }
    resolveIfCertain();
  });
}

/** The record of an attempt's outcome; undefined if it did not run, which releases the key. */
function toRecord(claim: RunRecord, out: ForwardResult): RunRecord | undefined {
  if (out.verdict.kind === "not-run") {
    return undefined;
  }
  const { attempt, target, fingerprint, deadlineAt } = claim;
  const common = { attempt, target, fingerprint, deadlineAt };
  if (!("body" in out) || !Buffer.isBuffer(out.body) || out.body.length > MAX_STORED_BYTES) {
    return { state: "unknown", ...common };
  }
  const answer = {
    status: out.verdict.status,
    headers: flattenHeaders(out.headers),
    body: out.body.toString("base64"),
  };
  return { state: "done", ...common, answer };
}

function notRun(reason: string): ForwardResult {
  return {
    verdict: { kind: "not-run", reason, retryAfterMs: RETRY_AFTER_MS },
    outcome: AttemptOutcome.Cancelled,
  };
}
