import type bunyan from "bunyan";
import { Disposable } from "../../common/lifecycle/Disposable.ts";
import { toDisposable } from "../../common/lifecycle/toDisposable.ts";
import { Follower } from "./Follower.ts";
import type { LogEntry } from "./LogEntry.ts";
import type { ReplicaLog } from "./ReplicaLog.ts";
import type { ReplicaMessages } from "./ReplicaMessages.ts";
import type { ReplicaPeer } from "./ReplicaPeer.ts";
import type { ReplicaTiming } from "./ReplicaTiming.ts";

enum Role {
  Follower = "follower",
  Candidate = "candidate",
  Leader = "leader",
}

/** How a proposal ended. */
type Proposed =
  | { readonly kind: "committed"; readonly version: number }
  | { readonly kind: "not-leader"; readonly leader: string }
  /** Sent out but not acknowledged by a quorum in time: it may still be committed. */
  | { readonly kind: "unknown" };

interface ReplicaDeps {
  readonly id: string;
  readonly peers: readonly ReplicaPeer[];
  readonly log: ReplicaLog;
  readonly timing: ReplicaTiming;
  /** Monotonic clock, ms: jumps of the time of day must not lengthen a lease. */
  readonly now: () => number;
  readonly random: () => number;
  readonly logger: bunyan;
}

/** How often timeouts are looked at, ms. */
const TICK_MS = 20;

/**
 * One control replica's part in agreeing on the document: leader election and
 * a replicated log with a majority quorum (Ongaro and Ousterhout, "In Search of
 * an Understandable Consensus Algorithm", 2014), with a sounding before each
 * election so that a cut-off replica cannot unseat a leader that others hear,
 * and leader leases for reads (Gray and Cheriton, "Leases", 1989).
 */
export class Replica extends Disposable {
  readonly #deps: ReplicaDeps;
  readonly #log: ReplicaLog;
  readonly #followers: Follower[];
  readonly #listeners = new Set<() => void>();
  readonly #waiters = new Set<() => void>();
  #role = Role.Follower;
  #leader = "";
  #leaderHeardAt = -Infinity;
  #electionAt = 0;
  #failedPolls = 0;
  #heartbeatAt = 0;
  /** Index of this leader's first entry: until it is committed, older ones may not all be known as such. */
  #firstOwnIndex = Infinity;
  #proposals: Promise<unknown> = Promise.resolve();

  constructor(deps: ReplicaDeps) {
    super();
    this.#deps = deps;
    this.#log = deps.log;
    this.#followers = deps.peers.map((peer) => new Follower(peer));
    this.#deferElection();
  }

  /** Starts taking part until disposed. */
  start(): void {
    const timer = setInterval(() => {
      this.tick();
    }, TICK_MS);
    this.register(
      toDisposable(() => {
        clearInterval(timer);
      }),
    );
  }

  /** Id of the leader as far as known; empty when not. */
  get leader(): string {
    return this.#leader;
  }

  get role(): string {
    return this.#log.recovering ? "recovering" : this.#role;
  }

  /** The committed entry here. */
  get committed(): LogEntry {
    return this.#log.base;
  }

  /** Version that an accepted request became, if it is remembered. */
  versionFor(requestId: string): number | undefined {
    return this.#log.versionFor(requestId);
  }

  /** True while this replica leads with a lease: its committed document is the current one. */
  get holdsLease(): boolean {
    return (
      this.#role === Role.Leader &&
      this.#log.committed >= this.#firstOwnIndex &&
      this.#quorumHeardAt() + this.#deps.timing.leaseMs > this.#deps.now()
    );
  }

