import type bunyan from "bunyan";
import type { ReplicaId } from "../../common/ids/ReplicaId.ts";
import type { Clock } from "../../common/lifecycle/Clock.ts";
import type { IDisposable } from "../../common/lifecycle/IDisposable.ts";
import type { Timer } from "../../common/lifecycle/Timer.ts";
import type { EntryBody } from "../log/LogEntry.ts";
import { membersOf } from "../log/membersOf.ts";
import { PeerProgress } from "./PeerProgress.ts";
import { planVoters, type Candidate } from "./planVoters.ts";
import { quorumValue } from "./quorumValue.ts";
import type { ReplicaLink } from "./ReplicaLink.ts";
import type { ReplicaReply } from "./ReplicaMessages.ts";
import type { ReplicatedLog } from "../log/ReplicatedLog.ts";
import type { ReplicaTiming } from "./ReplicaTiming.ts";
import type { Voter } from "../log/Voter.ts";

interface LeaderTermDeps {
  readonly self: Voter;
  /** Where operators reach this replica. */
  readonly api: string;
  readonly wantedVoters: number;
  readonly log: ReplicatedLog;
  readonly link: ReplicaLink;
  readonly timing: ReplicaTiming;
  readonly clock: Clock;
  readonly logger: bunyan;
  /** Index up to which entries are committed. */
  readonly committed: () => number;
  readonly commit: (index: number) => void;
  /** Told of terms that others are in. */
  readonly noteTerm: (term: number) => void;
  /** Told that the group has changed and left this replica out. */
  readonly retire: () => void;
  /** Told that this replica does not lead any more. */
  readonly lost: (reason: string) => void;
  /** Runs a write to the disk; false when it was refused. */
  readonly durably: (write: () => void) => boolean;
}

/** A learner that has not asked again for this long is forgotten, ms; it asks several times a second. */
const LEARNER_TTL_MS = 3000;

/** What a leader does while it leads: replication, leases, and changes of the control group. */
export class LeaderTerm implements IDisposable {
  readonly #deps: LeaderTermDeps;
  readonly #startedAt: number;
  readonly #peers = new Map<ReplicaId, PeerProgress>();
  readonly #learners = new Map<ReplicaId, { replica: Voter; askedAt: number }>();
  readonly #waiters = new Set<() => void>();
  /** Index of this leader's first entry: until it is committed, older ones may not all be known as such. */
  #firstIndex = Infinity;
  #timer: Timer | undefined;
  #ended = false;

  constructor(deps: LeaderTermDeps) {
    this.#deps = deps;
    this.#startedAt = deps.clock.now();
  }

  /** Makes the first entry and the first heartbeat. */
  start(): void {
    this.#firstIndex = this.#deps.log.lastIndex + 1;
    this.append({ kind: "term-start" });
    this.#beat();
  }

  dispose(): void {
    this.#ended = true;
    this.#timer?.cancel();
    this.#wake();
  }

  /** True while a quorum has acknowledged a message sent within the lease, and everything older is known to be committed. */
  holdsLease(committed: number): boolean {
    const { clock, timing } = this.#deps;
    return committed >= this.#firstIndex && this.#quorumHeardAt() + timing.leaseMs > clock.now();
  }

  /** Appends an entry and sends it out; its index, or undefined when the disk refused it. */
  append(body: EntryBody): number | undefined {
    const { log, durably } = this.#deps;
    const { lastIndex, term } = log;
    const entry = { index: lastIndex + 1, term, body };
    if (
      this.#ended ||
      !durably(() => {
        log.append(lastIndex, [entry]);
      })
    ) {
      return undefined;
    }
    this.#replicateAll();
    this.#advance();
    return entry.index;
  }

  /** Resolves true once `index` is committed; false when that takes too long or leadership is lost. */
  committed(index: number): Promise<boolean> {
    return this.#until(() => this.#deps.committed() >= index);
  }

  /** Resolves true once a quorum has acknowledged a message sent after this call. */
  confirm(): Promise<boolean> {
    const calledAt = this.#deps.clock.now();
    this.#replicateAll();
    return this.#until(() => this.#quorumHeardAt() >= calledAt);
  }

  /** A replica outside the group asks to be let in: it is sent the log, and counted once it has it. */
  noteLearner(replica: Voter): void {
    const { log, clock, logger } = this.#deps;
    const members = membersOf(log.group);
    if (members.some((v) => v.id === replica.id)) {
      return;
    }
    if (!this.#learners.has(replica.id)) {
      logger.info({ replica }, "replica requests to join the group");
    }
    this.#learners.set(replica.id, { replica, askedAt: clock.now() });
    for (const voter of members) {
      if (voter.address === replica.address) {
        this.#progress(voter).noteGone();
      }
    }
    this.#replicate(replica);
  }

