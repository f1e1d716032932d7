/** How a target described itself in its last announcement. */
export enum TargetState {
  /** Takes new work. */
  Ready = "ready",
  /** Leaving: finishes work in flight, takes no new work. */
  Draining = "draining",
  /** Starting: takes no new work yet. */
  Cold = "cold",
}
