/** Number of returns, within the objective, that a refused caller is given time for. */
const RETURNS_WITHIN_OBJECTIVE = 3;

/** Shortest `Retry-After`, ms: several round trips, so that callers do not spin. */
const MIN_RETURN_MS = 100;

/** Spread of the times, as a share of the mean, so that callers refused together do not return together. */
const SPREAD = 0.5;

/** A request that targets refused although they had free slots. */
interface RefusedRequest {
  /** The time after which the target, or the default, asks the caller to return, ms. */
  readonly suggestedMs: number;
  /** Time left until the latency objective, ms; negative when it has passed. */
  readonly objectiveLeftMs: number;
  /** Typical response time of such requests, ms. */
  readonly typicalMs: number;
  /** Position of this request in the spread, in [0, 1). */
  readonly sample: number;
}

/**
 * `Retry-After` of a refused request, ms. It answers a load under which targets refuse
 * a share of what they are sent although they have room, and the retry budget is used up: another try is likely to be
 * accepted, and is worth most while the objective can still be met. A request that cannot meet it any more keeps the
 * suggested time, as nothing is gained by its haste.
 */
export function returnAfterMs(refused: RefusedRequest): number {
  const { suggestedMs, objectiveLeftMs, typicalMs, sample } = refused;
  const spareMs = objectiveLeftMs - typicalMs;
  if (spareMs <= MIN_RETURN_MS) {
    return suggestedMs;
  }
  const spread = 1 + SPREAD * (sample - 0.5);
  const returnMs = Math.max(MIN_RETURN_MS, (spareMs / RETURNS_WITHIN_OBJECTIVE) * spread);
  return Math.min(suggestedMs, Math.round(returnMs));
}
