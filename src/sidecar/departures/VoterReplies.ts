import type { ProtoTypes } from "../../common/rpc/ProtoTypes.ts";

type DepartureReply = ProtoTypes["DepartureReply"];

/**
 * Collects the replies of control replicas about departures, and tells whether a majority of the voters is among them. The
 * voters are those of the newest group that any reply names, since a process is not told how many there are.
 */
export class VoterReplies {
  readonly #replies = new Map<string, DepartureReply>();
  readonly #counts: (reply: DepartureReply) => boolean;
  #newest: DepartureReply | undefined;

  /** @param counts whether a reply counts toward the majority */
  constructor(counts: (reply: DepartureReply) => boolean) {
    this.#counts = counts;
  }

  add(reply: DepartureReply): void {
    this.#replies.set(reply.replica, reply);
    if (!this.#newest || reply.group_index >= this.#newest.group_index) {
      this.#newest = reply;
    }
  }

  /** Addresses of the voters. */
  get addresses(): string[] {
    return this.#voters.map((v) => v.address);
  }

  get hasMajority(): boolean {
    const counted = this.#voters.filter(({ id }) => {
      const reply = this.#replies.get(id);
      return reply !== undefined && this.#counts(reply);
    });
    return counted.length > this.#voters.length / 2;
  }

  get #voters(): DepartureReply["voters"] {
    return this.#newest?.voters ?? [];
  }
}
