import type { LimitSignal } from "./LimitSignal.ts";
import type { TargetSignals } from "./TargetSignals.ts";

/** Names, in lower case, of the headers in which targets say something about themselves. */
interface SignalHeaders {
  /** The limit, requests a second. */
  readonly limit: string;
  /** Set to 1 by a target that is leaving. */
  readonly leaving: string;
}

const DECIMAL = /^\d+(\.\d+)?$/;

/** Invalid values are truncated to this many characters. */
const MAX_INVALID_LENGTH = 32;

/** Reads what a response's headers say about its target. */
export function readTargetSignals(
  headers: Readonly<Record<string, string | string[] | undefined>>,
  names: SignalHeaders,
): TargetSignals {
  return {
    limit: readLimit(headers[names.limit]),
    isLeaving: headers[names.leaving] === "1",
  };
}

/** Of several values, the lowest counts. */
function readLimit(raw: string | string[] | undefined): LimitSignal {
  if (raw === undefined) {
    return { kind: "none" };
  }
  const text = String(raw);
  const values = text.split(",").map((value) => value.trim());
  const rates = values.filter((value) => DECIMAL.test(value)).map(Number);
  const perS = Math.min(...rates);
  return Number.isFinite(perS)
    ? { kind: "limit", perS }
    : { kind: "invalid", text: text.slice(0, MAX_INVALID_LENGTH) };
}
