import type { Clock } from "../../common/lifecycle/Clock.ts";
import type { HealthDetector } from "../detection/HealthDetector.ts";
import { RefusalReason } from "../hop/RefusalReason.ts";
import type { SlotRequest } from "../hop/SlotRequest.ts";
import type { DemandPublisher } from "./DemandPublisher.ts";
import type { ExpectedWait } from "./ExpectedWait.ts";
import type { GatedTarget } from "./GatedTarget.ts";
import type { ServiceTime } from "./ServiceTime.ts";
import type { SlotTable } from "./SlotTable.ts";

/**
 * Maximum number of queued requests per slot. A sidecar asks two or three gates for each request, so half or more of
 * the queued requests will be withdrawn. Eight per slot thus amount to two to four runs per slot, about the longest
 * queue that still meets a deadline of ten times the service time.
 */
const MAX_QUEUED_PER_SLOT = 8;

interface AdmissionRuleDeps {
  /** The target as last announced; undefined if it is gone. */
  readonly target: () => GatedTarget | undefined;
  readonly detector: Pick<HealthDetector, "admits">;
  readonly slots: Pick<SlotTable, "probes" | "requestBytes">;
  readonly demand: Pick<DemandPublisher, "accepts">;
  readonly serviceTime: ServiceTime;
  readonly clock: Clock;
}

/**
 * Decides which slot requests a gate refuses, by the state of its target, the end of the sidecar, the target's health
 * and the expected wait.
 */
export class AdmissionRule {
  readonly #deps: AdmissionRuleDeps;
  #isClosed = false;
  /** When the sidecar exits, by the clock, ms; runs have to end before. */
  #shutdownAt = Infinity;

  constructor(deps: AdmissionRuleDeps) {
    this.#deps = deps;
  }

  /** Time until the sidecar exits, ms; undefined unless it is being stopped. */
  get endsInMs(): number | undefined {
    return this.#shutdownAt < Infinity ? this.#shutdownAt - this.#deps.clock.now() : undefined;
  }

  /** Whether all requests are refused. */
  get isClosed(): boolean {
    return this.#isClosed;
  }

  /** Whether the target accepts requests, and the sidecar is not being stopped. */
  get isOpen(): boolean {
    return this.#deps.target()?.acceptsRequests === true && this.#shutdownAt === Infinity;
  }

  /** Refuses requests whose runs are not expected to end before `endAt` (ms, by the clock). */
  closeBy(endAt: number): void {
    this.#shutdownAt = endAt;
  }

  /** Refuses all requests. */
  close(): void {
    this.#isClosed = true;
  }

  /**
   * Why a request cannot be granted now or later; undefined if it can.
   *
   * @param request the request, with the time that remains for it now
   * @param wait its expected wait for a grant
   */
  refusalReason(request: SlotRequest, wait: ExpectedWait): RefusalReason | undefined {
    const { serviceTime } = this.#deps;
    const target = this.#deps.target();
    if (!target) {
      return RefusalReason.NoTarget;
    }
    if (this.#isClosed || !target.acceptsRequests || this.#endsTooLate(request, wait)) {
      return RefusalReason.Leaving;
    }
    if (!this.#admits(request)) {
      return RefusalReason.Suspect;
    }
    if (!this.#fits(request, wait)) {
      return RefusalReason.Full;
    }
    const isTooLate = wait.ms > 0 && wait.ms + serviceTime.meanMs > request.remainingMs;
    return isTooLate ? fullReason(wait) : undefined;
  }

  /** Why a request that cannot be granted at once cannot join a queue of this length; undefined if it can. */
  refusalOfQueue(
    length: number,
    wait: ExpectedWait,
    msPerGrant: number,
  ): RefusalReason | undefined {
    const slots = this.#deps.target()?.slots ?? 0;
    const rounds = MAX_QUEUED_PER_SLOT * this.#deps.serviceTime.meanMs;
    const most = Math.min(MAX_QUEUED_PER_SLOT * slots, Math.ceil(rounds / msPerGrant));
    return length >= most ? fullReason(wait) : undefined;
  }

  /** Whether a run of the request may still be in progress when the sidecar exits. */
  #endsTooLate(request: SlotRequest, wait: ExpectedWait): boolean {
    const { serviceTime, clock } = this.#deps;
    return (
      this.#shutdownAt < Infinity &&
      clock.now() + wait.ms + serviceTime.allowanceMs(request) > this.#shutdownAt
    );
  }

  /**
   * Whether the target can hold the request's body: together with those that it holds if the request would be granted
   * now, otherwise alone. One that does not fit is not queued until it does, as another target may have room.
   */
  #fits({ bodyBytes }: SlotRequest, wait: ExpectedWait): boolean {
    const { maxRequestBytes = Infinity } = this.#deps.target() ?? {};
    const heldBytes = wait.ms === 0 && bodyBytes > 0 ? this.#deps.slots.requestBytes : 0;
    return heldBytes + bodyBytes <= maxRequestBytes;
  }

  /** Whether the target's health admits the request, or it has been idle for so long that any request may test it. */
  #admits(request: SlotRequest): boolean {
    const { slots, demand, detector } = this.#deps;
    const { probes } = slots;
    const isTest = probes === 0 && demand.accepts(request.isIdempotent);
    return isTest || detector.admits(request, probes);
  }
}

function fullReason({ isForLimit }: ExpectedWait): RefusalReason {
  return isForLimit ? RefusalReason.Limited : RefusalReason.Full;
}
