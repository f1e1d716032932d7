import { AttemptId } from "../../common/ids/AttemptId.ts";
import { GrantId } from "../../common/ids/GrantId.ts";
import { TargetId } from "../../common/ids/TargetId.ts";
import { WorkspaceName } from "../../common/ids/WorkspaceName.ts";
import type { ProtoTypes } from "../../common/rpc/ProtoTypes.ts";
import type { RetryCost } from "../routing/RetryCost.ts";
import type { SlotRequest } from "./SlotRequest.ts";
import type { SlotReply } from "./SlotReply.ts";
import type { GateLoad } from "./GateLoad.ts";
import { RefusalReason } from "./RefusalReason.ts";

type GateMessage = ProtoTypes["GateMessage"];

const REASONS = Object.values(RefusalReason);

/** Highest rate that is encoded, requests a second; no target takes more. */
const MAX_RATE_PER_S = 1_000_000;

/** Message with all fields unset. */
const EMPTY_MESSAGE: GateMessage = {
  ask_id: 0,
  ask: null,
  queued: null,
  reply: null,
  withdrawn: false,
  news: null,
  loan_ask: null,
  loan: null,
};

/**
 * Encodes and decodes gate messages: the datagrams between gates, which control admission to their targets, and the
 * sidecars that request slots, and those by which sidecars borrow retry tokens.
 */
export const gateCodec = {
  slotRequest: (id: number, request: SlotRequest): GateMessage => ({
    ...EMPTY_MESSAGE,
    ask_id: id,
    ask: {
      attempt: request.attempt,
      target: request.target,
      expendable: request.isRetryable,
      call: request.isNestedCall,
      pressed: request.isCongested,
      priority: request.priority,
      remaining: Math.max(1, Math.round(request.remainingMs)),
      objective: Math.round(request.objectiveMs),
      typical: Math.round(request.typicalMs),
      body: request.bodyBytes,
      accepts_risk: Math.round(request.acceptsRisk * 1000),
      idempotent: request.isIdempotent,
      unserved: Math.round(request.unservedShare * 1000),
      limit: encodeOptionalRate(request.limitPerS),
      workspace: request.workspace ?? "",
    },
  }),

  queued: (id: number, load: GateLoad): GateMessage => ({
    ...EMPTY_MESSAGE,
    ask_id: id,
    queued: encodeLoad(load),
  }),

  withdrawn: (id: number): GateMessage => ({ ...EMPTY_MESSAGE, ask_id: id, withdrawn: true }),

  reply: (id: number, reply: SlotReply): GateMessage => ({
    ...EMPTY_MESSAGE,
    ask_id: id,
    reply: {
      grant: reply.kind === "granted" ? reply.grant : "",
      reason: reply.kind === "refused" ? reply.reason : "",
      retry_after: reply.kind === "refused" ? Math.round(reply.retryAfterMs) : 0,
      load: encodeLoad(reply.load),
    },
  }),

  loadUpdate: (target: TargetId, load: GateLoad): GateMessage => ({
    ...EMPTY_MESSAGE,
    news: { target, load: encodeLoad(load) },
  }),

  retryTokenRequest: (
    id: number,
    costs: readonly RetryCost[],
    isNestedCall: boolean,
  ): GateMessage => ({
    ...EMPTY_MESSAGE,
    ask_id: id,
    loan_ask: {
      costs: costs.map(({ service, n }) => ({ service, hundredths: Math.ceil(n * 100) })),
      call: isNestedCall,
    },
  }),

  retryTokenReply: (id: number, given: boolean): GateMessage => ({
    ...EMPTY_MESSAGE,
    ask_id: id,
    loan: { given },
  }),

  /** Costs that the requested retry tokens are to cover; undefined if it is not such a request. */
  readRetryTokenRequest: ({ loan_ask: request }: GateMessage): RetryCost[] | undefined =>
    request?.costs.map(({ service, hundredths }) => ({ service, n: hundredths / 100 })),

  /** Undefined if the message is not a valid slot request. */
  readSlotRequest: ({ ask: request }: GateMessage): SlotRequest | undefined =>
    request && request.attempt !== "" && request.target !== "" && request.remaining > 0
      ? {
          attempt: AttemptId(request.attempt),
          target: TargetId(request.target),
          isRetryable: request.expendable,
          isIdempotent: request.idempotent,
          unservedShare: Math.min(1, request.unserved / 1000),
          isNestedCall: request.call,
          isCongested: request.pressed,
          priority: request.priority,
          remainingMs: request.remaining,
          objectiveMs: request.objective,
          typicalMs: request.typical,
          bodyBytes: request.body,
          acceptsRisk: Math.min(1, request.accepts_risk / 1000),
          limitPerS: decodeOptionalRate(request.limit),
          workspace: request.workspace === "" ? undefined : WorkspaceName(request.workspace),
        }
      : undefined,

  /** Load of the target in whose admission queue the request waits; undefined if the message does not report that. */
  readQueued: ({ queued }: GateMessage): GateLoad | undefined =>
    queued ? decodeLoad(queued) : undefined,

  /** Undefined if the message is not a valid reply to a slot request. */
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

  /** Undefined if the message is not a load update. */
  readLoadUpdate: ({ news }: GateMessage): { target: TargetId; load: GateLoad } | undefined =>
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
    probe_in: encodeOptionalMs(load.probeInMs),
    ends_in: encodeOptionalMs(load.endsInMs),
    wants_work: load.wantsWork,
    limit: encodeOptionalRate(load.limitPerS),
    limit_wait: encodeOptionalMs(load.limitWaitMs),
  };
}

function decodeLoad(encoded: ProtoTypes["GateLoad"]): GateLoad {
  const { slots, busy, queued, suspect, ejected } = encoded;
  return {
    slots,
    busy,
    queued,
    serviceMs: encoded.service,
    pace: encoded.pace / 100,
    risk: Math.min(1, encoded.risk / 1000),
    suspect,
    ejected,
    probeInMs: decodeOptionalMs(encoded.probe_in),
    endsInMs: decodeOptionalMs(encoded.ends_in),
    wantsWork: encoded.wants_work,
    limitPerS: decodeOptionalRate(encoded.limit),
    limitWaitMs: decodeOptionalMs(encoded.limit_wait),
  };
}

/** Encodes an optional rate a second: in thousandths, plus one, or 0 for undefined. */
function encodeOptionalRate(perS: number | undefined): number {
  return perS === undefined ? 0 : Math.round(Math.min(perS, MAX_RATE_PER_S) * 1000) + 1;
}

function decodeOptionalRate(encoded: number): number | undefined {
  return encoded > 0 ? (encoded - 1) / 1000 : undefined;
}

/** Encodes an optional duration in ms: the duration plus one, or 0 for undefined. */
function encodeOptionalMs(ms: number | undefined): number {
  return ms === undefined ? 0 : Math.max(0, Math.round(ms)) + 1;
}

function decodeOptionalMs(encoded: number): number | undefined {
  return encoded > 0 ? encoded - 1 : undefined;
}