  /** The voter that holds the most of the log, to take over. */
  mostAdvanced(): Voter | undefined {
    return this.#others()
      .filter((v) => !this.#progress(v).isGone)
      .toSorted((a, b) => this.#progress(b).matched - this.#progress(a).matched)[0];
  }

  #beat(): void {
    const { clock, timing, lost } = this.#deps;
    if (clock.now() - this.#quorumHeardAt() > timing.electionMaxMs) {
      // Heartbeats may still reach others one way while no answer comes back:
      // unless it steps down, they would never elect a leader that can commit.
      lost("no quorum in reach");
      return;
    }
    this.#replicateAll();
    this.#reviseGroup();
    if (!this.#ended) {
      this.#timer = clock.after(timing.heartbeatMs, () => {
        this.#beat();
      });
    }
  }

  #replicateAll(): void {
    for (const replica of [...this.#others(), ...this.#freshLearners()]) {
      this.#replicate(replica);
    }
  }

  #replicate(replica: Voter): void {
    const { log, clock, link, self, api } = this.#deps;
    const progress = this.#progress(replica);
    const sentAt = clock.now();
    const sequence = this.#ended ? undefined : progress.begin(sentAt);
    if (sequence === undefined) {
      return;
    }
    const { term } = log;
    const req = {
      kind: "append",
      to: replica.id,
      term,
      leader: self,
      leaderApi: api,
      committed: this.#deps.committed(),
      ...progress.content(log),
    } as const;
    link.send(replica.address, req, (reply) => {
      const again = progress.end(sequence);
      if (!this.#ended && log.term === term) {
        this.#take(progress, reply, sentAt, again);
      }
    });
  }

  #take(progress: PeerProgress, reply: ReplicaReply, sentAt: number, again: boolean): void {
    const { log, noteTerm } = this.#deps;
    if (reply.kind === "stranger") {
      progress.noteGone();
      return;
    }
    if (reply.kind !== "append") {
      return;
    }
    noteTerm(reply.term);
    if (this.#ended || reply.term !== log.term) {
      return;
    }
    const moved = progress.note(reply, sentAt);
    this.#advance();
    if (again || (moved && progress.matched < log.lastIndex)) {
      this.#replicate(progress.replica);
    }
  }

  /** Commits what a majority of the group holds. */
  #advance(): void {
    const { log, committed, commit } = this.#deps;
    const byMajority = quorumValue(log.group, (v) =>
      v.id === log.id ? log.lastIndex : this.#progress(v).matched,
    );
    // Only an entry of its own term commits by count (the Raft paper's figure 8).
    if (byMajority > committed() && log.termAt(byMajority) === log.term) {
      commit(byMajority);
      this.#replicateAll();
    }
    this.#wake();
  }

  /** When the last message that a majority acknowledged was sent, by our clock. */
  #quorumHeardAt(): number {
    const { log, clock } = this.#deps;
    return quorumValue(log.group, (v) =>
      v.id === log.id ? clock.now() : this.#progress(v).ackedAt,
    );
  }

  /** Proposes the next change of the group, if one is due and the one before is committed. */
  #reviseGroup(): void {
    const { log, wantedVoters, committed, logger } = this.#deps;
    if (committed() < Math.max(log.groupIndex, this.#firstIndex)) {
      return;
    }
    const { voters, next } = log.group;
    if (next) {
      this.append({ kind: "group", group: { voters: next } });
      return;
    }
    if (!voters.some((v) => v.id === log.id)) {
      // It led through the change that left it out; from here on the others decide.
      this.#deps.retire();
      return;
    }
    const planned = planVoters(
      wantedVoters,
      voters.map((v) => this.#candidate(v)),
      this.#freshLearners().map((l) => this.#candidate(l)),
    );
    if (planned) {
      logger.info({ from: voters, to: planned }, "changing the control group");
      this.append({ kind: "group", group: { voters, next: planned } });
    }
  }

  #candidate(replica: Voter): Candidate {
    const { log, clock, timing, committed } = this.#deps;
    if (replica.id === log.id) {
      return { replica, reachable: true, gone: false, caughtUp: true, silentMs: 0 };
    }
    const progress = this.#progress(replica);
    const silentMs = clock.now() - progress.ackedAt;
    return {
      replica,
      reachable: silentMs < timing.replaceAfterMs,
      gone: progress.isGone,
      caughtUp: progress.matched >= committed(),
      silentMs,
    };
  }

  #others(): Voter[] {
    return membersOf(this.#deps.log.group).filter((v) => v.id !== this.#deps.log.id);
  }

  #freshLearners(): Voter[] {
    const { log, clock } = this.#deps;
    const members = new Set(membersOf(log.group).map((v) => v.id));
    for (const [id, { askedAt }] of this.#learners) {
      if (clock.now() - askedAt > LEARNER_TTL_MS || members.has(id)) {
        this.#learners.delete(id);
      }
    }
    return [...this.#learners.values()].map((l) => l.replica);
  }

  #progress(replica: Voter): PeerProgress {
    let progress = this.#peers.get(replica.id);
    if (!progress) {
      progress = new PeerProgress(replica, this.#startedAt);
      this.#peers.set(replica.id, progress);
    }
    return progress;
  }

  /** Resolves true once `reached` is, false when that takes too long or leadership is lost. */
  #until(reached: () => boolean): Promise<boolean> {
    const { clock, timing } = this.#deps;
    return new Promise((resolve) => {
      const settle = (done: boolean) => {
        this.#waiters.delete(look);
        timer.cancel();
        resolve(done);
      };
      const look = () => {
        if (this.#ended || reached()) {
          settle(!this.#ended && reached());
        }
      };
      const timer = clock.after(timing.proposeMs, () => {
        settle(false);
      });
      this.#waiters.add(look);
      look();
    });
  }

  #wake(): void {
    for (const look of [...this.#waiters]) {
      look();
    }
  }
}
