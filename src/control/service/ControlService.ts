import type bunyan from "bunyan";
import type { Clock } from "../../common/lifecycle/Clock.ts";
import type { ConfigState } from "../log/ConfigState.ts";
import type { Replica } from "../replica/Replica.ts";
import type { ApplyOutcome } from "./ApplyOutcome.ts";
import type { ChangeRequest } from "./ChangeRequest.ts";
import { evaluateChange } from "./evaluateChange.ts";

/** Refusals remembered here, so that a resend of one is refused again. */
const REMEMBERED_REFUSALS = 4096;

/**
 * The first acknowledgement waits for a group that bears the stated losses; where
 * there are not as many machines as that takes, it waits this long and no longer,
 * ms: the others start within a second of each other.
 */
const GROUP_WAIT_MS = 6000;

/**
 * Orders and reads over one {@link Replica}: compare-and-set on the version, and
 * the same answer again to an order that is sent again, so racing operators get
 * exactly one winner and a resend after a lost answer is answered, not applied twice.
 */
export class ControlService {
  readonly #replica: Replica;
  readonly #log: bunyan;
  readonly #clock: Clock;
  readonly #startedAt: number;
  readonly #refusals = new Map<string, ApplyOutcome>();

  constructor(replica: Replica, clock: Clock, log: bunyan) {
    this.#replica = replica;
    this.#log = log;
    this.#clock = clock;
    this.#startedAt = clock.now();
  }

  /** Decides one order; resolves once its answer is certain, or cannot be for now. */
  async apply(order: ChangeRequest): Promise<ApplyOutcome> {
    const outcome = this.#refusals.get(order.orderId) ?? (await this.#decide(order));
    this.#remember(order.orderId, outcome);
    const { orderId, version, base } = order;
    this.#log.info({ orderId, version, base, outcome }, "order decided");
    return outcome;
  }

  /**
   * The state in force, confirmed by a quorum after the call began; undefined where
   * this replica cannot be sure of it.
   */
  read(): Promise<ConfigState | undefined> {
    return this.#replica.readCurrent();
  }

  /** Where operators reach the leader, as far as known and when it is not this replica. */
  get leaderApi(): string | undefined {
    const { leader } = this.#replica;
    return leader && leader.id !== this.#replica.id ? leader.api : undefined;
  }

  async #decide(order: ChangeRequest): Promise<ApplyOutcome> {
    const { version } = this.#replica.state;
    if (version === 0 && !this.#mayAcknowledge) {
      const message = "the control group is not complete yet";
      return { kind: "not-leader", version, message, leaderApi: this.leaderApi };
    }
    const proposed = await this.#replica.propose<ApplyOutcome>((current) =>
      evaluateChange(current, order),
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

  get #mayAcknowledge(): boolean {
    return this.#replica.isGroupComplete || this.#clock.now() - this.#startedAt > GROUP_WAIT_MS;
  }

  #remember(orderId: string, outcome: ApplyOutcome): void {
    if (outcome.kind !== "conflict") {
      return; // An invalid document will be mended, and may keep its order id.
    }
    this.#refusals.set(orderId, outcome);
    const [oldest] = this.#refusals.keys();
    if (this.#refusals.size > REMEMBERED_REFUSALS && oldest !== undefined) {
      this.#refusals.delete(oldest);
    }
  }
}
