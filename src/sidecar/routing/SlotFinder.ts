import type bunyan from "bunyan";
import type { GrantId } from "../../common/ids/GrantId.ts";
import type { TargetId } from "../../common/ids/TargetId.ts";
import type { Clock } from "../../common/lifecycle/Clock.ts";
import type { Timer } from "../../common/lifecycle/Timer.ts";
import type { TargetInfo } from "../../membership/TargetInfo.ts";
import { RETRY_AFTER_MS } from "../forwarding/RETRY_AFTER_MS.ts";
import type { SlotRequest } from "../hop/SlotRequest.ts";
import type { SlotReply } from "../hop/SlotReply.ts";
import type { GateLoad } from "../hop/GateLoad.ts";
import type { HopLink } from "../hop/HopLink.ts";
import type { PendingCall } from "../hop/PendingCall.ts";
import { RefusalReason } from "../hop/RefusalReason.ts";
import type { CallerRequest } from "./CallerRequest.ts";
import type { PickedTarget, PickContext, RoutingPolicy, SuspectTarget } from "./RoutingPolicy.ts";

/** A slot that was granted. */
export interface Grant {
  readonly target: TargetInfo;
  readonly id: GrantId;
}

/** What came of asking: a slot, or why there is none. */
export type SlotSearchResult =
  | { readonly kind: "granted"; readonly grant: Grant }
  | {
      readonly kind: "refused";
      readonly reason: string;
      readonly retryAfterMs: number;
      /** No target was known, or those that were are not known beside their own sidecars. */
      readonly isUnknown: boolean;
    };

interface SlotFinderDeps {
  readonly policy: RoutingPolicy;
  readonly requestSlot: HopLink["requestSlot"];
  readonly clock: Clock;
  readonly log: bunyan;
}

/**
 * Targets asked at the same time, at most. The first free slot is taken and the other
 * asks are withdrawn (late binding; Ousterhout et al., "Sparrow", SOSP 2013): no
 * request waits at a busy target while another has room.
 */
const MAX_ASKS = 3;

/**
 * Sound targets that may say that they are full before no other is asked: loads are even, and under overload every
 * request would ask all targets there are.
 */
const MAX_FULL = 3;

/**
 * An ask not answered within this long makes another target be asked beside it, ms.
 * Across zones an answer takes 3 to 6; a path that is cut or loses packets never
 * answers, or takes hundreds.
 */
const SILENCE_MS = 40;

/** An ask that waits in a queue makes another target be asked beside it after this long, ms. */
const QUEUED_MS = 15;

/**
 * An ask silent for this long counts against the path, and not as one that is under way, ms: longer than
 * a garbage collection at the other side.
 */
const DEAD_MS = 150;

/** An ask silent for this long is given up, ms: it was sent three times, and the other side is down or cut off. */
const GONE_MS = 500;

/**
 * A gray target that fails requests with at least this chance is left alone while there are sound
 * ones, though they be full: a caller is better served late, or told in time that nothing has run, than by
 * a failure of work that may have been done.
 */
const LEAST_BAD_RISK = 0.5;

/**
 * The same for one that the service's floor keeps in rotation: where that many look gray, the detector may
 * be wrong, or all be slow, and more evidence is asked for. One that fails all it is given is left alone even so.
 */
const KEPT_RISK = 0.75;

/**
 * Where no sound target is in reach, a request with another try takes any. One without is told that it has not
 * run, rather than be failed by a target that fails three in four: its caller may come back, and knows where it stands.
 */
const ANY_RISK = 1;

/**
 * Share of the objective for which a request in line at sound targets leaves alone a gray one
 * that is not as bad: the line may still move within the objective.
 */
const PATIENCE_SHARE = 0.5;

/** One target that was asked. */
interface OpenAsk {
  readonly target: TargetInfo;
  readonly pending: PendingCall<SlotReply>;
  readonly askedAt: number;
  /** The chance of failure up to which it was asked though it is under suspicion. */
  readonly acceptsRisk: number;
  /** It was heard of: it waits in the queue there. */
  queued: boolean;
  /** Nothing has been heard of it for long. */
  dead: boolean;
}

/**
 * Finds a target with a free slot for one request. Asking leaves no trace at a
 * target, so several may be asked at once, and a path that stays silent costs a few
 * tens of milliseconds and leaves nothing in doubt.
 */
export class SlotFinder {
  readonly #deps: SlotFinderDeps;
  readonly #request: PickContext;
  readonly #req: CallerRequest;
  readonly #tried: Set<TargetId>;
  readonly #open = new Map<TargetId, OpenAsk>();
  /** Targets that refused it as being under suspicion. */
  #suspects: SuspectTarget[] = [];
  #hasProbed = false;
  /** Sound targets that had no room. */
  #full = 0;
  #queuedAt: number | undefined;
  readonly #settle: (sought: SlotSearchResult) => void;
  readonly #timers = new Set<Timer>();
  #retryAfterMs = Infinity;
  #reason = "no target of the service is known to take work";
  #isUnknown = true;
  #done = false;

