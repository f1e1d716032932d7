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
  /** Address of this replica's API for operators. */
  readonly api: string;
  /** Number of voters needed for the configured fault tolerance. */
  readonly wantedVoters: number;
  readonly log: ReplicatedLog;
  readonly link: ReplicaLink;
  readonly timing: ReplicaTiming;
  readonly clock: Clock;
  /** Clock by which confirmations age, ms; see ElapsedClock. */
  readonly elapsed: () => number;
  readonly logger: bunyan;
  /** Index up to which entries are committed. */
  readonly commitIndex: () => number;
  /** Commits the entries up to `index`. */
  readonly commit: (index: number) => void;
  /** Called with the term of every append reply. */
  readonly noteTerm: (term: number) => void;
  /** Called when a committed change of the group has removed this replica. */
  readonly onExcluded: () => void;
  /** Called when this replica has to stop leading. */
  readonly onLeadershipLost: (reason: string) => void;
  /** Runs a disk write; false if it failed. */
  readonly tryWrite: (write: () => void) => boolean;
}

/** A learner whose last join request is older than this is dropped, ms; learners send several a second. */
const LEARNER_TTL_MS = 3000;

/** A leader's work during one term: replication, the lease, and changes of the control group. */
export class LeaderTerm implements IDisposable {
  readonly #deps: LeaderTermDeps;
  readonly #startedAt: number;
  readonly #peers = new Map<ReplicaId, PeerProgress>();
  readonly #learners = new Map<ReplicaId, { replica: Voter; requestedAt: number }>();
  readonly #waiters = new Set<() => void>();
  /**
   * Index of this leader's first entry; until it is committed, earlier entries may be committed
   * without the leader knowing.
   */
  #firstIndex = Infinity;
  #timer: Timer | undefined;
  #ended = false;

  constructor(deps: LeaderTermDeps) {
    this.#deps = deps;
    this.#startedAt = deps.clock.now();
  }

  /** Appends the first entry of the term and sends the first heartbeat. */
  start(): void {
    this.#firstIndex = this.#deps.log.lastIndex + 1;
    this.append({ kind: "term-start" });
    this.#sendHeartbeat();
  }

  dispose(): void {
    this.#ended = true;
    this.#timer?.cancel();
    this.#notifyWaiters();
  }

  /**
   * True while a quorum has acknowledged a message sent within the lease and all entries of
   * earlier terms are committed.
   */
  holdsLease(commitIndex: number): boolean {
    const { clock, timing } = this.#deps;
    return commitIndex >= this.#firstIndex && this.#quorumAckedAt() + timing.leaseMs > clock.now();
  }

  /**
   * Upper bound of the age of the committed state, ms: the time since a quorum last confirmed this leader. Undefined
   * while entries of earlier terms may be committed without the leader knowing.
   */
  stateAgeMs(commitIndex: number): number | undefined {
    const { log, elapsed } = this.#deps;
    if (commitIndex < this.#firstIndex) {
      return undefined;
    }
    const now = elapsed();
    const confirmedAt = quorumValue(log.group, (v) =>
      v.id === log.id ? now : this.#progress(v).confirmedAt,
    );
    return Number.isFinite(confirmedAt) ? now - confirmedAt : undefined;
  }

  /** Appends an entry and replicates it; returns its index, or undefined if the disk write failed. */
  append(body: EntryBody): number | undefined {
    const { log, tryWrite } = this.#deps;
    const { lastIndex, term } = log;
    const entry = { index: lastIndex + 1, term, body };
    if (
      this.#ended ||
      !tryWrite(() => {
        log.append(lastIndex, [entry]);
      })
    ) {
      return undefined;
    }
    this.#replicateAll();
    this.#advanceCommitIndex();
    return entry.index;
  }

  /** Resolves to true once `index` is committed, or to false on a timeout or a loss of leadership. */
  waitForCommit(index: number): Promise<boolean> {
    return this.#waitFor(() => this.#deps.commitIndex() >= index);
  }

  /** Resolves to true once a quorum has acknowledged a message sent after this call. */
  confirmLeadership(): Promise<boolean> {
    const calledAt = this.#deps.clock.now();
    this.#replicateAll();
    return this.#waitFor(() => this.#quorumAckedAt() >= calledAt);
  }

  /**
   * Handles a join request from a replica outside the group: it is sent the log, and may become
   * a voter once it has caught up.
   */
  noteLearner(replica: Voter): void {
    const { log, clock, logger } = this.#deps;
    const members = membersOf(log.group);
    if (members.some((v) => v.id === replica.id)) {
      return;
    }
    if (!this.#learners.has(replica.id)) {
      logger.info({ replica }, "replica requests to join the group");
    }
    this.#learners.set(replica.id, { replica, requestedAt: clock.now() });
    for (const voter of members) {
      if (voter.address === replica.address) {
        this.#progress(voter).noteDiskLost();
      }
    }
    this.#replicate(replica);
  }

