import type { ProtoTypes } from "../../common/rpc/ProtoTypes.ts";

type DepartureReply = ProtoTypes["DepartureReply"];
type Voter = ProtoTypes["DepartureVoter"];

/**
 * Collects the replies of control replicas about departures, and tells whether a majority of the voters is among them. The
 * voters are those of the newest group that any reply names, since a process is not told how many there are. During a
 * change of the group, a majority of both sets of voters is needed, as for elections.
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
    const hasGroup = reply.voters.length > 0; // A replica on an empty disk does not know its group yet.
    if (hasGroup && reply.group_index >= (this.#newest?.group_index ?? 0)) {
      this.#newest = reply;
    }
  }

  /** Addresses of the voters. */
  get addresses(): string[] {
    return this.#sets.flat().map((v) => v.address);
  }

  get hasMajority(): boolean {
    const isCounted = ({ id }: Voter) => {
      const reply = this.#replies.get(id);
      return reply !== undefined && this.#counts(reply);
    };
    const sets = this.#sets;
    return (
      sets.length > 0 && sets.every((voters) => voters.filter(isCounted).length > voters.length / 2)
    );
  }

  get #sets(): readonly (readonly Voter[])[] {
    const { voters = [], next_voters: next = [] } = this.#newest ?? {};
    return [voters, next].filter((set) => set.length > 0);
  }
}