  /** Resolves once a slot was granted, or nobody is left to ask. */
  readonly sought: Promise<SlotSearchResult>;

  /** @param tried targets that had their chance with this request */
  constructor(
    deps: SlotFinderDeps,
    request: PickContext,
    req: CallerRequest,
    tried: ReadonlySet<TargetId>,
  ) {
    this.#deps = deps;
    this.#request = request;
    this.#req = req;
    this.#tried = new Set(tried);
    let settle: (sought: SlotSearchResult) => void = () => undefined;
    this.sought = new Promise((resolve) => (settle = resolve));
    this.#settle = settle;
    this.#after(req.deadlineAt - deps.clock.now(), () => {
      this.#refuse("no slot came free in time");
    });
    req.left.addEventListener("abort", this.#onLeft);
    this.#askNext();
  }

  /** Stops asking; asks under way are withdrawn. */
  giveUp(): void {
    this.#refuse("this sidecar gave it up, as it is being stopped or another try was quicker");
  }

  readonly #onLeft = (): void => {
    this.#refuse("the caller has left");
  };

  /** Asks the next target, if another may be asked now. */
  #askNext(): void {
    if (this.#done) {
      return;
    }
    const next = this.#underWay < MAX_ASKS && this.#full < MAX_FULL ? this.#next() : undefined;
    const leastBad = next ? undefined : this.#leastBad();
    if (next) {
      this.#ask(next);
    } else if (leastBad) {
      this.#ask(leastBad, { acceptsRisk: leastBad.acceptsRisk });
    } else if (this.#open.size === 0) {
      this.#askAsProbe();
    }
  }

  #next(): PickedTarget | undefined {
    return this.#deps.policy.pick(this.#request, this.#tried);
  }

  /**
   * The least bad of those under suspicion, where that is better than to wait, or to be refused: at
   * once where there is no sound target or none has room, and after a while in line.
   */
  #leastBad(): (SuspectTarget & { acceptsRisk: number }) | undefined {
    const isAlone = !this.#isInLine && this.#full === 0;
    if (this.#underWay >= (isAlone ? MAX_ASKS : MAX_ASKS + 1)) {
      return undefined;
    }
    const hasWaited = this.#deps.clock.now() - (this.#queuedAt ?? 0) >= this.#patienceMs;
    if (this.#isInLine && !hasWaited) {
      return undefined;
    }
    const known = this.#deps.policy.suspected(this.#request, this.#tried);
    const [best] = [...known, ...this.#suspects].sort((a, b) => a.risk - b.risk);
    if (!best) {
      return undefined;
    }
    const acceptsRisk = this.#acceptedRisk(best, isAlone);
    if (best.risk > acceptsRisk) {
      return undefined;
    }
    this.#suspects = this.#suspects.filter((s) => s !== best);
    return { ...best, acceptsRisk };
  }

  #acceptedRisk({ isKept }: SuspectTarget, isAlone: boolean): number {
    if (isAlone) {
      return this.#request.isExpendable ? ANY_RISK : KEPT_RISK;
    }
    return isKept ? KEPT_RISK : LEAST_BAD_RISK;
  }

  /**
   * Every sound target is full: asks one that is to be probed, as a request that has nothing to lose.
   * Refused otherwise, it is the cheapest probe there is.
   */
  #askAsProbe(): void {
    const toProbe = this.#hasProbed
      ? undefined
      : this.#deps.policy.pick({ ...this.#request, isExpendable: true }, this.#tried);
    if (toProbe?.isProbe) {
      this.#hasProbed = true;
      this.#ask(toProbe, { isExpendable: true });
    } else {
      this.#refuse(this.#reason);
    }
  }

  get #underWay(): number {
    return [...this.#open.values()].filter((o) => !o.dead).length;
  }

  /** A sound target is known to have it in its queue; one that stays silent may never have heard of it. */
  get #isInLine(): boolean {
    return [...this.#open.values()].some((o) => o.queued);
  }

  get #patienceMs(): number {
    return this.#request.route.objectiveMs * PATIENCE_SHARE;
  }

  #ask({ target }: Pick<PickedTarget, "target">, over: Partial<SlotRequest> = {}): void {
    const { clock } = this.#deps;
    this.#tried.add(target.id);
    const askedAt = clock.now();
    const words = { ...this.#words(target, askedAt), ...over };
    const pending = this.#deps.requestSlot(target.askAddress, words, (load) => {
      this.#onQueued(target, load);
    });
    const { acceptsRisk } = words;
    this.#open.set(target.id, {
      target,
      pending,
      askedAt,
      acceptsRisk,
      queued: false,
      dead: false,
    });
    void pending.answer.then((reply) => {
      this.#onReply(target, reply);
    });
    this.#after(SILENCE_MS, () => {
      this.#ifSilent(target, () => {
        this.#askNext();
      });
    });
    this.#after(DEAD_MS, () => {
      this.#ifSilent(target, (open) => {
        open.dead = true;
        this.#deps.log.info({ attempt: this.#req.attempt, target: target.id }, "ask unanswered");
        this.#deps.policy.noteTimeout(target);
        this.#askNext();
      });
    });
    this.#after(GONE_MS, () => {
      this.#ifSilent(target, (open) => {
        this.#open.delete(target.id);
        open.pending.giveUp();
        this.#reason = "no sidecar beside a target could be reached";
        this.#askNext();
      });
    });
  }

  #words(target: TargetInfo, now: number): SlotRequest {
    const { route, isExpendable, isCall = false } = this.#request;
    const { priority, objectiveMs } = route;
    const { attempt, startedAt, deadlineAt, body, bodyLength = 0 } = this.#req;
    return {
      attempt,
      target: target.id,
      priority,
      remainingMs: Math.max(1, deadlineAt - now),
      objectiveMs: startedAt + objectiveMs - now,
      typicalMs: this.#deps.policy.typicalMs(route),
      isExpendable,
      isCall,
      isPressed: this.#deps.policy.isPressed(route),
      bodyBytes: Buffer.isBuffer(body) ? body.length : bodyLength,
      acceptsRisk: 0,
    };
  }

  #onQueued(target: TargetInfo, load: GateLoad): void {
    this.#deps.policy.noteQueued(target, load);
    const open = this.#open.get(target.id);
    if (!open || open.queued || this.#done) {
      return;
    }
    open.queued = true;
    this.#queuedAt ??= this.#deps.clock.now();
    for (const ms of [QUEUED_MS, this.#patienceMs]) {
      this.#after(ms, () => {
        this.#askNext();
      });
    }
  }

  #onReply(target: TargetInfo, reply: SlotReply): void {
    const open = this.#open.get(target.id);
    if (!open || this.#done) {
      return;
    }
    const ms = open.queued ? undefined : this.#deps.clock.now() - open.askedAt;
    this.#deps.policy.noteReply(target, reply, ms);
    this.#open.delete(target.id);
    if (reply.kind === "granted") {
      const waitedMs = Math.round(this.#deps.clock.now() - open.askedAt);
      this.#deps.policy.noteWait(this.#request.route, waitedMs);
      const { attempt } = this.#req;
      const { load } = reply;
      const { acceptsRisk } = open;
      const how = { asked: this.#tried.size, acceptsRisk, waitedMs };
      this.#deps.log.info({ attempt, target: target.id, ...how, load }, "slot granted");
      this.#end({ kind: "granted", grant: { target, id: reply.grant } });
      return;
    }
    if (reply.reason === RefusalReason.Suspect) {
      this.#suspects.push({ target, risk: reply.load.risk, isKept: false });
    }
    this.#full += reply.reason === RefusalReason.Full ? 1 : 0;
    this.#isUnknown &&= reply.reason === RefusalReason.NoTarget;
    this.#retryAfterMs = Math.min(this.#retryAfterMs, reply.retryAfterMs);
    this.#reason = `every target refused, the last one as ${reply.reason}`;
    this.#askNext();
  }

  #ifSilent(target: TargetInfo, act: (open: OpenAsk) => void): void {
    const open = this.#open.get(target.id);
    if (open && !open.queued && !this.#done) {
      act(open);
    }
  }

  #refuse(reason: string): void {
    const retryAfterMs = Number.isFinite(this.#retryAfterMs) ? this.#retryAfterMs : RETRY_AFTER_MS;
    this.#end({ kind: "refused", reason, retryAfterMs, isUnknown: this.#isUnknown });
  }

  #end(sought: SlotSearchResult): void {
    if (this.#done) {
      return;
    }
    this.#done = true;
    this.#req.left.removeEventListener("abort", this.#onLeft);
    this.#timers.forEach((t) => {
      t.cancel();
    });
    for (const { pending } of this.#open.values()) {
      pending.giveUp();
    }
    this.#settle(sought);
  }

  #after(ms: number, act: () => void): void {
    const timer = this.#deps.clock.after(Math.max(0, ms), () => {
      this.#timers.delete(timer);
      act();
    });
    this.#timers.add(timer);
  }
}
