import type bunyan from "bunyan";
import type { Clock } from "../../common/lifecycle/Clock.ts";
import { Disposable } from "../../common/lifecycle/Disposable.ts";
import type { Timer } from "../../common/lifecycle/Timer.ts";
import type { ReplicaId } from "../../common/ids/ReplicaId.ts";
import { StorageError } from "../../common/storage/StorageError.ts";
import type { AcceptedChange } from "../log/AcceptedChange.ts";
import { ConfigState } from "../log/ConfigState.ts";
import { Election } from "./Election.ts";
import { LeaderTerm } from "./LeaderTerm.ts";
import type { LogEntry } from "../log/LogEntry.ts";
import { membersOf } from "../log/membersOf.ts";
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
import type { Voter } from "../log/Voter.ts";

/** How a proposal ended. */
type ProposalOutcome =
  | { readonly kind: "committed"; readonly version: number }
  | { readonly kind: "not-leader" }
  /** Sent out but not acknowledged by a quorum in time: it may still be committed. */
  | { readonly kind: "unknown" };

interface ReplicaDeps {
  /** Where other replicas and operators reach this one. */
  readonly self: { readonly address: string; readonly zone: string; readonly api: string };
  /** Replicas that may know the group, asked by one that is outside it. */
  readonly contacts: () => readonly string[];
  /** Voters that the stated tolerance asks for. */
  readonly wantedVoters: number;
  readonly log: ReplicatedLog;
  readonly link: ReplicaLink;
  readonly timing: ReplicaTiming;
  readonly clock: Clock;
  /** In [0, 1); tests pass a seeded one. */
  readonly random: () => number;
  readonly logger: bunyan;
  /** Told how long each write to the disk took, ms. */
  readonly onWrite?: (ms: number) => void;
}

/** A leader as its followers know it. */
interface KnownLeader {
  readonly replica: Voter;
  readonly api: string;
}

/**
 * A write that took longer than this shows a failing disk, ms: a healthy sync takes 2,
 * one on a slowed disk 70. A leader hands over, since every change waits for its disk.
 */
const SLOW_WRITE_MS = 400;

/** A replica whose disk failed or stalled does not stand for election for this long, ms. */
const DISK_FAULT_ABSTAIN_MS = 5000;

/**
 * One control replica's part in agreeing on the document: leader election, a
 * replicated log with a majority quorum, and changes of the group one replica at
 * a time (Ongaro and Ousterhout, "In Search of an Understandable Consensus
 * Algorithm", 2014; Ongaro's thesis, chapter 4). A sounding before each election
 * keeps a cut-off replica from unseating a leader that others hear.
 */
export class Replica extends Disposable {
  readonly #deps: ReplicaDeps;
  readonly #log: ReplicatedLog;
  readonly #election: Election;
  readonly #listeners = new Set<() => void>();
  #state: ConfigState;
  /** Index up to which entries are committed, and taken into the state. */
  #commitIndex: number;
  #term: LeaderTerm | undefined;
  #leader: KnownLeader | undefined;
  #lastHeartbeatAt = -Infinity;
  #proposals: Promise<unknown> = Promise.resolve();
  #joinTimer: Timer | undefined;

