import type bunyan from "bunyan";
import type { Clock } from "../../common/lifecycle/Clock.ts";
import { Disposable } from "../../common/lifecycle/Disposable.ts";
import type { ReplicaId } from "../../common/ids/ReplicaId.ts";
import type { ConfigState } from "../log/ConfigState.ts";
import { CommittedState } from "./CommittedState.ts";
import { DiskWriter } from "./DiskWriter.ts";
import { Election } from "./Election.ts";
import { JoinRequests } from "./JoinRequests.ts";
import { LeaderContact } from "./LeaderContact.ts";
import { LeaderTerm } from "./LeaderTerm.ts";
import type { ControlGroup } from "../log/ControlGroup.ts";
import { membersOf } from "../log/membersOf.ts";
import type { ProposalDecision } from "./ProposalDecision.ts";
import type { ProposalOutcome } from "./ProposalOutcome.ts";
import { ProposalQueue } from "./ProposalQueue.ts";
import type { ReplicaLink } from "./ReplicaLink.ts";
import type {
  AppendRequest,
  JoinRequest,
  HandoverRequest,
  ReplicaReply,
  ReplicaRequest,
  VoteRequest,
} from "./ReplicaMessages.ts";
import type { ReplicatedLog } from "../log/ReplicatedLog.ts";
import type { ReplicaTiming } from "./ReplicaTiming.ts";
import { StateConfirmation } from "./StateConfirmation.ts";
import type { Voter } from "../log/Voter.ts";

interface ReplicaDeps {
  /** Addresses of this replica, for other replicas and for operators, and its zone. */
  readonly self: { readonly address: string; readonly zone: string; readonly api: string };
  /** Addresses of replicas that may know the group, to which join requests are sent. */
  readonly contacts: () => readonly string[];
  /** Number of voters needed for the configured fault tolerance. */
  readonly wantedVoters: number;
  readonly log: ReplicatedLog;
  readonly link: ReplicaLink;
  readonly timing: ReplicaTiming;
  readonly clock: Clock;
  /** Clock by which confirmations age, ms; see ElapsedClock. */
  readonly elapsed: () => number;
  /** Number before that of the first reply to a leader; random, so that it differs between incarnations. */
  readonly firstReply: number;
  /** Random numbers in [0, 1); seeded in tests. */
  readonly random: () => number;
  readonly logger: bunyan;
  /** Called with the duration of each disk write, ms. */
  readonly onWrite?: (ms: number) => void;
}

/** How long a replica starts no election after its disk failed or stalled, ms. */
const DISK_FAULT_ABSTAIN_MS = 5000;

/**
 * One control replica of the Raft group that agrees on the configuration document: leader
 * election, a replicated log with a majority quorum, and group changes by joint consensus
 * (Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm", 2014;
 * Ongaro's thesis, chapter 4). A pre-vote before each election keeps a replica that was cut
 * off from deposing a leader that the others still hear.
 */
export class Replica extends Disposable {
  readonly #deps: ReplicaDeps;
  readonly #log: ReplicatedLog;
  readonly #election: Election;
  readonly #confirmation: StateConfirmation;
  readonly #writer: DiskWriter;
  readonly #committed: CommittedState;
  readonly #proposals: ProposalQueue;
  readonly #joinRequests: JoinRequests;
  readonly #contact: LeaderContact;
  readonly #listeners = new Set<() => void>();
  #term: LeaderTerm | undefined;