  /** The other voter with the most complete log, to which leadership can be transferred. */
  mostUpToDate(): Voter | undefined {
    return this.#others()
      .filter((v) => !this.#progress(v).isDiskLost)
      .toSorted((a, b) => this.#progress(b).matched - this.#progress(a).matched)[0];
  }

  #sendHeartbeat(): void {
    const { clock, timing, onLeadershipLost } = this.#deps;
    if (clock.now() - this.#quorumAckedAt() > timing.electionMaxMs) {
      // Heartbeats may still reach the other replicas while their replies are lost. Without
      // a step-down, those replicas would never elect a leader that can commit entries.
      onLeadershipLost("no replies from a quorum");
      return;
    }
    this.#replicateAll();
    this.#reconfigureGroup();
    if (!this.#ended) {
      this.#timer = clock.timeout(timing.heartbeatMs, () => {
        this.#sendHeartbeat();
      });
    }
  }

  #replicateAll(): void {
    for (const replica of [...this.#others(), ...this.#activeLearners()]) {
      this.#replicate(replica);
    }
  }

  #replicate(replica: Voter): void {
    const { log, clock, elapsed, link, self, api } = this.#deps;
    const progress = this.#progress(replica);
    const sentAt = clock.now();
    const sentElapsed = elapsed();
    const sequence = this.#ended ? undefined : progress.begin(sentAt);
    if (sequence === undefined) {
      return;
    }
    const { term } = log;
    const committed = this.#deps.commitIndex();
    const req = {
      kind: "append",
      to: replica.id,
      term,
      leader: self,
      leaderApi: api,
      committed,
      echo: progress.lastReply,
      stateAgeMs: this.stateAgeMs(committed),
      ...progress.nextContent(log),
    } as const;
    link.send(replica.address, req, (reply) => {
      const resend = progress.end(sequence);
      if (!this.#ended && log.term === term) {
        this.#handleReply(progress, reply, { sentAt, sentElapsed, resend });
      }
    });
  }

  #handleReply(
    progress: PeerProgress,
    reply: ReplicaReply,
    { sentAt, sentElapsed, resend }: { sentAt: number; sentElapsed: number; resend: boolean },
  ): void {
    const { log, noteTerm } = this.#deps;
    if (reply.kind === "stranger") {
      progress.noteDiskLost();
      return;
    }
    if (reply.kind !== "append") {
      return;
    }
    noteTerm(reply.term);
    if (this.#ended || reply.term !== log.term) {
      return;
    }
    const progressed = progress.applyReply(reply, sentAt, sentElapsed);
    this.#advanceCommitIndex();
    if (resend || (progressed && progress.matched < log.lastIndex)) {
      this.#replicate(progress.replica);
    }
  }

  /** Commits the entries that a majority of the group holds. */
  #advanceCommitIndex(): void {
    const { log, commitIndex, commit } = this.#deps;
    const majorityIndex = quorumValue(log.group, (v) =>
      v.id === log.id ? log.lastIndex : this.#progress(v).matched,
    );
    // Only entries of the leader's own term are committed by counting replicas (figure 8 of the Raft paper).
    if (majorityIndex > commitIndex() && log.termAt(majorityIndex) === log.term) {
      commit(majorityIndex);
      this.#replicateAll();
    }
    this.#notifyWaiters();
  }

  /** Send time of the latest message that a majority has acknowledged, by this replica's clock, ms. */
  #quorumAckedAt(): number {
    const { log, clock } = this.#deps;
    return quorumValue(log.group, (v) =>
      v.id === log.id ? clock.now() : this.#progress(v).ackedAt,
    );
  }

  /** Proposes the next change of the group, if one is needed and the previous one is committed. */
  #reconfigureGroup(): void {
    const { log, wantedVoters, commitIndex, logger } = this.#deps;
    if (commitIndex() < Math.max(log.groupIndex, this.#firstIndex)) {
      return;
    }
    const { voters, next } = log.group;
    if (next) {
      this.append({ kind: "group", group: { voters: next } });
      return;
    }
    if (!voters.some((v) => v.id === log.id)) {
      // This replica led until the change that removes it was committed; the remaining voters elect a new leader.
      this.#deps.onExcluded();
      return;
    }
    const newVoters = planVoters(
      wantedVoters,
      voters.map((v) => this.#candidate(v)),
      this.#activeLearners().map((l) => this.#candidate(l)),
    );
    if (newVoters) {
      logger.info({ from: voters, to: newVoters }, "changing the control group");
      this.append({ kind: "group", group: { voters, next: newVoters } });
    }
  }

  #candidate(replica: Voter): Candidate {
    const { log, clock, timing, commitIndex } = this.#deps;
    if (replica.id === log.id) {
      return { replica, reachable: true, diskLost: false, caughtUp: true, silentMs: 0 };
    }
    const progress = this.#progress(replica);
    const silentMs = clock.now() - progress.ackedAt;
    return {
      replica,
      reachable: silentMs < timing.replaceAfterMs,
      diskLost: progress.isDiskLost,
      caughtUp: progress.matched >= commitIndex(),
      silentMs,
    };
  }

  #others(): Voter[] {
    return membersOf(this.#deps.log.group).filter((v) => v.id !== this.#deps.log.id);
  }

  #activeLearners(): Voter[] {
    const { log, clock } = this.#deps;
    const members = new Set(membersOf(log.group).map((v) => v.id));
    for (const [id, { requestedAt }] of this.#learners) {
      if (clock.now() - requestedAt > LEARNER_TTL_MS || members.has(id)) {
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

  /** Resolves to true once `condition()` is true, or to false on a timeout or a loss of leadership. */
  #waitFor(condition: () => boolean): Promise<boolean> {
    const { clock, timing } = this.#deps;
    return new Promise((resolve) => {
      const settle = (done: boolean) => {
        this.#waiters.delete(check);
        timer.cancel();
        resolve(done);
      };
      const check = () => {
        if (this.#ended || condition()) {
          settle(!this.#ended && condition());
        }
      };
      const timer = clock.timeout(timing.commitTimeoutMs, () => {
        settle(false);
      });
      this.#waiters.add(check);
      check();
    });
  }

  #notifyWaiters(): void {
    for (const check of [...this.#waiters]) {
      check();
    }
  }
}