  constructor(deps: ReplicaDeps) {
    super();
    this.#deps = deps;
    this.#log = deps.log;
    const { snapshot } = deps.log;
    this.#state = new ConfigState(snapshot.config);
    this.#commitIndex = snapshot.index;
    this.#election = new Election({
      log: deps.log,
      link: deps.link,
      timing: deps.timing,
      clock: deps.clock,
      random: deps.random,
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

  /** Starts taking part until disposed. */
  start(): void {
    this.#election.start();
    this.#joinTimer = this.#deps.clock.after(0, () => {
      this.#joinPeriodically();
    });
    this.register({
      dispose: () => {
        this.#joinTimer?.cancel();
        this.#term?.dispose();
      },
    });
  }

  /** Id of this replica's disk. */
  get id(): ReplicaId {
    return this.#log.id;
  }

  /** The election term that it is in. */
  get term(): number {
    return this.#log.term;
  }

  /** The leader's id and where operators reach it, as far as known. */
  get leader(): { readonly id: ReplicaId; readonly api: string } | undefined {
    if (this.#term) {
      return { id: this.#log.id, api: this.#deps.self.api };
    }
    return this.#leader && { id: this.#leader.replica.id, api: this.#leader.api };
  }

  /**
   * Its part at the moment: `leader`, `follower`, `candidate`; or `learner` outside the
   * group, and until the change that lets it in is complete: before that, the loss of
   * another replica still counts as a second one.
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

  /** The replicas of the control group, as this one knows it. */
  get voters(): readonly Voter[] {
    return membersOf(this.#log.group);
  }

  /** The committed document, its version, and the orders that led to it. */
  get state(): ConfigState {
    return this.#state;
  }

  /** True while this replica leads with a lease: its committed document is the current one. */
  get holdsLease(): boolean {
    return this.#term?.holdsLease(this.#commitIndex) ?? false;
  }

  /**
   * True while what is committed here is at most a moment behind: leads with a
   * lease, or heard from the leader just now. A replica cut off for hours must
   * not hand its old document to a sidecar that has none newer.
   */
  get inTouch(): boolean {
    return this.holdsLease || (this.#term === undefined && this.#hasRecentHeartbeat);
  }

  /** Calls `listener` with every committed change and loss of touch; returns how to stop. */
  onChange(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /**
   * The current document, confirmed by a quorum after the call began; undefined
   * where this replica does not lead. A lease alone would not do: a machine
   * suspended as a whole wakes with its steady clock, and its lease, unmoved.
   */
  async readCurrent(): Promise<ConfigState | undefined> {
    const term = this.#term;
    if (!term || !this.holdsLease || !(await term.confirmLeadership())) {
      return undefined;
    }
    return this.#state;
  }

  /**
   * Proposes the change that `decide` makes of the current state, one proposal
   * at a time; `decide` may also settle the matter without a proposal.
   */
  propose<T>(
    decide: (current: ConfigState) => { propose: AcceptedChange } | { answer: T },
  ): Promise<ProposalOutcome | { readonly kind: "answered"; readonly answer: T }> {
    const turn = this.#proposals.then(async () => {
      const term = this.#term;
      if (!term || !this.holdsLease) {
        return { kind: "not-leader" } as const;
      }
      // A proposal of before that timed out may still be pending: its fate comes first.
      if (!(await term.waitForCommit(this.#log.lastIndex))) {
        return { kind: "unknown" } as const;
      }
      const decision = decide(this.#state);
      if ("answer" in decision) {
        // A replica that was suspended, and leads no more, may decide by an old state.
        return (await term.confirmLeadership())
          ? ({ kind: "answered", answer: decision.answer } as const)
          : ({ kind: "unknown" } as const);
      }
      const { propose: change } = decision;
      const index = term.append({ kind: "change", change });
      const done = index !== undefined && (await term.waitForCommit(index));
      return done
        ? ({ kind: "committed", version: change.version } as const)
        : ({ kind: "unknown" } as const);
    });
    this.#proposals = turn.catch(() => undefined);
    return turn;
  }

  /** True once the group is as large as the stated tolerance asks for: an acknowledgement then survives it. */
  get isGroupComplete(): boolean {
    const { group, groupIndex } = this.#log;
    return (
      group.next === undefined &&
      group.voters.length >= this.#deps.wantedVoters &&
      this.#commitIndex >= groupIndex
    );
  }

  /** Passes leadership on, before a planned stop. */
  handOver(): void {
    const heir = this.#term?.mostUpToDate();
    if (heir) {
      const req = { kind: "handover", to: heir.id, term: this.#log.term } as const;
      this.#deps.link.send(heir.address, req, () => undefined);
    }
  }

  /** Answers another replica. */
  receive(req: ReplicaRequest): ReplicaReply {
    if (req.kind === "join") {
      return this.#onJoin(req);
    }
    if (req.to !== this.#log.id) {
      // Meant for a disk that stood at this address before: none of its promises hold here.
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
    return this.#deps.clock.now() - this.#lastHeartbeatAt < this.#deps.timing.electionMinMs;
  }

  #onVote(req: VoteRequest): ReplicaReply {
    const granted = this.#mayVote(req) && (req.pre || this.#castVote(req));
    return { kind: "vote", term: this.#log.term, granted };
  }

  #mayVote(req: VoteRequest): boolean {
    const { lastIndex, lastTerm, term } = this.#log;
    const upToDate =
      req.lastTerm > lastTerm || (req.lastTerm === lastTerm && req.lastIndex >= lastIndex);
    // A leader that others hear keeps its lease: no vote before it can have run out.
    const leaseStands = !req.handover && (this.holdsLease || this.#hasRecentHeartbeat);
    return upToDate && !leaseStands && req.term >= term;
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
    this.#stepDown("voted in a later term");
    this.#election.postpone();
    return true;
  }

  #onAppend(req: AppendRequest): ReplicaReply {
    if (req.term < this.#log.term || !this.#acceptLeader(req)) {
      return this.#appendReply(false, this.#commitIndex);
    }
    const { snapshot } = req;
    if (snapshot && snapshot.index > this.#commitIndex && !this.#install(snapshot)) {
      return this.#appendReply(false, this.#commitIndex);
    }
    const joinsOn =
      req.prevIndex <= this.#commitIndex || this.#log.termAt(req.prevIndex) === req.prevTerm;
    if (this.#commitIndex < 0 || !joinsOn || !this.#appendMissing(req)) {
      return this.#appendReply(false, this.#commitIndex);
    }
    const matched = req.prevIndex + req.entries.length;
    this.#commit(Math.min(req.committed, Math.max(matched, this.#commitIndex)));
    return this.#appendReply(true, Math.max(matched, this.#commitIndex));
  }

  #appendReply(ok: boolean, matched: number): ReplicaReply {
    return { kind: "append", term: this.#log.term, ok, matched };
  }

  /** Recognizes the sender as the leader of its term; false when the disk refuses the new term. */
  #acceptLeader(req: AppendRequest): boolean {
    if (
      req.term > this.#log.term &&
      !this.#tryWrite(() => {
        this.#log.enterTerm(req.term, req.leader.id);
      })
    ) {
      return false;
    }
    this.#stepDown("another leads in this term");
    if (this.#leader?.replica.id !== req.leader.id) {
      this.#deps.logger.info({ leader: req.leader, term: req.term }, "following");
    }
    this.#leader = { replica: req.leader, api: req.leaderApi };
    this.#lastHeartbeatAt = this.#deps.clock.now();
    this.#election.noteLeader();
    return true;
  }

  #install(snapshot: NonNullable<AppendRequest["snapshot"]>): boolean {
    if (
      !this.#tryWrite(() => {
        this.#log.install(snapshot);
      })
    ) {
      return false;
    }
    this.#state = new ConfigState(snapshot.config);
    this.#commitIndex = snapshot.index;
    this.#deps.logger.info(
      { index: snapshot.index, version: snapshot.config.version },
      "took the leader's snapshot",
    );
    this.#notifyListeners();
    return true;
  }

  /** Appends what is missing; what stands already, and all that is committed, stays as it is. */
  #appendMissing(req: AppendRequest): boolean {
    const fresh = req.entries.filter((e) => e.index > this.#commitIndex);
    const missing = fresh.findIndex((e) => this.#log.termAt(e.index) !== e.term);
    if (missing < 0) {
      return true;
    }
    const entries = fresh.slice(missing);
    const after = (entries[0]?.index ?? 0) - 1;
    return this.#tryWrite(() => {
      this.#log.append(after, entries);
    });
  }

  #onHandover(req: HandoverRequest): ReplicaReply {
    if (req.term === this.#log.term && this.#isVoter) {
      this.#election.campaign(true);
    }
    return { kind: "handover" };
  }

  #onJoin(req: JoinRequest): ReplicaReply {
    this.#term?.noteLearner(req.replica);
    const leader = this.#term ? this.#deps.self.address : (this.#leader?.replica.address ?? "");
    return { kind: "join", leader };
  }

  /**
   * Asks to be let in while outside the group, and while no leader is heard: a voter
   * that was cut off may have lost its place meanwhile, and does not know.
   */
  #joinPeriodically(): void {
    const { clock, timing } = this.#deps;
    if (this.#term === undefined && (!this.#isVoter || !this.#hasRecentHeartbeat)) {
      this.#sendJoinRequests();
    }
    this.#joinTimer = clock.after(timing.joinMs, () => {
      this.#joinPeriodically();
    });
  }

  #sendJoinRequests(): void {
    const { self, contacts, link } = this.#deps;
    const req = { kind: "join", replica: { id: this.#log.id, ...this.#selfAddress() } } as const;
    const known = [...contacts(), ...this.voters.map((v) => v.address)];
    const others = new Set(known.filter((address) => address !== self.address));
    for (const address of others) {
      link.send(address, req, (reply) => {
        if (reply.kind === "join" && reply.leader !== "" && !others.has(reply.leader)) {
          link.send(reply.leader, req, () => undefined);
        }
      });
    }
  }

  #selfAddress(): { address: string; zone: string } {
    const { address, zone } = this.#deps.self;
    return { address, zone };
  }

  #startLeading(): void {
    const { self, logger } = this.#deps;
    logger.info({ term: this.#log.term, voters: this.voters.length }, "leading");
    this.#leader = undefined;
    this.#term = new LeaderTerm({
      ...this.#deps,
      self: { id: this.#log.id, ...this.#selfAddress() },
      api: self.api,
      commitIndex: () => this.#commitIndex,
      commit: (index) => {
        this.#commit(index);
      },
      noteTerm: (term) => {
        this.#noteTerm(term);
      },
      onExcluded: () => {
        this.handOver();
        this.#loseLeadership("left out of the group");
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
      this.#loseLeadership("a later term is known");
    }
  }

  /** Stops leading, if it does, and waits for another to lead. */
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

  /** Takes entries up to `index` into the state. */
  #commit(index: number): void {
    if (index <= this.#commitIndex) {
      return;
    }
    const fresh = this.#log.entriesAfter(this.#commitIndex).filter((e) => e.index <= index);
    this.#commitIndex = index;
    fresh.forEach((e) => {
      this.#apply(e);
    });
    this.#tryWrite(() => {
      this.#log.compact(index, () => this.#state.snapshot());
    });
    this.#notifyListeners();
  }

  #apply({ body }: LogEntry): void {
    if (body.kind === "change") {
      this.#state.apply(body.change);
    } else if (body.kind === "group") {
      const { voters, next } = body.group;
      const changes = { voters: voters.map((v) => v.id), next: next?.map((v) => v.id) };
      this.#deps.logger.info(changes, "control group");
    }
  }

  /**
   * Runs a write to the disk; false when the disk refused it, which is then as if
   * it had not been asked for. A disk that fails or stalls makes a poor leader: it
   * passes leadership on and does not stand for a while.
   */
  #tryWrite(write: () => void): boolean {
    const startedAt = this.#deps.clock.now();
    try {
      write();
    } catch (err) {
      if (!(err instanceof StorageError)) {
        throw err;
      }
      this.#deps.logger.error({ err: err.message }, "the disk refused a write");
      this.#abstain("the disk refused a write");
      return false;
    }
    const ms = this.#deps.clock.now() - startedAt;
    this.#deps.onWrite?.(ms);
    if (ms > SLOW_WRITE_MS) {
      this.#deps.logger.warn({ ms: Math.round(ms) }, "a write to the disk took long");
      this.#abstain("the disk is slow");
    }
    return true;
  }

  #abstain(reason: string): void {
    this.handOver();
    this.#election.abstain(DISK_FAULT_ABSTAIN_MS);
    if (this.#term) {
      const term = this.#term;
      // Not at once: the caller is in the midst of its own step.
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
