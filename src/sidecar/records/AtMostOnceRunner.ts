import { createHash, randomUUID } from "node:crypto";
import type { Clock } from "../../common/lifecycle/Clock.ts";
import { AttemptOutcome } from "../detection/AttemptOutcome.ts";
import { claimQuorum } from "./claimQuorum.ts";
import type { ClaimReply } from "./ClaimReply.ts";
import { flattenHeaders } from "./flattenHeaders.ts";
import type { ForwardResult } from "../forwarding/ForwardResult.ts";
import { RETRY_AFTER_MS } from "../forwarding/RETRY_AFTER_MS.ts";
import type { TargetRequest } from "../forwarding/TargetRequest.ts";
import { OutcomeReplicator } from "./OutcomeReplicator.ts";
import type { RecordPeer } from "./RecordPeer.ts";
import type { RunRecord } from "./RunRecord.ts";
import type { TargetInfo } from "../../membership/TargetInfo.ts";

/** Answers larger than this are not kept for replay, bytes; a resend then only learns that it ran. */
const MAX_STORED_BYTES = 64 * 1024;

/** Grace after an attempt's deadline before a claim left behind counts as of unknown outcome, ms. */
const CLAIM_GRACE_MS = 500;

/** What the runner needs from the rest of the sidecar; passed in so tests can fake each. */
interface AtMostOnceRunnerDeps {
  /** The replicas that keep the record of a key. */
  readonly group: (key: string) => readonly RecordPeer[];
  readonly send: (target: TargetInfo, req: TargetRequest) => Promise<ForwardResult>;
  readonly clock: Clock;
}

/** What the replicas said to a claim. */
type ClaimResult =
  | { readonly kind: "granted" }
  | { readonly kind: "held"; readonly record: RunRecord }
  | { readonly kind: "unreachable" };

/**
 * Runs non-idempotent requests at most once, beside the target. Before the
 * target sees the request, a quorum of the key's record group must have
 * recorded the attempt; a later request with the same key, through whatever
 * sidecar, finds that record and gets the stored answer, or learns that the
 * first is in progress or of unknown outcome. It never runs a second time.
 *
 * Comdb2 detects replays by a key kept with the data that the transaction
 * changes ("Comdb2", section on transaction replay); here targets are not
 * ours, so the record is kept beside them, by several sidecars.
 */
export class AtMostOnceRunner {
  readonly #deps: AtMostOnceRunnerDeps;
  readonly #outcomes: OutcomeReplicator;

  constructor(deps: AtMostOnceRunnerDeps) {
    this.#deps = deps;
    this.#outcomes = new OutcomeReplicator(deps.clock);
  }

