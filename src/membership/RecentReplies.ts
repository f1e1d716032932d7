import type { Clock } from "../common/lifecycle/Clock.ts";

/** Time for which a reply is kept, ms: longer than its request is waited for, and so may be resent. */
const RETENTION_MS = 1500;

interface HandledRequest {
  readonly receivedAt: number;
  /** Undefined while there is no reply yet. */
  reply: Buffer | undefined;
}

/**
 * The replies to the last requests, so that a request that arrives again is not handled again: its gossip would count as that
 * of another member, which has the same updates, and they would be spread too seldom to reach everyone.
 */
export class RecentReplies {
  readonly #clock: Clock;
  /** Requests by sender and id, oldest first. */
  readonly #requests = new Map<string, HandledRequest>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Records the request `id` of the member at `from`, unless it is known already; returns the known one. */
  begin(from: string, id: number): { readonly reply: Buffer | undefined } | undefined {
    this.#expire();
    const key = keyOf(from, id);
    const known = this.#requests.get(key);
    if (!known) {
      this.#requests.set(key, { receivedAt: this.#clock.now(), reply: undefined });
    }
    return known;
  }

  /** Stores the reply to a request. */
  complete(from: string, id: number, reply: Buffer): void {
    const request = this.#requests.get(keyOf(from, id));
    if (request) {
      request.reply = reply;
    }
  }

  #expire(): void {
    const cutoff = this.#clock.now() - RETENTION_MS;
    for (const [key, { receivedAt }] of this.#requests) {
      if (receivedAt >= cutoff) {
        return;
      }
      this.#requests.delete(key);
    }
  }
}

function keyOf(from: string, id: number): string {
  return `${from}/${id}`;
}