  /**
   * True while what is committed here is at most a moment behind: leads with a
   * lease, or heard from the leader just now. A replica cut off for hours must
   * not hand its old document to a sidecar that has none newer.
   */
  get inTouch(): boolean {
    const heardAgo = this.#deps.now() - this.#leaderHeardAt;
    return (
      this.holdsLease ||
      (this.#role === Role.Follower &&
        !this.#log.recovering &&
        heardAgo < this.#deps.timing.electionMinMs)
    );
  }

  /** Calls `listener` on every commit and loss of touch; returns how to stop. */
  onChange(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /**
   * The current document, confirmed by a quorum after the call began; undefined
   * where this replica does not lead. A lease alone would not do: a machine
   * suspended as a whole wakes with its steady clock, and its lease, unmoved.
   */
  async readCurrent(): Promise<LogEntry | undefined> {
    const calledAt = this.#deps.now();
    if (!this.holdsLease) {
      return undefined;
    }
    this.#replicateAll();
    const confirmed = await this.#whileLeading(() => this.#quorumHeardAt() >= calledAt);
    return confirmed ? this.#log.base : undefined;
  }

  /**
   * Proposes the document that `decide` makes of the current state, one proposal
   * at a time; `decide` may also settle the matter without a proposal.
   */
  propose<T>(
    decide: (current: LogEntry) => { propose: Omit<LogEntry, "index" | "term"> } | { answer: T },
  ): Promise<Proposed | { readonly kind: "answered"; readonly answer: T }> {
    const turn = this.#proposals.then(async () => {
      if (!this.holdsLease) {
        return { kind: "not-leader", leader: this.#leader } as const;
      }
      // A proposal of before that timed out may still be pending: its fate comes first.
      if (!(await this.#committedUpTo(this.#log.last.index))) {
        return { kind: "unknown" } as const;
      }
      const decision = decide(this.#log.base);
      if ("answer" in decision) {
        return { kind: "answered", answer: decision.answer } as const;
      }
      const entry = this.#appendOwn(decision.propose);
      const done = await this.#committedUpTo(entry.index);
      return done
        ? ({ kind: "committed", version: entry.version } as const)
        : ({ kind: "unknown" } as const);
    });
    this.#proposals = turn.catch(() => undefined);
    return turn;
  }

  /** Handles another replica's call for a vote. */
  onVote(req: ReplicaMessages["VoteRequest"]): ReplicaMessages["VoteReply"] {
    const now = this.#deps.now();
    const { electionMinMs } = this.#deps.timing;
    // A leader that others hear keeps its lease: no vote before it can have run out.
    const hearsLeader = this.holdsLease || now - this.#leaderHeardAt < electionMinMs;
    const { last } = this.#log;
    const upToDate =
      req.lastTerm > last.term || (req.lastTerm === last.term && req.lastIndex >= last.index);
    const willing =
      !hearsLeader && upToDate && req.term >= this.#log.term && this.#log.mayVoteIn(req.term);
    if (req.pre || !willing) {
      return { term: this.#log.term, granted: willing };
    }
    if (req.term === this.#log.term && !["", req.candidate].includes(this.#log.votedFor)) {
      return { term: this.#log.term, granted: false };
    }
    this.#role = Role.Follower;
    this.#log.enterTerm(req.term, req.candidate);
    this.#deferElection();
    return { term: req.term, granted: true };
  }

  /** Handles a leader's heartbeat or entries. */
  onAppend(req: ReplicaMessages["AppendRequest"]): ReplicaMessages["AppendReply"] {
    const reply = (ok: boolean, matched: number) => ({
      term: this.#log.term,
      ok,
      matched,
      recovering: this.#log.recovering,
    });
    if (req.term < this.#log.term) {
      return reply(false, -1);
    }
    this.#follow(req.term, req.leader);
    if (req.whole) {
      const answers = req.answers.map((a) => [a.requestId, a.version] as const);
      this.#log.replace(req.entries, answers, req.committed);
      this.#changed();
      return reply(true, this.#log.last.index);
    }
    const prev = this.#log.entries.find((e) => e.index === req.prevIndex);
    if (prev?.term !== req.prevTerm || this.#log.recovering) {
      return reply(false, -1);
    }
    this.#takeIn(req.prevIndex, req.entries);
    const matched = req.prevIndex + req.entries.length;
    if (this.#log.commit(Math.min(req.committed, matched)).length > 0) {
      this.#changed();
    }
    return reply(true, matched);
  }

  /** Appends what is missing; an entry that stands already is not written again. */
  #takeIn(prevIndex: number, entries: readonly LogEntry[]): void {
    const missing = entries.findIndex(
      (e) => !this.#log.entries.some((own) => own.index === e.index && own.term === e.term),
    );
    if (missing >= 0) {
      this.#log.appendAfter(prevIndex + missing, entries.slice(missing));
    }
  }

  /** Looks at what is due: heartbeats, elections, waits that have run out. */
  tick(): void {
    const now = this.#deps.now();
    this.#notify(this.#waiters);
    if (this.#role === Role.Leader) {
      if (now - this.#quorumHeardAt() > this.#deps.timing.electionMaxMs) {
        // Heartbeats may still reach others one way while no answer comes back:
        // unless it steps down, they would never elect a leader that can commit.
        this.#deps.logger.warn("no quorum in reach: stepping down");
        this.#role = Role.Follower;
        this.#leader = "";
        this.#deferElection();
        this.#changed();
      } else if (now >= this.#heartbeatAt) {
        this.#replicateAll();
      }
    } else if (now >= this.#electionAt) {
      this.#deferElection();
      void this.#campaign();
    }
    if (!this.inTouch) {
      this.#notify(this.#listeners);
    }
  }

  async #campaign(): Promise<void> {
    // A replica that lost its disk abstains from the next term. If its vote is
    // needed, sounding that term only would fail for ever: every other try skips it.
    const term = Math.max(this.#log.term + 1 + (this.#failedPolls % 2), this.#log.minVoteTerm);
    if (!this.#log.mayVoteIn(term) || !(await this.#poll(term, true))) {
      this.#failedPolls += 1;
      return;
    }
    this.#failedPolls = 0;
    if (this.#role === Role.Leader || this.#log.term >= term) {
      return;
    }
    this.#role = Role.Candidate;
    this.#leader = "";
    this.#log.enterTerm(term, this.#deps.id);
    if ((await this.#poll(term, false)) && this.#log.term === term) {
      this.#lead();
    }
  }

  /** Asks the others to vote; true once a majority, this one included, is for it. */
  #poll(term: number, pre: boolean): Promise<boolean> {
    const { last } = this.#log;
    const req = {
      term,
      candidate: this.#deps.id,
      lastIndex: last.index,
      lastTerm: last.term,
      pre,
    };
    return new Promise<boolean>((resolve) => {
      let votes = 1;
      let open = this.#followers.length;
      const settle = () => {
        if (votes >= this.#majority) {
          resolve(true);
        } else if (open === 0) {
          resolve(false);
        }
      };
      settle();
      for (const { peer } of this.#followers) {
        void peer
          .vote(req)
          .then((reply) => {
            this.#noteTerm(reply.term);
            votes += reply.granted ? 1 : 0;
          })
          .catch(() => undefined)
          .finally(() => {
            open -= 1;
            settle();
          });
      }
    });
  }

  #lead(): void {
    this.#role = Role.Leader;
    this.#leader = this.#deps.id;
    for (const f of this.#followers) {
      f.startTerm(this.#deps.now());
    }
    this.#deps.logger.info({ term: this.#log.term }, "leading");
    const { version, document } = this.#log.last;
    // An entry of its own term: once committed, so are all before it.
    this.#firstOwnIndex = this.#appendOwn({ version, document, requestId: "" }).index;
  }

  #appendOwn(content: Omit<LogEntry, "index" | "term">): LogEntry {
    const { last } = this.#log;
    const entry = { ...content, index: last.index + 1, term: this.#log.term };
    this.#log.appendAfter(last.index, [entry]);
    this.#advanceCommit();
    this.#replicateAll();
    return entry;
  }

  #replicateAll(): void {
    this.#heartbeatAt = this.#deps.now() + this.#deps.timing.heartbeatMs;
    for (const f of this.#followers) {
      void this.#replicate(f);
    }
  }

  /** Sends one follower what it lacks; one message at a time each. */
  async #replicate(f: Follower): Promise<void> {
    if (f.busy) {
      f.again = true;
      return;
    }
    f.busy = true;
    const sentAt = this.#deps.now();
    const req = f.message(this.#log, this.#deps.id);
    try {
      const reply = await f.peer.append(req);
      this.#noteTerm(reply.term);
      if (this.#role === Role.Leader && req.term === this.#log.term) {
        this.#noteAck(f, reply, sentAt);
      }
    } catch {
      // Unreachable for now; the next heartbeat tries again.
    }
    f.busy = false;
    if (f.again && this.#role === Role.Leader) {
      f.again = false;
      void this.#replicate(f);
    }
  }

  #noteAck(f: Follower, reply: ReplicaMessages["AppendReply"], sentAt: number): void {
    if (f.noteReply(reply, sentAt)) {
      this.#advanceCommit();
      this.#notify(this.#waiters);
    }
  }

  #advanceCommit(): void {
    const held = [this.#log.last.index, ...this.#followers.map((f) => f.held)];
    held.sort((a, b) => b - a);
    const byMajority = held[this.#majority - 1] ?? -1;
    // Only an entry of its own term commits by count (the Raft paper's figure 8).
    const entry = this.#log.entries.find((e) => e.index === byMajority);
    if (entry?.term === this.#log.term && this.#log.commit(byMajority).length > 0) {
      this.#changed();
      this.#replicateAll();
    }
  }

  /** When the last message that a majority acknowledged was sent, by our clock. */
  #quorumHeardAt(): number {
    const times = [this.#deps.now(), ...this.#followers.map((f) => f.ackedAt)];
    times.sort((a, b) => b - a);
    return times[this.#majority - 1] ?? -Infinity;
  }

  get #majority(): number {
    return Math.floor((this.#followers.length + 1) / 2) + 1;
  }

  #noteTerm(term: number): void {
    if (term > this.#log.term) {
      this.#log.enterTerm(term);
      this.#role = Role.Follower;
      this.#leader = "";
      this.#deferElection();
      this.#changed();
    }
  }

  #follow(term: number, leader: string): void {
    if (term > this.#log.term) {
      this.#log.enterTerm(term, leader);
    }
    this.#role = Role.Follower;
    this.#leader = leader;
    this.#leaderHeardAt = this.#deps.now();
    this.#deferElection();
  }

  #deferElection(): void {
    const { electionMinMs, electionMaxMs } = this.#deps.timing;
    const wait = electionMinMs + this.#deps.random() * (electionMaxMs - electionMinMs);
    this.#electionAt = this.#deps.now() + wait;
  }

  #committedUpTo(index: number): Promise<boolean> {
    return this.#whileLeading(() => this.#log.committed >= index);
  }

  /** Resolves true once `reached` is, false when that takes too long or leadership is lost. */
  #whileLeading(reached: () => boolean): Promise<boolean> {
    const giveUpAt = this.#deps.now() + this.#deps.timing.proposeMs;
    return new Promise<boolean>((resolve) => {
      const look = () => {
        const done = this.#role === Role.Leader && reached();
        if (done || this.#role !== Role.Leader || this.#deps.now() >= giveUpAt) {
          this.#waiters.delete(look);
          resolve(done);
        }
      };
      this.#waiters.add(look);
      look();
    });
  }

  #changed(): void {
    this.#notify(this.#waiters);
    this.#notify(this.#listeners);
  }

  #notify(listeners: ReadonlySet<() => void>): void {
    for (const listener of [...listeners]) {
      listener();
    }
  }
}
