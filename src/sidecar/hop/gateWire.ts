import { AttemptId } from "../../common/ids/AttemptId.ts";
import { GrantId } from "../../common/ids/GrantId.ts";
import { TargetId } from "../../common/ids/TargetId.ts";
import type { ProtoTypes } from "../../common/rpc/ProtoTypes.ts";
import type { RetryCost } from "../routing/RetryCost.ts";
import type { SlotRequest } from "./SlotRequest.ts";
import type { SlotReply } from "./SlotReply.ts";
import type { GateLoad } from "./GateLoad.ts";
import { RefusalReason } from "./RefusalReason.ts";

type GateMessage = ProtoTypes["GateMessage"];

const REASONS = Object.values(RefusalReason);

/** A message that says nothing yet. */
const NOTHING: GateMessage = {
  ask_id: 0,
  ask: null,
  queued: null,
  reply: null,
  withdrawn: false,
  news: null,
  loan_ask: null,
  loan: null,
};

/** What gates and those who ask them say to each other, to and from datagrams. */
export const gateWire = {
  ask: (id: number, request: SlotRequest): GateMessage => ({
    ...NOTHING,
    ask_id: id,
    ask: {
      attempt: request.attempt,
      target: request.target,
      expendable: request.isExpendable,
      call: request.isCall,
      pressed: request.isPressed,
      priority: request.priority,
      remaining: Math.max(1, Math.round(request.remainingMs)),
      objective: Math.round(request.objectiveMs),
      typical: Math.round(request.typicalMs),
      body: request.bodyBytes,
      accepts_risk: Math.round(request.acceptsRisk * 1000),
    },
  }),

  queued: (id: number, load: GateLoad): GateMessage => ({
    ...NOTHING,
    ask_id: id,
    queued: encodeLoad(load),
  }),

  withdrawn: (id: number): GateMessage => ({ ...NOTHING, ask_id: id, withdrawn: true }),

  reply: (id: number, reply: SlotReply): GateMessage => ({
    ...NOTHING,
    ask_id: id,
    reply: {
      grant: reply.kind === "granted" ? reply.grant : "",
      reason: reply.kind === "refused" ? reply.reason : "",
      retry_after: reply.kind === "refused" ? Math.round(reply.retryAfterMs) : 0,
      load: encodeLoad(reply.load),
    },
  }),

  news: (target: TargetId, load: GateLoad): GateMessage => ({
    ...NOTHING,
    news: { target, load: encodeLoad(load) },
  }),

  loanAsk: (id: number, costs: readonly RetryCost[]): GateMessage => ({
    ...NOTHING,
    ask_id: id,
    loan_ask: {
      costs: costs.map(({ service, n }) => ({ service, hundredths: Math.ceil(n * 100) })),
    },
  }),

  loan: (id: number, given: boolean): GateMessage => ({ ...NOTHING, ask_id: id, loan: { given } }),

  /** What a loan is asked for; undefined where none is. */
  readLoanAsk: ({ loan_ask: asked }: GateMessage): RetryCost[] | undefined =>
    asked?.costs.map(({ service, hundredths }) => ({ service, n: hundredths / 100 })),

  /** Undefined where it is not an ask that can be answered. */
  readAsk: ({ ask }: GateMessage): SlotRequest | undefined =>
    ask && ask.attempt !== "" && ask.target !== "" && ask.remaining > 0
      ? {
          attempt: AttemptId(ask.attempt),
          target: TargetId(ask.target),
          isExpendable: ask.expendable,
          isCall: ask.call,
          isPressed: ask.pressed,
          priority: ask.priority,
          remainingMs: ask.remaining,
          objectiveMs: ask.objective,
          typicalMs: ask.typical,
          bodyBytes: ask.body,
          acceptsRisk: Math.min(1, ask.accepts_risk / 1000),
        }
      : undefined,

  /** How busy the target is at which the ask waits in line; undefined where it does not tell that. */
  readQueued: ({ queued }: GateMessage): GateLoad | undefined =>
    queued ? decodeLoad(queued) : undefined,

  /** Undefined where it is no reply. */
  readReply: ({ reply }: GateMessage): SlotReply | undefined => {
    if (!reply?.load) {
      return undefined;
    }
    const load = decodeLoad(reply.load);
    if (reply.grant !== "") {
      return { kind: "granted", grant: GrantId(reply.grant), load };
    }
    const reason = REASONS.find((known) => (known as string) === reply.reason);
    return reason && { kind: "refused", reason, retryAfterMs: reply.retry_after, load };
  },

  /** Undefined where it is no news. */
  readNews: ({ news }: GateMessage): { target: TargetId; load: GateLoad } | undefined =>
    news?.load ? { target: TargetId(news.target), load: decodeLoad(news.load) } : undefined,
};

function encodeLoad(load: GateLoad): ProtoTypes["GateLoad"] {
  const { slots, busy, queued, suspect, ejected } = load;
  return {
    slots,
    busy,
    queued,
    service: Math.round(load.serviceMs),
    pace: Math.round(load.pace * 100),
    risk: Math.round(load.risk * 1000),
    suspect,
    ejected,
    probe_in: encodeWait(load.probeInMs),
    ends_in: encodeWait(load.endsInMs),
  };
}

function decodeLoad(wire: ProtoTypes["GateLoad"]): GateLoad {
  const { slots, busy, queued, suspect, ejected } = wire;
  return {
    slots,
    busy,
    queued,
    serviceMs: wire.service,
    pace: wire.pace / 100,
    risk: Math.min(1, wire.risk / 1000),
    suspect,
    ejected,
    probeInMs: decodeWait(wire.probe_in),
    endsInMs: decodeWait(wire.ends_in),
  };
}

/** A time from now on, ms, that need not be there: one more than it is, and 0 for none. */
function encodeWait(ms: number | undefined): number {
  return ms === undefined ? 0 : Math.max(0, Math.round(ms)) + 1;
}

function decodeWait(wire: number): number | undefined {
  return wire > 0 ? wire - 1 : undefined;
}
