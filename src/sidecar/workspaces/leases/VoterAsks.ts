import type { Clock } from "../../../common/lifecycle/Clock.ts";
import type { LeaseReply } from "../../../common/rpc/LeaseReply.ts";

/** Time after which a lease is renewed, ms. */
const RENEW_MS = 1000;

/** Time after which a voter that has not replied in time is asked again, ms. */
const SILENT_MS = 20;

/** Least time between two requests while a credit is waited for, ms. */
const URGENT_MS = 100;

/** Least and longest time after which a voter that has refused is asked again, ms. */
const REFUSED_MIN_MS = 20;
const REFUSED_MAX_MS = 1000;

/**
 * Schedules the requests for the leases of one workspace. Each voter is sent one at a time, since a later reply must not
 * be taken for an earlier one's.
 */
export class VoterAsks {
  readonly #clock: Clock;
  /** When each voter is asked next, ms; Infinity while a reply is awaited. */
  readonly #dueAt = new Map<string, number>();
  /** When each voter has last replied, or has not, ms. */
  readonly #repliedAt = new Map<string, number>();
  readonly #wakers = new Set<() => void>();
  #pending = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * The voters that are to be asked now.
   *
   * @param isUrgent whether a request waits, so that voters are asked early: leases may have been released
   */
  due(addresses: readonly string[], isUrgent = false): readonly string[] {
    const now = this.#clock.now();
    return addresses.filter((address) => {
      const dueAt = this.#dueAt.get(address) ?? now;
      const repliedAt = this.#repliedAt.get(address) ?? -Infinity;
      const isEarly = isUrgent && dueAt !== Infinity && now - repliedAt >= URGENT_MS;
      return dueAt <= now || isEarly;
    });
  }

  get arePending(): boolean {
    return this.#pending > 0;
  }

  /** Sends a request and schedules the next one; undefined without a reply. */
  async send(address: string, request: () => Promise<LeaseReply>): Promise<LeaseReply | undefined> {
    const sentAt = this.#clock.now();
    this.#dueAt.set(address, Infinity);
    this.#pending += 1;
    const reply = await request().catch(() => undefined);
    this.#pending -= 1;
    this.#dueAt.set(address, this.#nextAt(reply, sentAt));
    this.#repliedAt.set(address, this.#clock.now());
    return reply;
  }

  /** Resolves with the next reply, after `timeoutMs` at the latest. */
  nextReply(timeoutMs: number): Promise<void> {
    return new Promise((resolve) => {
      const wake = () => {
        timer.cancel();
        this.#wakers.delete(wake);
        resolve();
      };
      const timer = this.#clock.after(timeoutMs, wake);
      this.#wakers.add(wake);
    });
  }

  /** Wakes those who wait for a reply, after it has been applied. */
  wake(): void {
    [...this.#wakers].forEach((wake) => {
      wake();
    });
  }

  #nextAt(reply: LeaseReply | undefined, sentAt: number): number {
    const now = this.#clock.now();
    if (!reply) {
      return now + SILENT_MS;
    }
    return reply.kind === "granted"
      ? sentAt + RENEW_MS
      : now + Math.min(REFUSED_MAX_MS, Math.max(REFUSED_MIN_MS, reply.leftMs));
  }
}
