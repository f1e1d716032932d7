import type { LeaseAsk } from "./LeaseAsk.ts";
import type { LeaseRefusal } from "./LeaseRefusal.ts";
import type { LeaseRelease } from "./LeaseRelease.ts";
import type { LeaseReply } from "./LeaseReply.ts";
import type { ProtoTypes } from "./ProtoTypes.ts";

/** Parts of a token or of a rate in the messages. */
const UNITS = 1_000_000;

const REFUSALS: readonly string[] = [
  "held",
  "starting",
  "credits",
  "unconfirmed",
  "no-share",
  "released",
  "disabled",
] satisfies LeaseRefusal[];

const EMPTY_ASK = {
  holder: "",
  process: 0,
  in_force: false,
  unconfirmed: false,
  granted: 0,
  refused: 0,
  released: false,
  level: 0,
};

const EMPTY_LEASE = {
  refusal: "",
  lease: 0,
  term: 0,
  rate: 0,
  capacity: 0,
  level: 0,
  holder: "",
  left: 0,
  wanted_by: "",
};

/**
 * Converts requests for leases and their replies to and from the messages of `proto/burdockpass.proto`. Amounts are
 * rounded down, so that the parts of a quota never add up to more than it.
 */
export const leaseCodec = {
  encodeAsk: ({ isInForce, isUnconfirmed, ...ask }: LeaseAsk): ProtoTypes["LeaseAsk"] => ({
    ...EMPTY_ASK,
    ...ask,
    in_force: isInForce,
    unconfirmed: isUnconfirmed,
  }),

  decodeAsk: ({ in_force, unconfirmed, ...raw }: ProtoTypes["LeaseAsk"]): LeaseAsk => ({
    workspace: raw.workspace,
    holder: raw.holder,
    process: raw.process,
    lease: raw.lease,
    isInForce: in_force,
    isUnconfirmed: unconfirmed,
    granted: raw.granted,
    refused: raw.refused,
  }),

  encodeRelease: ({ workspace, lease, level }: LeaseRelease): ProtoTypes["LeaseAsk"] => ({
    ...EMPTY_ASK,
    workspace,
    lease,
    released: true,
    level: toUnits(level),
  }),

  decodeRelease: ({ workspace, lease, level }: ProtoTypes["LeaseAsk"]): LeaseRelease => ({
    workspace,
    lease,
    level: level / UNITS,
  }),

  encodeReply: (reply: LeaseReply): ProtoTypes["Lease"] =>
    reply.kind === "granted"
      ? {
          ...EMPTY_LEASE,
          lease: reply.lease,
          term: Math.floor(reply.termMs),
          rate: toUnits(reply.limits?.ratePerS ?? 0),
          capacity: toUnits(reply.limits?.capacity ?? 0),
          level: toUnits(reply.level),
          wanted_by: reply.wantedBy,
        }
      : {
          ...EMPTY_LEASE,
          refusal: reply.reason,
          holder: reply.holder,
          left: Math.ceil(reply.leftMs),
        },

  decodeReply: (raw: ProtoTypes["Lease"]): LeaseReply =>
    raw.refusal === ""
      ? {
          kind: "granted",
          lease: raw.lease,
          termMs: raw.term,
          limits:
            raw.capacity > 0
              ? { capacity: raw.capacity / UNITS, ratePerS: raw.rate / UNITS }
              : undefined,
          level: raw.level / UNITS,
          wantedBy: raw.wanted_by,
        }
      : {
          kind: "refused",
          reason: isRefusal(raw.refusal) ? raw.refusal : "unconfirmed",
          holder: raw.holder,
          leftMs: raw.left,
        },
};

function toUnits(amount: number): number {
  return Math.max(0, Math.floor(amount * UNITS));
}

/** A reason that this release does not know counts as one that passes. */
function isRefusal(reason: string): reason is LeaseRefusal {
  return REFUSALS.includes(reason);
}
