import type { IncomingHttpHeaders } from "node:http";
import type { Readable } from "node:stream";
import { TargetId } from "../../common/ids/TargetId.ts";
import type { Verdict } from "../../common/Verdict.ts";
import { AttemptOutcome } from "../detection/AttemptOutcome.ts";
import type { ForwardResult } from "../forwarding/ForwardResult.ts";
import type { MeanNestedCalls } from "../gate/CallsPerRun.ts";
import { HOP } from "./HOP.ts";

type Headers = Readonly<Record<string, string | string[] | undefined>>;

const HOP_HEADERS = new Set<string>(Object.values(HOP));

/** Converts the result of a run to and from the HTTP response that carries it between sidecars. */
export const hopResponse = {
  /** Headers that carry the result of a run, in addition to those of the target's response. */
  headersOf(result: ForwardResult): Record<string, string> {
    const { verdict } = result;
    const headers: Record<string, string> = {
      [HOP.verdict]: verdict.kind,
      [HOP.outcome]: result.outcome,
    };
    if ("target" in verdict) {
      headers[HOP.target] = verdict.target;
    }
    if ("reason" in verdict) {
      headers[HOP.reason] = encodeURIComponent(verdict.reason);
    }
    if ("retryAfterMs" in verdict) {
      headers[HOP.retryAfter] = String(verdict.retryAfterMs);
    }
    if (result.calls && result.calls.size > 0) {
      headers[HOP.calls] = encodeCalls(result.calls);
    }
    if (result.targetEnded) {
      headers[HOP.targetEnded] = "1";
    }
    if (verdict.kind === "not-run" && verdict.status !== undefined) {
      headers[HOP.status] = String(verdict.status);
    }
    if (verdict.kind === "may-have-run" && verdict.timedOut) {
      headers[HOP.timedOut] = "1";
    }
    return headers;
  },

  /** The verdict in a response's headers; undefined if there is none. */
  verdictOf(status: number, headers: IncomingHttpHeaders): Verdict | undefined {
    const valueOf = (name: string): string => String(headers[name] ?? "");
    const reason = decodeText(valueOf(HOP.reason));
    const retryAfterMs = Number(valueOf(HOP.retryAfter));
    const target = TargetId(valueOf(HOP.target));
    switch (headers[HOP.verdict]) {
      case "done":
        return { kind: "done", target, status };
      case "not-run": {
        const sentStatus = Number(valueOf(HOP.status));
        return {
          kind: "not-run",
          reason,
          retryAfterMs,
          status: sentStatus > 0 ? sentStatus : undefined,
        };
      }
      case "in-progress":
        return { kind: "in-progress", retryAfterMs };
      case "may-have-run": {
        const timedOut = valueOf(HOP.timedOut) === "1";
        return { kind: "may-have-run", target, reason, timedOut, retryAfterMs };
      }
      default:
        return undefined;
    }
  },

  /** The result in a response from another sidecar; undefined if it has no verdict, so is not from a sidecar. */
  read(
    status: number,
    headers: IncomingHttpHeaders,
    response: { readonly body: Buffer | Readable; readonly ended?: Promise<AttemptOutcome> },
  ): ForwardResult | undefined {
    const verdict = hopResponse.verdictOf(status, headers);
    const outcome = toOutcome(headers[HOP.outcome]);
    const calls = decodeCalls(headers[HOP.calls]);
    if (verdict?.kind === "done") {
      return { verdict, outcome, calls, headers: withoutHopHeaders(headers), ...response };
    }
    const targetEnded = headers[HOP.targetEnded] === "1";
    return verdict && { verdict, outcome, calls, ...(targetEnded ? { targetEnded } : {}) };
  },
};

function encodeCalls(calls: MeanNestedCalls): string {
  return [...calls]
    .map(([service, mean]) => `${encodeURIComponent(service)}=${mean.toFixed(2)}`)
    .join(",");
}

/** Entries that cannot be parsed are skipped. */
function decodeCalls(raw: string | string[] | undefined): MeanNestedCalls {
  const parts = String(raw ?? "")
    .split(",")
    .map((part) => part.split("="));
  const means = parts.map(
    ([service = "", mean]) => [decodeText(service), Number(mean ?? NaN)] as const,
  );
  return new Map(means.filter(([service, mean]) => service !== "" && mean > 0));
}

/** Decodes percent-encoded text; returns it unchanged if it is malformed, as its response is of use nevertheless. */
function decodeText(raw: string): string {
  try {
    return decodeURIComponent(raw);
  } catch {
    return raw;
  }
}

function toOutcome(raw: string | string[] | undefined): AttemptOutcome {
  const outcome = Object.values(AttemptOutcome).find((o) => (o as string) === raw);
  return outcome ?? AttemptOutcome.Cancelled;
}

function withoutHopHeaders(headers: IncomingHttpHeaders): Headers {
  return Object.fromEntries(Object.entries(headers).filter(([name]) => !HOP_HEADERS.has(name)));
}
