/** Times of a planned stop of this sidecar, by its clock, ms. */
export interface StopSchedule {
  /** Until when callers' new connections are accepted. */
  readonly callersUntil: number;
  /** When requests that have no whole response yet are cut off. */
  readonly endAt: number;
}
