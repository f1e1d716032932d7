/**
 * Why a request that has waited for the delay is not hedged:
 *
 * - `off`: hedging was turned off for the service since the request arrived
 * - `stopping`: this sidecar is being stopped
 * - `quarantine`: the request may be what crashes its targets
 * - `congested`: the service's requests wait for slots
 * - `too-late`: the remaining time is too short for a run
 * - `work-share`: hedges have used the target time that the operators allow
 * - `retry-budget`: the rest of the retry budget is left to retries
 * - `no-slot`: no target that is not suspect has a slot
 */
export type HedgeRefusal =
  | "off"
  | "stopping"
  | "quarantine"
  | "congested"
  | "too-late"
  | "work-share"
  | "retry-budget"
  | "no-slot";
