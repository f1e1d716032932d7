import type bunyan from "bunyan";
import type { Clock } from "../../common/lifecycle/Clock.ts";
import type { ConfigState } from "../log/ConfigState.ts";
import type { Replica } from "../replica/Replica.ts";
import type { ApplyOutcome } from "./ApplyOutcome.ts";
import type { ChangeRequest } from "./ChangeRequest.ts";
import { evaluateChange } from "./evaluateChange.ts";

/** Number of conflicts that this replica remembers, so that a resend of a refused change is refused again. */
const MAX_REMEMBERED_CONFLICTS = 4096;

/**
 * How long after its start this replica acknowledges no first change while the group is too
 * small for the configured fault tolerance, ms. The replicas start within a second of each
 * other; the limit allows operation with fewer machines than the tolerance needs.
 */
const GROUP_TIMEOUT_MS = 6000;

/**
 * Handles change requests and reads through one {@link Replica}. A change is applied by
 * compare-and-set on the version, so that exactly one of several racing changes succeeds.
 * A resent request gets the same reply as before, so that a resend after a lost reply is
 * not applied twice.
 */
export class ControlService {
  readonly #replica: Replica;
  readonly #log: bunyan;
  readonly #clock: Clock;
  readonly #startedAt: number;
  readonly #conflicts = new Map<string, ApplyOutcome>();

  constructor(replica: Replica, clock: Clock, log: bunyan) {
    this.#replica = replica;
    this.#log = log;
    this.#clock = clock;
    this.#startedAt = clock.now();
  }

  /** Handles one change request; resolves once its outcome is known, or is known to be uncertain. */
  async apply(req: ChangeRequest): Promise<ApplyOutcome> {
    const outcome = this.#conflicts.get(req.orderId) ?? (await this.#decide(req));
    this.#rememberConflict(req.orderId, outcome);
    const { orderId, version, base } = req;
    this.#log.info({ orderId, version, base, outcome }, "change request decided");
    return outcome;
  }

  /**
   * Returns the current state, confirmed by a quorum after the call began; undefined if this
   * replica does not lead or cannot confirm the state.
   */
  read(): Promise<ConfigState | undefined> {
    return this.#replica.readCurrent();
  }

  /** API address of the leader for operators; undefined if it is unknown or this replica leads. */
  get leaderApi(): string | undefined {
    const { leader } = this.#replica;
    return leader && leader.id !== this.#replica.id ? leader.api : undefined;
  }

  async #decide(req: ChangeRequest): Promise<ApplyOutcome> {
    const { version } = this.#replica.state;
    if (version === 0 && !this.#canAcknowledge) {
      const message = "the control group is not complete yet";
      return { kind: "not-leader", version, message, leaderApi: this.leaderApi };
    }
    const proposed = await this.#replica.propose<ApplyOutcome>((current) =>
      evaluateChange(current, req),
    );
    switch (proposed.kind) {
      case "committed":
        return { kind: "accepted", version: proposed.version };
      case "answered":
        return proposed.answer;
      case "not-leader": {
        const message = `leader: ${this.#replica.leader?.id ?? "none yet"}`;
        return { kind: "not-leader", version, message, leaderApi: this.leaderApi };
      }
      case "unknown":
        return { kind: "unknown", version, message: "no quorum answered in time" };
    }
  }

  get #canAcknowledge(): boolean {
    return this.#replica.isGroupComplete || this.#clock.now() - this.#startedAt > GROUP_TIMEOUT_MS;
  }

  #rememberConflict(orderId: string, outcome: ApplyOutcome): void {
    if (outcome.kind !== "conflict") {
      return; // An invalid document may be corrected and resent with the same order id.
    }
    this.#conflicts.set(orderId, outcome);
    const [oldest] = this.#conflicts.keys();
    if (this.#conflicts.size > MAX_REMEMBERED_CONFLICTS && oldest !== undefined) {
      this.#conflicts.delete(oldest);
    }
  }
}
