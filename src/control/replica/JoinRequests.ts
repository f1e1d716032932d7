import type { Clock } from "../../common/lifecycle/Clock.ts";
import type { IDisposable } from "../../common/lifecycle/IDisposable.ts";
import type { Timer } from "../../common/lifecycle/Timer.ts";
import type { Voter } from "../log/Voter.ts";
import type { ReplicaLink } from "./ReplicaLink.ts";

interface JoinRequestsDeps {
  readonly self: () => Voter;
  /** Addresses of replicas that may know the group. */
  readonly contacts: () => readonly string[];
  readonly voters: () => readonly Voter[];
  /** Whether requests are needed: this replica is outside the group, or hears no leader. */
  readonly isNeeded: () => boolean;
  readonly intervalMs: number;
  readonly link: ReplicaLink;
  readonly clock: Clock;
}

/**
 * Sends join requests while this replica is outside the group or hears no leader: a voter
 * that was cut off may have been removed from the group without knowing it.
 */
export class JoinRequests implements IDisposable {
  readonly #deps: JoinRequestsDeps;
  #timer: Timer | undefined;

  constructor(deps: JoinRequestsDeps) {
    this.#deps = deps;
  }

  /** Starts to send requests, until disposed. */
  start(): void {
    this.#schedule(0);
  }

  dispose(): void {
    this.#timer?.cancel();
  }

  #schedule(ms: number): void {
    const { clock, isNeeded, intervalMs } = this.#deps;
    this.#timer = clock.after(ms, () => {
      if (isNeeded()) {
        this.#send();
      }
      this.#schedule(intervalMs);
    });
  }

  #send(): void {
    const { self, contacts, voters, link } = this.#deps;
    const replica = self();
    const req = { kind: "join", replica } as const;
    const known = [...contacts(), ...voters().map((v) => v.address)];
    const others = new Set(known.filter((address) => address !== replica.address));
    for (const address of others) {
      link.send(address, req, (reply) => {
        if (reply.kind === "join" && reply.leader !== "" && !others.has(reply.leader)) {
          link.send(reply.leader, req, () => undefined);
        }
      });
    }
  }
}