  /** Runs `req`, whose idempotency key is `key`, at `target`; always resolves. */
  async run(key: string, target: TargetInfo, req: TargetRequest): Promise<ForwardResult> {
    const group = this.#deps.group(key);
    const record: RunRecord = {
      state: "claimed",
      attempt: randomUUID(),
      fingerprint: fingerprint(req),
      deadlineAt: req.deadlineAt,
    };
    const claimed = await claimAll(group, key, record);
    switch (claimed.kind) {
      case "granted":
        return this.#runClaimed(group, key, record, target, req);
      case "held":
        await this.#outcomes.keep(group, key, record.attempt, undefined);
        return answerHeld(claimed.record, record.fingerprint, target, this.#deps.clock.now());
      case "unreachable":
        // Without a quorum the next attempt might not find this one, so nothing may run.
        await this.#outcomes.keep(group, key, record.attempt, undefined);
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
      await this.#outcomes.keep(group, key, record.attempt, undefined);
      return notRun("deadline passed before the request was sent");
    }
    const out = await this.#deps.send(target, req);
    // Before the caller hears: a resend must find the outcome, and after a not-run the key
    // must be free again, also when this process ends in the next moment. One round trip.
    await this.#outcomes.keep(group, key, record.attempt, toRecord(record, out));
    return out;
  }
}

/** Asks every replica; resolves as soon as the answer is certain. */
function claimAll(
  group: readonly RecordPeer[],
  key: string,
  record: RunRecord,
): Promise<ClaimResult> {
  const needed = claimQuorum(group.length);
  return new Promise<ClaimResult>((resolve) => {
    let granted = 0;
    let answered = 0;
    let held: RunRecord | undefined;
    const note = (reply: ClaimReply | undefined) => {
      answered += 1;
      if (reply?.kind === "granted") {
        granted += 1;
      } else if (reply) {
        held = moreTelling(held, reply.record);
      }
      const proven = held !== undefined && held.state !== "claimed";
      if (granted >= needed && !proven) {
        // A claim of another attempt seen beside a quorum of grants is one that
        // never got a quorum itself, so it cannot have run.
        resolve({ kind: "granted" });
      } else if (held && (held.state === "done" || answered === group.length)) {
        resolve({ kind: "held", record: held });
      } else if (answered === group.length) {
        resolve({ kind: "unreachable" });
      }
    };
    for (const replica of group) {
      replica.claim(key, record).then(note, () => {
        note(undefined);
      });
    }
  });
}

/** The record that says more: done over unknown over claimed. */
function moreTelling(a: RunRecord | undefined, b: RunRecord): RunRecord {
  const rank = { claimed: 0, unknown: 1, done: 2 } as const;
  return a && rank[a.state] >= rank[b.state] ? a : b;
}

function answerHeld(held: RunRecord, mine: string, target: TargetInfo, now: number): ForwardResult {
  if (held.fingerprint !== mine) {
    return notRun("idempotency key was used for another request", 422);
  }
  if (held.state === "done") {
    return {
      verdict: { kind: "done", target: target.id, status: held.answer.status },
      outcome: AttemptOutcome.Cancelled,
      headers: { ...held.answer.headers, "idempotency-replayed": "true" },
      body: Buffer.from(held.answer.body, "base64"),
    };
  }
  if (held.state === "claimed" && now < held.deadlineAt + CLAIM_GRACE_MS) {
    return {
      verdict: { kind: "in-progress", retryAfterMs: RETRY_AFTER_MS },
      outcome: AttemptOutcome.Cancelled,
    };
  }
  return {
    verdict: {
      kind: "may-have-run",
      target: target.id,
      reason: "an earlier attempt with this key has no known outcome",
      timedOut: true,
      retryAfterMs: RETRY_AFTER_MS,
    },
    outcome: AttemptOutcome.Cancelled,
  };
}

/** The record of how an attempt ended; undefined when it did not run, which frees the key. */
function toRecord(claim: RunRecord, out: ForwardResult): RunRecord | undefined {
  if (out.verdict.kind === "not-run") {
    return undefined;
  }
  const { attempt, fingerprint: digest, deadlineAt } = claim;
  if (!("body" in out) || !Buffer.isBuffer(out.body) || out.body.length > MAX_STORED_BYTES) {
    return { state: "unknown", attempt, fingerprint: digest, deadlineAt };
  }
  const answer = {
    status: out.verdict.status,
    headers: flattenHeaders(out.headers),
    body: out.body.toString("base64"),
  };
  return { state: "done", attempt, fingerprint: digest, deadlineAt, answer };
}

/** A body that is passed on as it comes counts by its length only: it cannot be read before it is sent. */
function fingerprint(req: TargetRequest): string {
  const digest = createHash("sha256").update(`${req.method}\n${req.path}\n`);
  const body = Buffer.isBuffer(req.body) ? req.body : `stream of ${req.bodyLength ?? "any"} bytes`;
  return digest.update(req.body === undefined ? "" : body).digest("base64");
}

function notRun(reason: string, status?: number): ForwardResult {
  return {
    verdict: { kind: "not-run", reason, retryAfterMs: RETRY_AFTER_MS, status },
    outcome: AttemptOutcome.Cancelled,
  };
}
