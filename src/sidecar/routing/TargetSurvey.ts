/** What a sidecar believes about the ready targets of a service, as counts; each target counts once. */
export interface TargetSurvey {
  /** Targets that are known as ready. */
  readonly ready: number;
  /** Of these, targets that the request was already sent to, or that have replied to its slot request. */
  readonly tried: number;
  /** Targets that were not tried, are held healthy and have a free slot by a fresh load report. */
  readonly free: number;
  /** Targets that were not tried and have no free slot by a fresh load report. */
  readonly full: number;
  /** Targets that were not tried and whose load is unknown or outdated. */
  readonly unknown: number;
  /** Targets that were not tried because they are suspect or ejected. */
  readonly suspect: number;
  /** Targets that were not tried because the path to their sidecar is suspect. */
  readonly unreachable: number;
  /** Targets that were not tried because their sidecar exits too soon for the request. */
  readonly leaving: number;
  /** Age of the oldest report that these beliefs rest on, ms; undefined if there is none. */
  readonly oldestReportMs: number | undefined;
}