  constructor(deps: ReplicaDeps) {
    super();
    this.#deps = deps;
    this.#log = deps.log;
    const { log, link, timing, clock, logger } = deps;
    this.#writer = new DiskWriter({
      clock,
      logger,
      onWrite: deps.onWrite,
      onFault: (reason) => {
        this.#abstain(reason);
      },
    });
    const tryWrite = this.#tryWrite.bind(this);
    const onChange = this.#notifyListeners.bind(this);
    this.#committed = new CommittedState({ log, tryWrite, onChange, logger });
    this.#proposals = new ProposalQueue({
      leasedTerm: () => (this.holdsLease ? this.#term : undefined),
      lastIndex: () => log.lastIndex,
      state: () => this.state,
    });
    this.#joinRequests = this.register(
      new JoinRequests({
        self: () => this.#self,
        contacts: deps.contacts,
        voters: () => this.voters,
        isNeeded: () => this.#term === undefined && (!this.#isVoter || !this.#hasRecentHeartbeat),
        intervalMs: timing.joinIntervalMs,
        link,
        clock,
      }),
    );
    this.#contact = new LeaderContact(clock, logger);
    this.#confirmation = new StateConfirmation(deps.elapsed, deps.firstReply);
    this.#election = new Election({
      log,
      link,
      timing,
      clock,
      random: deps.random,
      writeMs: () => this.#writer.usualMs,
      noteTerm: (term) => {
        this.#noteTerm(term);
      },
      onElected: () => {
        this.#startLeading();
      },
      canCampaign: () => this.#term === undefined,
      onElectionTimeout: () => {
        this.#notifyListeners();
      },
      enterTerm: (term) =>
        this.#tryWrite(() => {
          this.#log.enterTerm(term, this.#log.id);
        }),
    });
    this.register(this.#election);
  }

  /** Starts elections and join requests; they run until the replica is disposed. */
  start(): void {
    this.#election.start();
    this.#joinRequests.start();
    this.register({
      dispose: () => {
        this.#term?.dispose();
      },
    });
  }

  /** Id of this replica; it is stored with the log, so a replica on an empty disk has a new one. */
  get id(): ReplicaId {
    return this.#log.id;
  }

  /** Its current election term. */
  get term(): number {
    return this.#log.term;
  }

  /** The leader's id and API address for operators; undefined while unknown. */
  get leader(): { readonly id: ReplicaId; readonly api: string } | undefined {
    if (this.#term) {
      return { id: this.#log.id, api: this.#deps.self.api };
    }
    const { leader } = this.#contact;
    return leader && { id: leader.replica.id, api: leader.api };
  }

  /**
   * Its current role. It is a `learner` outside the group and until the change that adds it
   * is complete: before that, the replica that it replaces is still a voter, so that the
   * loss of one more replica would be a second loss.
   */
  get role(): "leader" | "follower" | "candidate" | "learner" {
    if (this.#term) {
      return "leader";
    }
    if (!this.#log.group.voters.some((v) => v.id === this.#log.id)) {
      return "learner";
    }
    return this.#election.isCampaigning ? "candidate" : "follower";
  }

  /** The replicas of the control group, according to this replica's log. */
  get voters(): readonly Voter[] {
    return membersOf(this.#log.group);
  }

  /** The control group, according to this replica's log. */
  get group(): ControlGroup {
    return this.#log.group;
  }

  /** Index of the log entry that {@link group} is from; it rises with each change of the group. */
  get groupIndex(): number {
    return this.#log.groupIndex;
  }

  /**
   * The committed document, its version, and the recently accepted change requests, as far as this replica knows: after
   * a restart the state of its last snapshot, until a leader has told what is committed. See {@link currentState}.
   */
  get state(): ConfigState {
    return this.#committed.state;
  }

  /** The committed state while it is known to be current; only this may be handed out to other processes. */
  get currentState(): ConfigState | undefined {
    return this.inTouch ? this.state : undefined;
  }

  /** True while this replica holds the leader lease, so that its committed document is the current one. */
  get holdsLease(): boolean {
    return this.#term?.holdsLease(this.#committed.index) ?? false;
  }

  /**
   * True while the committed state is known to include every change that was acknowledged more than the longest election
   * timeout ago. Not true of a replica that hears the leader, but has not stored or applied all that it committed.
   */
  get inTouch(): boolean {
    const { stateAgeMs } = this;
    return stateAgeMs !== undefined && stateAgeMs <= this.#deps.timing.electionMaxMs;
  }

  /**
   * Upper bound of the age of the committed state, ms: it includes every change that was acknowledged longer ago.
   * Undefined while there is none. It also holds after this replica or the leader was suspended.
   */
  get stateAgeMs(): number | undefined {
    if (this.#term) {
      return this.#term.stateAgeMs(this.#committed.index);
    }
    const { ageMs } = this.#confirmation;
    return Number.isFinite(ageMs) ? ageMs : undefined;
  }

  /**
   * Calls `listener` after every commit, and when this replica stops leading or loses contact
   * with the leader; returns a function that removes the listener.
   */
  onChange(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /**
   * Returns the current state, confirmed by a quorum after the call began; undefined if this
   * replica does not lead or cannot confirm. The lease alone is not sufficient: the monotonic
   * clock stops while a machine is suspended, so the lease still appears valid afterwards.
   */
  async readCurrent(): Promise<ConfigState | undefined> {
    const term = this.#term;
    if (!term || !this.holdsLease || !(await term.confirmLeadership())) {
      return undefined;
    }
    return this.state;
  }

  /**
   * Proposes the change that `decide` returns for the current state. Proposals run one at a
   * time. `decide` may also return an answer, with which the call ends without a proposal.
   */
  propose<T>(decide: (current: ConfigState) => ProposalDecision<T>): Promise<ProposalOutcome<T>> {
    return this.#proposals.propose(decide);
  }

  /**
   * True once the group is large enough for the configured fault tolerance, so that
   * acknowledged changes survive that many losses.
   */
  get isGroupComplete(): boolean {
    const { group, groupIndex } = this.#log;
    return (
      group.next === undefined &&
      group.voters.length >= this.#deps.wantedVoters &&
      this.#committed.index >= groupIndex
    );
  }

  /** Transfers leadership to the most up-to-date voter, before a planned stop or after a disk fault. */
  handOver(): void {
    const successor = this.#term?.mostUpToDate();
    if (successor) {
      const req = { kind: "handover", to: successor.id, term: this.#log.term } as const;
      this.#deps.link.send(successor.address, req, () => undefined);
    }
  }

  /** Handles a request from another replica and returns the reply. */
  receive(req: ReplicaRequest): ReplicaReply {
    if (req.kind === "join") {
      return this.#onJoin(req);
    }
    if (req.to !== this.#log.id) {
      // The request is for a replica whose disk was at this address before; this one does not have its votes or log.
      return { kind: "stranger", id: this.#log.id };
    }
    switch (req.kind) {
      case "vote":
        return this.#onVote(req);
      case "append":
        return this.#onAppend(req);
      case "handover":
        return this.#onHandover(req);
    }
  }

  get #isVoter(): boolean {
    return this.voters.some((v) => v.id === this.#log.id);
  }

  get #hasRecentHeartbeat(): boolean {
    return this.#contact.isRecent(this.#deps.timing.electionMinMs);
  }

  #onVote(req: VoteRequest): ReplicaReply {
    const granted = this.#mayVote(req) && (req.pre || this.#castVote(req));
    return { kind: "vote", term: this.#log.term, granted };
  }

  #mayVote(req: VoteRequest): boolean {
    const { lastIndex, lastTerm, term } = this.#log;
    const upToDate =
      req.lastTerm > lastTerm || (req.lastTerm === lastTerm && req.lastIndex >= lastIndex);
    // No vote while a known leader may hold its lease, unless that leader asked for the election.
    const leaderMayHoldLease = !req.handover && (this.holdsLease || this.#hasRecentHeartbeat);
    return upToDate && !leaderMayHoldLease && req.term >= term;
  }

  #castVote(req: VoteRequest): boolean {
    const { term, votedFor } = this.#log;
    if (req.term === term && votedFor !== "" && votedFor !== req.candidate) {
      return false;
    }
    if (
      !this.#tryWrite(() => {
        this.#log.enterTerm(req.term, req.candidate);
      })
    ) {
      return false;
    }
    this.#stepDown("voted for another replica in a later term");
    this.#election.postpone();
    return true;
  }

  #onAppend(req: AppendRequest): ReplicaReply {
    if (req.term < this.#log.term || !this.#acceptLeader(req)) {
      return this.#appendReply(false, this.#committed.index);
    }
    const { snapshot } = req;
    if (snapshot && snapshot.index > this.#committed.index && !this.#committed.install(snapshot)) {
      return this.#appendReply(false, this.#committed.index);
    }
    const matchesPrev =
      req.prevIndex <= this.#committed.index || this.#log.termAt(req.prevIndex) === req.prevTerm;
    if (this.#committed.index < 0 || !matchesPrev || !this.#committed.appendMissing(req.entries)) {
      return this.#appendReply(false, this.#committed.index);
    }
    const matched = req.prevIndex + req.entries.length;
    this.#committed.commit(Math.min(req.committed, Math.max(matched, this.#committed.index)));
    if (req.stateAgeMs !== undefined && this.#committed.index >= req.committed) {
      this.#confirmation.confirm(req.echo, req.stateAgeMs);
    }
    return this.#appendReply(true, Math.max(matched, this.#committed.index));
  }

  #appendReply(ok: boolean, matched: number): ReplicaReply {
    const number = this.#confirmation.nextReply();
    return { kind: "append", term: this.#log.term, ok, matched, number };
  }

  /** Accepts the sender as the leader of its term; false if the new term could not be stored. */
  #acceptLeader(req: AppendRequest): boolean {
    if (
      req.term > this.#log.term &&
      !this.#tryWrite(() => {
        this.#log.enterTerm(req.term, req.leader.id);
      })
    ) {
      return false;
    }
    this.#stepDown("another replica leads this term");
    this.#contact.note(req);
    this.#election.noteLeader();
    return true;
  }

  #onHandover(req: HandoverRequest): ReplicaReply {
    if (req.term === this.#log.term && this.#isVoter) {
      this.#election.campaign(true);
    }
    return { kind: "handover" };
  }

  #onJoin(req: JoinRequest): ReplicaReply {
    this.#term?.noteLearner(req.replica);
    const leader = this.#term
      ? this.#deps.self.address
      : (this.#contact.leader?.replica.address ?? "");
    return { kind: "join", leader };
  }

  get #self(): Voter {
    const { address, zone } = this.#deps.self;
    return { id: this.#log.id, address, zone };
  }

  #startLeading(): void {
    const { self, logger } = this.#deps;
    logger.info({ term: this.#log.term, voters: this.voters.length }, "became the leader");
    this.#contact.forget();
    this.#term = new LeaderTerm({
      ...this.#deps,
      self: this.#self,
      api: self.api,
      commitIndex: () => this.#committed.index,
      commit: (index) => {
        this.#committed.commit(index);
      },
      noteTerm: (term) => {
        this.#noteTerm(term);
      },
      onExcluded: () => {
        this.handOver();
        this.#loseLeadership("removed from the control group");
      },
      onLeadershipLost: (reason) => {
        this.#loseLeadership(reason);
      },
      tryWrite: (write) => this.#tryWrite(write),
    });
    this.#term.start();
  }

  #noteTerm(term: number): void {
    if (
      term > this.#log.term &&
      this.#tryWrite(() => {
        this.#log.enterTerm(term);
      })
    ) {
      this.#loseLeadership("saw a later term");
    }
  }

  /** Stops leading, if this replica leads, and waits for another leader. */
  #loseLeadership(reason: string): void {
    this.#stepDown(reason);
    this.#election.postpone();
    this.#notifyListeners();
  }

  #stepDown(reason: string): void {
    this.#election.cancel();
    if (this.#term) {
      this.#deps.logger.info({ term: this.#log.term, reason }, "no longer leading");
      this.#term.dispose();
      this.#term = undefined;
    }
  }

  #tryWrite(write: () => void): boolean {
    return this.#writer.tryWrite(write);
  }

  /**
   * A replica whose disk fails or stalls is unfit to lead: it hands leadership over and starts no
   * election for {@link DISK_FAULT_ABSTAIN_MS}.
   */
  #abstain(reason: string): void {
    this.handOver();
    this.#election.abstain(DISK_FAULT_ABSTAIN_MS);
    if (this.#term) {
      const term = this.#term;
      // Deferred, because the caller may still be in the middle of an operation of this term.
      queueMicrotask(() => {
        if (this.#term === term) {
          this.#stepDown(reason);
          this.#notifyListeners();
        }
      });
    }
  }

  #notifyListeners(): void {
    for (const listener of [...this.#listeners]) {
      listener();
    }
  }
}
