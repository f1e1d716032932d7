import bunyan from "bunyan";
import { GRAY_DETECTION } from "../platform/GRAY_DETECTION.ts";
import { AttemptId } from "../src/common/ids/AttemptId.ts";
import { SidecarId } from "../src/common/ids/SidecarId.ts";
import { TargetId } from "../src/common/ids/TargetId.ts";
import { ZoneName } from "../src/common/ids/ZoneName.ts";
import { Service } from "../src/common/document/Service.ts";
import { TargetTable } from "../src/membership/TargetTable.ts";
import { AttemptOutcome } from "../src/sidecar/detection/AttemptOutcome.ts";
import { TargetJudge } from "../src/sidecar/detection/TargetJudge.ts";
import { Gate } from "../src/sidecar/gate/Gate.ts";
import type { GateLoad } from "../src/sidecar/hop/GateLoad.ts";
import type { HopRequest } from "../src/sidecar/hop/HopRequest.ts";
import { AdaptivePolicy } from "../src/sidecar/routing/AdaptivePolicy.ts";
import { Dispatcher } from "../src/sidecar/routing/Dispatcher.ts";
import { RetryBudgets } from "../src/sidecar/routing/RetryBudgets.ts";
import type { RouteMatch } from "../src/sidecar/routing/RouteMatch.ts";
import type { LoadKind, Scenario } from "./Scenario.ts";
import type { SimClock } from "./SimClock.ts";
import { SimHop, type SimOwner } from "./SimHop.ts";
import { SimTarget } from "./SimTarget.ts";
import { Tally } from "./Tally.ts";
import type { Variant } from "./Variant.ts";

/** A route's time and retry rules, as the users' operators set them. */
const ATTEMPTS = 2;
const BUDGET = { ratio: 0.2, windowMs: 10_000, slack: 58 };
const FLOOR = 0.49;

/** Time that news of a target takes to all origins, ms. */
const NEWS_MS = 2;

const log = bunyan.createLogger({ name: "experiment", level: "fatal" });

interface Member {
  readonly name: string;
  readonly zone: number;
  readonly service: string;
  readonly slots: number;
  readonly target: SimTarget;
}

/** A fleet in one process: the product's own decisions, around simulated targets, network and time. */
export class SimFleet {
  readonly #scenario: Scenario;
  readonly #clock: SimClock;
  readonly #random: () => number;
  readonly #kinds: ReadonlyMap<string, LoadKind>;
  readonly #members: readonly Member[];
  readonly #owners = new Map<string, SimOwner>();
  readonly #dispatchers = new Map<string, Dispatcher>();
  readonly #policies: AdaptivePolicy[] = [];
  readonly #hops: SimHop[] = [];
  #attempts = 0;
  readonly tally = new Tally();

