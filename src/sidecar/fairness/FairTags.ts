/** Number of workspaces from which on those that are not ahead of virtual time are forgotten. */
const PRUNE_ABOVE = 256;

/**
 * Virtual time and finish tags of start-time fair queueing (Goyal, Vin and Cheng, "Start-time fair queueing", SIGCOMM
 * 1996). Virtual time is slot time per unit of weight, ms. A workspace that is granted a slot moves ahead by the cost
 * of the request divided by its weight; the one that is least far ahead is served next. A workspace that was idle
 * starts at the current virtual time, so it neither saves up slot time nor pays for what it used alone.
 */
export class FairTags {
  #virtualMs = 0;
  readonly #finishTags = new Map<string, number>();

  /** Current virtual time, ms: the start tag of the request that was granted a slot last. */
  get virtualMs(): number {
    return this.#virtualMs;
  }

  /** Start tag of the next request of a workspace, which arrived at virtual time `arrivedAt`, ms. */
  startOf(workspace: string, arrivedAt: number): number {
    return Math.max(arrivedAt, this.#finishTags.get(workspace) ?? 0);
  }

  /** Charges a workspace for a request that is granted a slot; `costMs` is slot time divided by weight, ms. */
  charge(workspace: string, arrivedAt: number, costMs: number): void {
    const start = this.startOf(workspace, arrivedAt);
    this.#virtualMs = Math.max(this.#virtualMs, start);
    this.#finishTags.set(workspace, start + costMs);
    if (this.#finishTags.size > PRUNE_ABOVE) {
      this.#prune();
    }
  }

  /** Ends a busy period: no slot is held, so no workspace is ahead of another any more. */
  endBusyPeriod(): void {
    this.#virtualMs = Math.max(this.#virtualMs, ...this.#finishTags.values());
    this.#finishTags.clear();
  }

  /** Returns the charge for a request that has not run. */
  refund(workspace: string, costMs: number): void {
    const finish = this.#finishTags.get(workspace);
    if (finish !== undefined) {
      this.#finishTags.set(workspace, finish - costMs);
    }
  }

  #prune(): void {
    for (const [workspace, finish] of this.#finishTags) {
      if (finish <= this.#virtualMs) {
        this.#finishTags.delete(workspace);
      }
    }
  }
}
