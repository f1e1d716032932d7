import type { IncomingHttpHeaders } from "node:http";
import type { Readable } from "node:stream";
import { TargetId } from "../../common/ids/TargetId.ts";
import type { Verdict } from "../../common/Verdict.ts";
import { AttemptOutcome } from "../detection/AttemptOutcome.ts";
import type { ForwardResult } from "../forwarding/ForwardResult.ts";
import type { CallMeans } from "../gate/CallsPerRun.ts";
import { HOP } from "./HOP.ts";

type Headers = Readonly<Record<string, string | string[] | undefined>>;

const OWN_HEADERS = new Set<string>(Object.values(HOP));

/** The result of a run, to and from the headers in which it crosses between sidecars. */
export const hopResponse = {
  /** The headers that say how a run ended, besides those of its answer. */
  headersOf(out: ForwardResult): Record<string, string> {
    const { verdict } = out;
    const headers: Record<string, string> = {
      [HOP.verdict]: verdict.kind,
      [HOP.outcome]: out.outcome,
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
    if (out.calls && out.calls.size > 0) {
      headers[HOP.calls] = encodeCalls(out.calls);
    }
    if (verdict.kind === "not-run" && verdict.status !== undefined) {
      headers[HOP.status] = String(verdict.status);
    }
    if (verdict.kind === "may-have-run" && verdict.timedOut) {
      headers[HOP.timedOut] = "1";
    }
    return headers;
  },

  /** The verdict that an answer's headers tell; undefined when they tell none. */
  verdictOf(status: number, headers: IncomingHttpHeaders): Verdict | undefined {
    const text = (name: string): string => String(headers[name] ?? "");
    const reason = decodeURIComponent(text(HOP.reason));
    const retryAfterMs = Number(text(HOP.retryAfter));
    const target = TargetId(text(HOP.target));
    switch (headers[HOP.verdict]) {
      case "done":
        return { kind: "done", target, status };
      case "not-run": {
        const known = Number(text(HOP.status));
        return { kind: "not-run", reason, retryAfterMs, status: known > 0 ? known : undefined };
      }
      case "in-progress":
        return { kind: "in-progress", retryAfterMs };
      case "may-have-run": {
        const timedOut = text(HOP.timedOut) === "1";
        return { kind: "may-have-run", target, reason, timedOut, retryAfterMs };
      }
      default:
        return undefined;
    }
  },

  /** The result that an answer from another sidecar tells; undefined when it is none. */
  read(
    status: number,
    headers: IncomingHttpHeaders,
    answer: { readonly body: Buffer | Readable; readonly ended?: Promise<AttemptOutcome> },
  ): ForwardResult | undefined {
    const verdict = hopResponse.verdictOf(status, headers);
    const outcome = toOutcome(headers[HOP.outcome]);
    const calls = decodeCalls(headers[HOP.calls]);
    if (verdict?.kind === "done") {
      return { verdict, outcome, calls, headers: withoutOwn(headers), ...answer };
    }
    return verdict && { verdict, outcome, calls };
  },
};

function encodeCalls(calls: CallMeans): string {
  return [...calls]
    .map(([service, mean]) => `${encodeURIComponent(service)}=${mean.toFixed(2)}`)
    .join(",");
}

/** What cannot be read is left out. */
function decodeCalls(raw: string | string[] | undefined): CallMeans {
  const parts = String(raw ?? "")
    .split(",")
    .map((part) => part.split("="));
  const means = parts.map(
    ([service = "", mean]) => [decodeURIComponent(service), Number(mean ?? NaN)] as const,
  );
  return new Map(means.filter(([service, mean]) => service !== "" && mean > 0));
}

function toOutcome(raw: string | string[] | undefined): AttemptOutcome {
  const known = Object.values(AttemptOutcome).find((o) => (o as string) === raw);
  return known ?? AttemptOutcome.Cancelled;
}

function withoutOwn(headers: IncomingHttpHeaders): Headers {
  return Object.fromEntries(Object.entries(headers).filter(([name]) => !OWN_HEADERS.has(name)));
}