  constructor(scenario: Scenario, variant: Variant, clock: SimClock, random: () => number) {
    this.#scenario = scenario;
    this.#clock = clock;
    this.#random = random;
    this.#kinds = new Map(scenario.kinds.map((k) => [k.name, k]));
    this.#members = scenario.services.flatMap((service) =>
      Array.from({ length: service.targets }, (_, n) => ({
        name: `${service.name}-${n}`,
        zone: n % scenario.zones,
        service: service.name,
        slots: service.slots,
        target: new SimTarget(clock, random),
      })),
    );
    this.#members.forEach((m) => {
      this.#openGate(m, variant);
    });
    this.#members.forEach((m) => {
      this.#openDispatcher(m);
    });
    this.#planSpells();
  }

  /** Asks for slots made so far. */
  get asks(): number {
    return this.#hops.reduce((sum, hop) => sum + hop.asks, 0);
  }

  /** Plays the load to its end, and until every request has ended. */
  async play(): Promise<void> {
    const { kinds, lengthMs } = this.#scenario;
    kinds
      .filter((k) => k.perSecond > 0)
      .forEach((k) => {
        this.#arriveNext(k);
      });
    const longest = Math.max(...kinds.map((k) => k.deadlineMs));
    await this.#clock.run(lengthMs + longest);
  }

  #openGate(member: Member, variant: Variant): void {
    const rule = Service.parse({ name: "svc", detection: GRAY_DETECTION }).detection;
    const judge = new TargetJudge({ rule: () => rule, clock: this.#clock, log });
    const gate = new Gate({
      target: () => ({ slots: member.slots, takesWork: true }),
      judge,
      clock: this.#clock,
      boot: "b",
      onJudged: (load) => {
        this.#spreadNews(member, load);
      },
      ...variant.gate,
    });
    const run = (req: HopRequest) => this.#work(member, req);
    this.#owners.set(member.name, { gate, run, zone: member.zone });
  }

  #openDispatcher(member: Member): void {
    const clock = this.#clock;
    const table = this.#tableOf(member);
    const zone = ZoneName(`zone-${member.zone}`);
    const policy = new AdaptivePolicy({ table, zone, clock, random: this.#random });
    const { zoneMs } = this.#scenario;
    const hop = new SimHop({ owners: this.#owners, zone: member.zone, zoneMs, clock });
    const dispatcher = new Dispatcher({
      policy,
      hop,
      callerService: member.service,
      budgets: new RetryBudgets({
        rule: () => BUDGET,
        members: () => this.#members.length,
        clock,
      }),
      clock,
      log,
    });
    this.#dispatchers.set(member.name, dispatcher);
    this.#policies.push(policy);
    this.#hops.push(hop);
  }

  /** Tells every origin what is thought of a target; the product tells those that have asked it lately. */
  #spreadNews(member: Member, load: GateLoad): void {
    this.#clock.after(NEWS_MS, () => {
      for (const policy of this.#policies) {
        policy.noteNews(TargetId(member.name), load);
      }
    });
  }

  /** Every member as this one knows it: all of them, at once, without gossip. */
  #tableOf(self: Member): TargetTable {
    const own = {
      id: SidecarId(`self-${self.name}`),
      peerAddress: `self-${self.name}`,
      hopAddress: "none",
      zone: ZoneName(`zone-${self.zone}`),
      incarnation: 1,
    };
    const table = new TargetTable(own, () => this.#clock.now());
    table.merge(
      this.#members.map((m) => ({
        sidecar_id: m.name,
        peer_address: m.name,
        hop_address: m.name,
        zone: `zone-${m.zone}`,
        revision: 1,
        incarnation: 1,
        gone: false,
        control: false,
        targets: [
          {
            target_id: m.name,
            service: m.service,
            url: "",
            slots: m.slots,
            state: "ready",
            health_path: "",
            born: 0,
          },
        ],
      })),
    );
    return table;
  }

  #planSpells(): void {
    const { noise, spells = [], lengthMs } = this.#scenario;
    for (const { service, count, fromMs, forMs, fails, slow = 1 } of spells) {
      const hit = this.#members.filter((m) => m.service === service).slice(0, count);
      hit.forEach(({ target }) => {
        target.addSpell({ from: fromMs, until: fromMs + forMs, fails, slow });
      });
    }
    if (!noise) {
      return;
    }
    const { share, spellMs, fails } = noise;
    const soundMs = (spellMs * (1 - share)) / share;
    for (const { target } of this.#members) {
      const isGray = this.#random() < share;
      for (let at = isGray ? 0 : this.#exponential(soundMs); at < lengthMs;) {
        const until = at + this.#exponential(spellMs);
        target.addSpell({ from: at, until, fails, slow: 1 });
        at = until + this.#exponential(soundMs);
      }
    }
  }

  /** A random time, `mean` ms on average, that does not depend on how much of it has passed. */
  #exponential(mean: number): number {
    return -Math.log(1 - this.#random()) * mean;
  }

  #arriveNext(kind: LoadKind): void {
    const times = this.#burstAt(this.#clock.now());
    const wait = this.#exponential(1000 / (kind.perSecond * times));
    this.#clock.after(wait, () => {
      if (this.#clock.now() < this.#scenario.lengthMs) {
        void this.#caller(kind);
        this.#arriveNext(kind);
      }
    });
  }

  #burstAt(now: number): number {
    const burst = this.#scenario.bursts?.find((b) => b.fromMs <= now && now < b.fromMs + b.forMs);
    return burst?.times ?? 1;
  }

  async #caller(kind: LoadKind): Promise<void> {
    const from = this.#members[Math.floor(this.#random() * this.#members.length)];
    const startedAt = this.#clock.now();
    const end = await this.#send(kind, from?.name ?? "", startedAt + kind.deadlineMs);
    this.tally.add({ kind, startedAt, endedAt: this.#clock.now(), end });
  }

  async #send(
    kind: LoadKind,
    from: string,
    deadlineAt: number,
  ): Promise<"served" | "refused" | "failed"> {
    const out = await this.#dispatchers.get(from)?.dispatch(routeOf(kind), {
      attempt: AttemptId(`${kind.name}/${++this.#attempts}`),
      method: "GET",
      path: "/",
      headers: [],
      body: undefined,
      startedAt: this.#clock.now(),
      deadlineAt,
      left: new AbortController().signal,
    });
    if (out?.verdict.kind === "not-run") {
      return "refused";
    }
    return out?.verdict.kind === "done" && out.verdict.status < 500 ? "served" : "failed";
  }

  /** A target works on a request, with the calls that its kind makes. */
  async #work(member: Member, req: HopRequest): Promise<AttemptOutcome> {
    const kind = this.#kinds.get(req.attempt.split("/")[0] ?? "");
    if (!kind) {
      throw new Error(`no kind of ${req.attempt}`);
    }
    const deadlineAt = this.#clock.now() + req.remainingMs;
    const end = await member.target.run(kind.workMs, () =>
      this.#makeCalls(kind, member, deadlineAt),
    );
    if (this.#clock.now() > deadlineAt) {
      return AttemptOutcome.TimedOut;
    }
    return end === "ok" ? AttemptOutcome.Ok : AttemptOutcome.Failed;
  }

  async #makeCalls({ calls }: LoadKind, member: Member, deadlineAt: number): Promise<boolean> {
    const kind = calls && this.#kinds.get(calls.kind);
    if (!calls || !kind || this.#random() >= calls.share) {
      return true;
    }
    for (let n = 0; n < calls.times; n++) {
      const due = Math.min(deadlineAt, this.#clock.now() + kind.deadlineMs);
      if ((await this.#send(kind, member.name, due)) !== "served") {
        return false;
      }
    }
    return true;
  }
}

function routeOf(kind: LoadKind): RouteMatch {
  return {
    name: kind.name,
    service: Service.parse({ name: kind.service, floor: FLOOR, detection: GRAY_DETECTION }),
    idempotent: kind.idempotent,
    bulk: false,
    timeoutMs: kind.deadlineMs,
    attempts: ATTEMPTS,
    priority: kind.priority,
    objectiveMs: kind.objectiveMs,
    budgetRatio: undefined,
  };
}
