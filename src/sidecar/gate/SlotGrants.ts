import type { GrantId } from "../../common/ids/GrantId.ts";
import type { Clock } from "../../common/lifecycle/Clock.ts";
import { AttemptOutcome } from "../detection/AttemptOutcome.ts";
import type { HealthDetector } from "../detection/HealthDetector.ts";
import type { GateLoad } from "../hop/GateLoad.ts";
import { grantTtlMs } from "../hop/grantTtlMs.ts";
import type { SlotReply } from "../hop/SlotReply.ts";
import type { SlotRequest } from "../hop/SlotRequest.ts";
import type { DemandPublisher } from "./DemandPublisher.ts";
import type { GateActivity } from "./GateActivity.ts";
import type { FairShares } from "../fairness/FairShares.ts";
import type { GrantIds } from "./GrantIds.ts";
import type { GrantPacer } from "./GrantPacer.ts";
import type { QueuedRequest } from "./QueuedRequest.ts";
import type { ServiceTime } from "./ServiceTime.ts";
import type { SlotTable } from "./SlotTable.ts";
import type { TargetHealth } from "./TargetHealth.ts";

/**
 * Multiple of its typical time after which a run is overdue, which counts against the target while the run is still
 * in progress: a run that hangs would otherwise be noticed only at its deadline.
 */
const OVERDUE_FACTOR = 3;

/** Outcomes of runs that a target has failed. */
const FAILURES = new Set([
  AttemptOutcome.Failed,
  AttemptOutcome.NoResponse,
  AttemptOutcome.InvalidResponse,
  AttemptOutcome.TimedOut,
]);

/** Outcomes of requests that a target has accepted. */
const ACCEPTED = new Set([
  AttemptOutcome.Ok,
  AttemptOutcome.Failed,
  AttemptOutcome.NestedCallFailed,
  AttemptOutcome.TimedOut,
]);

interface SlotGrantsDeps {
  readonly slots: SlotTable;
  readonly grants: Pick<GrantIds, "next">;
  readonly detector: HealthDetector;
  readonly health: TargetHealth;
  readonly pacer: GrantPacer;
  readonly activity: GateActivity;
  readonly demand: DemandPublisher;
  readonly serviceTime: ServiceTime;
  readonly fairShares: Pick<FairShares, "recordGrant" | "recordRevoked" | "recordEnd">;
  /** Whether a run that began at `since` (ms) may be waiting for a nested call; if absent, runs make no nested calls. */
  readonly mayAwaitNestedCall?: (since: number) => boolean;
  readonly load: () => GateLoad;
  /** Called when a grant was revoked unused, and its slot is free. */
  readonly onRevoked: () => void;
  readonly clock: Clock;
}

/** Issues the grants of a gate and follows each to its end: revoked unused, or a run whose outcome is recorded. */
export class SlotGrants {
  readonly #deps: SlotGrantsDeps;

  constructor(deps: SlotGrantsDeps) {
    this.#deps = deps;
  }

  /** Grants a slot to a request, which states the time that remains for it now. */
  grant(waiting: QueuedRequest, reply: (reply: SlotReply) => void): void {
    const { grants, detector, pacer, slots, fairShares, load } = this.#deps;
    const { request } = waiting;
    const grant = grants.next();
    fairShares.recordGrant(grant, waiting);
    const isProbe = detector.isSuspect && detector.risk > request.acceptsRisk;
    pacer.recordGrant();
    const grantMs = grantTtlMs(request.bodyBytes);
    slots.grant(grant, request, isProbe, grantMs, () => {
      this.revoke(grant);
    });
    reply({ kind: "granted", grant, load: load() });
  }

  /** Keeps a grant while the body of its request is being received; false if the grant has expired. */
  hold(grant: GrantId): boolean {
    return this.#deps.slots.hold(grant, () => {
      this.revoke(grant);
    });
  }

  /** Revokes an unused grant; false if there is none. */
  revoke(grant: GrantId): boolean {
    const wasGranted = this.#deps.slots.revoke(grant);
    if (wasGranted) {
      this.#deps.fairShares.recordRevoked(grant);
      this.#deps.onRevoked();
    }
    return wasGranted;
  }

  /** Uses a grant and begins its run; undefined if the grant has expired. */
  redeem(grant: GrantId): SlotRequest | undefined {
    const { slots, serviceTime, pacer, activity, demand } = this.#deps;
    const redeemed = slots.redeem(
      grant,
      (request) => serviceTime.typicalMs(request) * OVERDUE_FACTOR,
      (since) => this.#reportOverdue(since),
    );
    if (redeemed) {
      pacer.recordStart();
      activity.recordRun();
      demand.recordStart();
    }
    return redeemed;
  }

  /** Ends a run and records its outcome; false if none is in progress. */
  end(grant: GrantId, outcome: AttemptOutcome): boolean {
    const { slots, pacer, activity, demand, health, serviceTime, fairShares } = this.#deps;
    const ended = slots.end(grant);
    if (!ended) {
      return false;
    }
    const { request, ms, wasOverdue } = ended;
    fairShares.recordEnd(grant, ms);
    if (outcome === AttemptOutcome.Shed) {
      pacer.recordRefusal();
    } else if (ACCEPTED.has(outcome)) {
      pacer.recordAccepted();
    }
    activity.recordRun();
    if (FAILURES.has(outcome)) {
      demand.recordFailure();
    }
    health.recordEnd({ outcome, ms, typicalMs: request.typicalMs, wasOverdue });
    serviceTime.record(ms);
    if (outcome !== AttemptOutcome.Shed) {
      serviceTime.recordRun(ms, request);
    }
    return true;
  }

  /**
   * Records the end of a streamed response, whose run has ended with its start. It counts against the target only if
   * the response exceeded a limit: any other may have failed for its reader's sake.
   *
   * @param ms time from the start of the run to the end of the response, ms; undefined if unknown
   */
  recordStreamEnd(outcome: AttemptOutcome, ms?: number): void {
    if (ms !== undefined) {
      this.#deps.serviceTime.recordStream(ms);
    }
    if (outcome === AttemptOutcome.InvalidResponse) {
      this.#deps.health.recordEnd({ outcome, ms: 0, typicalMs: 0, wasOverdue: false });
    }
  }

  /**
   * Reports an overdue run to the detector; false if the run may be waiting for a nested call, which is not held
   * against it.
   */
  #reportOverdue(since: number): boolean {
    if (this.#deps.mayAwaitNestedCall?.(since)) {
      return false;
    }
    this.#deps.health.recordOverdue(this.#deps.clock.now() - since);
    return true;
  }
}
