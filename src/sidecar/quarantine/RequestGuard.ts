import type { RequestFingerprint } from "../../common/ids/RequestFingerprint.ts";
import type { Clock } from "../../common/lifecycle/Clock.ts";
import type { TargetInfo } from "../../membership/TargetInfo.ts";
import type { ForwardResult } from "../forwarding/ForwardResult.ts";
import type { CallerRequest } from "../routing/CallerRequest.ts";
import { describeRequest } from "./describeRequest.ts";
import { fingerprintOf } from "./fingerprintOf.ts";
import { incarnationOf } from "./incarnationOf.ts";
import type { Quarantine } from "./Quarantine.ts";
import { quarantinedResult } from "./quarantinedResult.ts";
import type { SuspectTurns } from "./SuspectTurns.ts";

/** Longest wait for the result of an equal request, ms: a request that crashes its target mostly does so sooner. */
const MAX_TURN_WAIT_MS = 1000;

/** Number of independent crashes from which a request is not sent to another target after a crash. */
const CRASHES_WITHOUT_RETRY = 2;

interface RequestGuardDeps {
  readonly quarantine: Pick<
    Quarantine,
    "isActive" | "blockOf" | "crashesOf" | "remainingMs" | "noteRefused" | "recordCrash"
  >;
  /** The turns of suspect requests at this sidecar. */
  readonly turns: SuspectTurns;
  readonly clock: Clock;
}

/**
 * Decides for one caller's request whether it is sent to targets, depending on what is known of equal ones. The
 * fingerprint is computed only while some request is under suspicion.
 */
export class RequestGuard {
  readonly #deps: RequestGuardDeps;
  readonly #service: string;
  readonly #req: CallerRequest;
  #fingerprint: { readonly value: RequestFingerprint | undefined } | undefined;
  #endTurn: () => void = () => undefined;

  constructor(deps: RequestGuardDeps, service: string, req: CallerRequest) {
    this.#deps = deps;
    this.#service = service;
    this.#req = req;
  }

  /**
   * Waits while an equal request is in progress here, if they are under suspicion: a suspect is not sent twice at once.
   * Resolves early when that takes too long, the caller disconnects or the deadline passes.
   */
  async awaitTurn(): Promise<void> {
    const fingerprint = this.#suspectFingerprint;
    if (fingerprint === undefined) {
      return;
    }
    const { turns, clock } = this.#deps;
    const { deadlineAt, disconnected } = this.#req;
    let hasGivenUp = false;
    const turn = turns.take(fingerprint).then((end) => {
      if (hasGivenUp) {
        end();
      } else {
        this.#endTurn = end;
      }
    });
    await new Promise<void>((resolve) => {
      const giveUp = () => {
        hasGivenUp = true;
        resolve();
      };
      const remainingMs = Math.max(0, deadlineAt - clock.now());
      const timer = clock.timeout(Math.min(MAX_TURN_WAIT_MS, remainingMs), giveUp);
      disconnected.addEventListener("abort", giveUp, { once: true });
      void turn.then(() => {
        timer.cancel();
        disconnected.removeEventListener("abort", giveUp);
        resolve();
      });
    });
  }

  /** Ends this request's turn; must be called once it has its result. */
  end(): void {
    this.#endTurn();
  }

  /** Whether equal requests have the fingerprint. */
  matches(fingerprint: RequestFingerprint): boolean {
    return this.#suspectFingerprint === fingerprint;
  }

  /** Whether equal requests are under suspicion, so that the request is not sent to two targets at once. */
  get isSuspect(): boolean {
    return this.#suspectFingerprint !== undefined;
  }

  /** Whether the request is blocked. */
  get isBlocked(): boolean {
    const fingerprint = this.#suspectFingerprint;
    return fingerprint !== undefined && this.#deps.quarantine.blockOf(fingerprint) !== undefined;
  }

  /** Whether the request may be sent to another target after a failure. */
  get mayRetry(): boolean {
    const fingerprint = this.#suspectFingerprint;
    return !fingerprint || this.#deps.quarantine.crashesOf(fingerprint) < CRASHES_WITHOUT_RETRY;
  }

  /** The refusal of the request if it is blocked; undefined if it may be sent. */
  refuse(): ForwardResult | undefined {
    const { quarantine } = this.#deps;
    const fingerprint = this.#suspectFingerprint;
    const block = fingerprint && quarantine.blockOf(fingerprint);
    if (!block) {
      return undefined;
    }
    quarantine.noteRefused(this.#req.attempt, block);
    return quarantinedResult(block, quarantine.remainingMs(block));
  }

  /** Records the end of a run that began at `startedAt`, ms: at once, as its target's sidecar has to spread it first. */
  recordEnd(result: ForwardResult, target: TargetInfo, startedAt: number): void {
    const fingerprint =
      result.targetEnded && result.verdict.kind === "may-have-run"
        ? this.#computeFingerprint()
        : undefined;
    if (fingerprint !== undefined) {
      const service = this.#service;
      const request = describeRequest(this.#req);
      const incarnation = incarnationOf(target);
      const crash = { fingerprint, service, request, target: incarnation, startedAt };
      this.#deps.quarantine.recordCrash(crash);
    }
  }

  /** The fingerprint if equal requests are under suspicion; undefined otherwise. */
  get #suspectFingerprint(): RequestFingerprint | undefined {
    const { quarantine } = this.#deps;
    const fingerprint = quarantine.isActive ? this.#computeFingerprint() : undefined;
    return fingerprint !== undefined && quarantine.crashesOf(fingerprint) > 0
      ? fingerprint
      : undefined;
  }

  #computeFingerprint(): RequestFingerprint | undefined {
    this.#fingerprint ??= { value: fingerprintOf(this.#service, this.#req) };
    return this.#fingerprint.value;
  }
}
