import type { Clock } from "../../common/lifecycle/Clock.ts";
import type { Replica } from "../replica/Replica.ts";
import type { ShareHolders } from "./ShareHolders.ts";

/** Maximum age of the committed state with which a replica grants its parts of the quotas, ms. */
const MAX_STATE_AGE_MS = 2000;

/**
 * Time after a change of the control group until the parts follow it, ms. A replica that the change has removed, and
 * does not know it, has stopped granting its parts by then.
 */
const GROUP_CHANGE_MS = 3000;

/** Terms for which a lease of a removed voter may still be in force: it may be renewed once without a recent state. */
const LEASE_TERMS = 2;

interface VoterSharesDeps {
  readonly replica: Pick<Replica, "id" | "voters" | "role" | "stateAgeMs">;
  /** Number of voters that the group should have. */
  readonly wantedVoters: number;
  /** Term of the leases that voters grant, ms; 0 if they grant none. */
  readonly leaseTermMs?: number;
  readonly clock: Clock;
}

/**
 * Decides whether this replica grants its parts of the workspaces' quotas, and into how many parts these are divided.
 * Only voters with a recent state hold parts. A group that shrinks, or exchanges a voter, keeps the old division for
 * a while, and a new voter waits for as long, so that no part is granted twice.
 */
export class VoterShares {
  readonly #deps: VoterSharesDeps;
  /** Time for which the share of a removed voter may still be in use, ms. */
  readonly #groupChangeMs: number;
  #voterSince: number;
  #wasVoter: boolean;
  /** The ids of the voters, and since when they have been these, ms. */
  #group = { ids: "", since: -Infinity };
  /** Largest number of parts in use, and until when it stays so, ms. */
  #held = { parts: 0, until: -Infinity };

  constructor(deps: VoterSharesDeps) {
    this.#deps = deps;
    this.#groupChangeMs = GROUP_CHANGE_MS + LEASE_TERMS * (deps.leaseTermMs ?? 0);
    this.#wasVoter = this.#isVoter;
    this.#voterSince = -Infinity;
    this.update();
  }

  /** Notes the current group; to be called after each commit. */
  update(): void {
    const now = this.#deps.clock.now();
    if (this.#isVoter && !this.#wasVoter) {
      this.#voterSince = now;
    }
    this.#wasVoter = this.#isVoter;
    const ids = this.#deps.replica.voters.map((v) => v.id).join();
    if (ids !== this.#group.ids) {
      this.#group = { ids, since: this.#group.ids === "" ? -Infinity : now };
    }
    const parts = Math.max(this.#deps.wantedVoters, this.#deps.replica.voters.length);
    if (parts >= this.#held.parts) {
      this.#held = { parts, until: Infinity };
    } else if (this.#held.until === Infinity) {
      this.#held = { ...this.#held, until: now + this.#groupChangeMs };
    } else if (now >= this.#held.until) {
      this.#held = { parts, until: Infinity };
    }
  }

  /** The division of the quotas; undefined while this replica must not grant any part. */
  get holders(): ShareHolders | undefined {
    this.update();
    const { replica, clock } = this.#deps;
    const { stateAgeMs } = replica;
    const since = this.#voterSince + this.#groupChangeMs;
    if (
      !this.#isVoter ||
      clock.now() < since ||
      stateAgeMs === undefined ||
      stateAgeMs > MAX_STATE_AGE_MS
    ) {
      return undefined;
    }
    return {
      self: replica.id,
      ids: replica.voters.map((v) => v.id),
      parts: this.#held.parts,
      since,
      settledSince: this.#group.since + this.#groupChangeMs,
    };
  }

  get #isVoter(): boolean {
    return this.#deps.replica.role !== "learner";
  }
}
